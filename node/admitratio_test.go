package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// Guards against a node with few requests that keeps refusing them for seconds after
// the destinations admit everything again.
func TestAdmitRatioRecoversWithFewRequests(t *testing.T) {
	var r admitRatios
	now := time.Unix(0, 0)
	for range 50 { // overload with many requests
		now = now.Add(20 * time.Millisecond)
		r.record("r", config.Low, 0.2, now)
	}
	for range 3 { // a second with three responses after the end of the overload
		now = now.Add(330 * time.Millisecond)
		r.record("r", config.Low, 1, now)
	}
	admitted := 0
	for range 1000 {
		if r.admits("r", config.Low, now) {
			admitted++
		}
	}
	assert.Assert(t, admitted > 950, "%d of 1000 requests are admitted", admitted)
}

// Guards against throttled callers that return so late that their answer misses the
// latency objective, or so early that no capacity can have come back.
func TestThrottledRetryAfter(t *testing.T) {
	for _, tc := range []struct{ objective, timeout, want time.Duration }{
		{0, time.Second, maxThrottledRetryAfter},
		{1500 * time.Millisecond, 800 * time.Millisecond, 700 * time.Millisecond},
		{2 * time.Second, 2 * time.Second, 500 * time.Millisecond},
		{400 * time.Millisecond, 800 * time.Millisecond, 100 * time.Millisecond},
		{10 * time.Second, time.Second, maxThrottledRetryAfter},
	} {
		c := &call{route: &config.Route{Timeout: tc.timeout, Objective: config.Objective{Latency: tc.objective}}}
		assert.Equal(t, c.throttled().RetryAfter, tc.want, "objective %s, timeout %s", tc.objective, tc.timeout)
	}
}

// Guards against an admit ratio that follows each single response while the
// destinations differ.
func TestAdmitRatioAveragesDestinations(t *testing.T) {
	var r admitRatios
	now := time.Unix(0, 0)
	for i := range 200 {
		now = now.Add(5 * time.Millisecond)
		r.record("r", config.Low, []float64{0.2, 1}[i%2], now)
	}
	v, _ := r.byKey.Load(admitRatioKey{"r", config.Low})
	value := v.(*admitRatio).value
	assert.Assert(t, value > 0.45 && value < 0.75, "admit ratio %v of destinations with 0.2 and 1", value)
}

// Guards against a node with few onward calls that treats a service as overloaded for
// seconds after it has stopped refusing calls.
func TestOnwardOverloadEndsWithFewCalls(t *testing.T) {
	var o onwardOverload
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		o.recordFailureRatio("deep", 0.5, now)
	}
	assert.Assert(t, o.maxFailureRatio(now) > 0.45, "%v", o.maxFailureRatio(now))
	for range 3 { // a second with three calls after the end of the overload
		now = now.Add(330 * time.Millisecond)
		o.recordFailureRatio("deep", 0, now)
	}
	assert.Assert(t, o.maxFailureRatio(now) < 0.01, "%v", o.maxFailureRatio(now))
}
