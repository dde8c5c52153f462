package node

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// cutOffTime is how long a stop may take beyond its limit to refuse the requests that are
// still in flight.
const cutOffTime = 500 * time.Millisecond

// errCutOff is the cause of contexts that end because the stop limit has passed.
var errCutOff = errors.New("the stop limit of the node has passed")

// cutOff ends the requests in flight at the end of a stop.
type cutOff struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newCutOff() cutOff {
	ctx, cancel := context.WithCancel(context.Background())
	return cutOff{ctx: ctx, cancel: cancel}
}

// context returns a context that ends with parent, or with the cause errCutOff when the stop
// limit has passed.
func (c cutOff) context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	release := context.AfterFunc(c.ctx, func() { cancel(errCutOff) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// cutOffRefusal returns the refusal of a request that the end of a stop has cut off, or nil if
// ctx, its context, has not ended for that reason.
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
	n.cutOff.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), cutOffTime)
	defer cancel()
	n.waitIdle(ctx)
	return inFlight
}
