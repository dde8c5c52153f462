package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against nodes that go on sending calls to an endpoint whose rate limit other nodes use up, and against endpoints that are avoided for good.
func TestRateBackoff(t *testing.T) {
	var b rateBackoff
	now := int64(1)
	for range 20 {
		b.refused(now, 1<<31)
	}
	assert.Assert(t, b.active(now+maxRateBackoff/2))
	assert.Assert(t, !b.active(now+maxRateBackoff))
	for range 40 {
		b.succeeded()
	}
	b.refused(now, 0)
	assert.Assert(t, !b.active(now+minRateBackoff))
}

// Guards against limited endpoints that get calls while another one has headroom, and against calls without an endpoint if all have refused for their rate limits.
func TestPickAvoidsRateLimited(t *testing.T) {
	b, _, endpoints := newTestBalancer()
	unlimited := endpoints[0].Node
	for b.HasRoom(PickInfo{}, unlimited) {
		p, err := b.Pick(PickInfo{Exclude: []string{unlimited}})
		assert.NilError(t, err)
		p.Done(Result{Latency: time.Millisecond, Outcome: Refused, RateLimited: true})
	}
	for range 50 {
		assert.Equal(t, callAndFinish(t, b, Result{Latency: time.Millisecond}), unlimited)
	}
	assert.Assert(t, b.HasRoom(PickInfo{}, ""))
	_, err := b.Pick(PickInfo{Exclude: []string{unlimited}})
	assert.NilError(t, err)
}
