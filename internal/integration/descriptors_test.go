package integration

import (
	"errors"
	"net"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Guards against a node that is ready but takes no new connection, because silent callers have used up its descriptors.
func TestNewConnectionsWithoutDescriptors(t *testing.T) {
	const descriptors = 64
	f := trustFleet(t, backendSpec("dudley", "stockroom", standin.BackendBehaviour{}))
	key, _ := f.grant("black-horse-farm", f.Nodes...)
	n := f.Nodes[0]
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	assert.NilError(t, unix.Prlimit(n.Process.PID(), unix.RLIMIT_NOFILE, &limit, nil))
	for range 2 * descriptors {
		silent, err := net.Dial("tcp", n.Callers)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = silent.Close() })
	}
	f.eventually(func() error {
		r := f.send(n, "GET", "/stockroom/stock/m6-bolt", key, "", "")
		if r.err == nil && r.status != 200 {
			return errors.New("the request was refused: " + string(r.reason()))
		}
		return r.err
	})
	code, err := f.Stop(n)
	assert.NilError(t, err)
	assert.Equal(t, code, 0, n.Process.Logs())
}
