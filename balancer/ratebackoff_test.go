package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against nodes that go on sending calls to an endpoint whose rate limit other
// nodes use up, and against endpoints that are avoided for good.
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

// Guards against limited endpoints that get calls while another one has headroom, and
// against calls without an endpoint if all have refused for their rate limits.
func TestPickAvoidsRateLimited(t *testing.T) {
	b, _, endpoints := newTestBalancer()
	with, except := endpoints[0].Node, make([]string, 0, len(endpoints))
	for _, e := range endpoints[1:] {
		except = append(except, e.Node)
	}
	for len(except) > 0 {
		p, err := b.Pick(PickInfo{Exclude: []string{with}})
		assert.NilError(t, err)
		p.Done(Result{Latency: time.Millisecond, Outcome: Refused, RateLimited: true})
		if !b.HasRoom(PickInfo{}, with) {
			break
		}
	}
	for range 50 {
		assert.Equal(t, callAndFinish(t, b, Result{Latency: time.Millisecond}), with)
	}
	assert.Assert(t, b.HasRoom(PickInfo{}, ""))
	_, err := b.Pick(PickInfo{Exclude: []string{with}})
	assert.NilError(t, err)
}
