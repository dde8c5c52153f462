package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// simulateLoad simulates full load for the given number of seconds on a backend server
// whose latency (nanoseconds) depends on the limit, and returns the limit at the end.
func simulateLoad(l *limiter, now *int64, seconds int, latency func(limit int) int64) int {
	end := *now + int64(seconds)*1e9
	for *now < end {
		n := l.current()
		d := latency(n)
		*now += d
		for range n {
			l.recordInFlight(n)
			l.observe(*now, d, OK)
		}
	}
	return l.current()
}

// Guards against a limit that stays high when concurrency causes the latency, that
// falls when it does not, or that does not recover.
func TestLimitFallsOnlyIfConcurrencyRaisesLatency(t *testing.T) {
	constant := func(d int64) func(int) int64 { return func(int) int64 { return d } }
	congested := func(n int) int64 { return 10e6 * int64(max(n, 20)) / 20 }
	l, now := limiter{}, int64(0)
	l.setMaxLimit(100)
	assert.Equal(t, simulateLoad(&l, &now, 2, constant(10e6)), 100)
	slow := simulateLoad(&l, &now, 5, constant(60e6))
	assert.Assert(t, slow >= 80, "limit %d after a slowdown that concurrency does not cause", slow)
	assert.Equal(t, simulateLoad(&l, &now, 1, constant(10e6)), 100)
	low := simulateLoad(&l, &now, 5, congested)
	assert.Assert(t, low <= 60, "limit %d under congestion", low)
	assert.Equal(t, simulateLoad(&l, &now, 1, constant(10e6)), 100)
}

// Guards against a limit that does not fall when the backend server sheds requests.
func TestLimitFallsWhenBackendSheds(t *testing.T) {
	l, now := limiter{}, int64(0)
	l.setMaxLimit(100)
	for range 100 {
		now += 1e6
		l.recordInFlight(100)
		l.observe(now, 1e6, Shed)
	}
	assert.Assert(t, l.current() < 100)
	assert.Equal(t, simulateLoad(&l, &now, 1, func(int) int64 { return 10e6 }), 100)
}

// Guards against a limit of zero, from which it could not recover.
func TestLimitNeverReachesZero(t *testing.T) {
	l, now := limiter{}, int64(0)
	l.setMaxLimit(1)
	for range 1000 {
		now += 10e6
		l.recordInFlight(1)
		l.observe(now, 1e6, Shed)
	}
	assert.Equal(t, l.current(), 1)
}
