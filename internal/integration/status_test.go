package integration

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/status"
)

// nodeStatus fetches the status report of n with a time limit of 1 s.
func nodeStatus(n *harness.Node) (status.Node, error) {
	return status.Fetch(context.Background(), status.DefaultClient(time.Second), n.Operators)
}

func asOpError(err error, op **net.OpError) bool { return errors.As(err, op) }
