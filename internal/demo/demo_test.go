package demo_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/demo"
)

// trafficInterrupter interrupts the demo when the background traffic starts.
type trafficInterrupter struct {
	bytes.Buffer
	interrupt context.CancelFunc
}

func (t *trafficInterrupter) Write(b []byte) (int, error) {
	if strings.Contains(string(b), " traffic ") {
		t.interrupt()
	}
	return t.Buffer.Write(b)
}

// Runs the demo, the first command of the README. Checks that it succeeds, ends when
// interrupted and prints the outcome of each step.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &trafficInterrupter{interrupt: cancel}
	assert.NilError(t, demo.Run(ctx, demo.Options{Out: out}), "%s", out)
	for _, want := range []string{
		"through walsall-certvault: 200", "without a key: 401 no_key, ran: no",
		"repeated in walsall: 200, replayed from the recorded response", "demo-order-1 ran 1 time(s)",
		"8 nodes in 2 data centres confirmed", "lookup with it in walsall: 401 withdrawn_key, ran: no",
		"version 2 is in force on all 8 nodes", "starts from version 1: conflict",
		"0 by the one that drains, 20 by the one in walsall", "curl -i http://127.0.0.1:", "the demo was interrupted",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "no %q in:\n%s", want, out)
	}
}
