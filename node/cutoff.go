package node

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// cutOffTime is how long a stop may take beyond its limit to refuse the requests that are
// still in flight.
const cutOffTime = 200 * time.Millisecond

// errCutOff is the cause with which the contexts of requests end when the stop limit passes.
var errCutOff = errors.New("the stop limit of the node has passed")

// cutOffRefusal returns the refusal of a request that the end of a stop has cut off, or nil if
// ctx, the request's context, has not ended for that reason.
func cutOffRefusal(ctx context.Context, ran refusal.Ran) *refusal.Refusal {
	switch {
	case !errors.Is(context.Cause(ctx), errCutOff):
		return nil
	case ran == refusal.RanNo:
		return refusal.New(refusal.Draining, "the node stops")
	}
	return refusal.NewRan(refusal.BackendFailed, ran, "the node stops before the answer has come")
}

// endCalls refuses the requests that are still in flight, and waits up to cutOffTime until
// the refusals are written. It returns how many there were.
func (n *Node) endCalls() int {
	inFlight := n.inFlight.count() + int(n.hopsInFlight.Load())
	n.cutOff(errCutOff)
	ctx, cancel := context.WithTimeout(context.Background(), cutOffTime)
	defer cancel()
	n.waitIdle(ctx)
	return inFlight
}
