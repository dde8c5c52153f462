package admission

import (
	"math"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
)

const (
	// throttleInterval is the shortest time between two updates of an admit ratio.
	throttleInterval = 100 * time.Millisecond
	// throttleTimeConstant is the time constant of the decay of all counts.
	throttleTimeConstant = 2 * time.Second
	// If the decayed sum of refused ratios is at least throttleMinRefusedSum, the
	// failure ratio is the latest refused ratio times the failures per refused ratio;
	// below it, the failures per request.
	throttleMinRefusedSum = 0.3
	// In each interval, an admit ratio falls by the fraction throttleDecreaseGain ×
	// (failure ratio - tolerated failure ratio).
	throttleDecreaseGain = 0.25
	// In each interval, an admit ratio rises by throttleRiseFraction of its distance
	// from throttleRiseCentre × failureOnset, but at least by throttleMinRise and at
	// most by throttleMaxRise. It rises slowly near that point, where failures would
	// begin again, and fast while it is far below or, after the overload has ended, far
	// above.
	throttleRiseFraction = 0.12
	throttleMinRise      = 0.004
	throttleMaxRise      = 0.06
	// throttleRiseCentre is the point of the slowest rise, as a fraction of the admit
	// ratio at which failures began.
	throttleRiseCentre = 0.85
	// After throttleQuietPeriod without a sign of onward overload, an admit ratio
	// rises regardless of where failures began: in each interval by throttleQuietRise
	// times the seconds since the last sign.
	throttleQuietPeriod = 500 * time.Millisecond
	throttleQuietRise   = 0.03
	// throttleNegligibleRefusals is the ratio of refused onward calls up to which
	// they are not a sign of overload.
	throttleNegligibleRefusals = 0.002
	// throttleMinAdmitRatio is the lowest admit ratio. It keeps less important
	// requests from starving in a long overload, and those that are admitted show
	// when the overload has ended.
	throttleMinAdmitRatio = 0.15
	// throttleRiseBelow is the fraction of the tolerated failure ratio below which an
	// admit ratio rises.
	throttleRiseBelow = 0.5
	// throttleIdleTimeout is the time without requests after which the state of a
	// route is removed.
	throttleIdleTimeout = 5 * time.Second
)

// toleratedFailures is the ratio of requests that may fail for onward overload before
// the admit ratio falls. It is lower for less important requests, which are
// throttled first.
var toleratedFailures = [config.ImportanceLevels]float64{
	config.Low: 0.02, config.Normal: 0.04, config.High: 0.25, config.Critical: 0.5,
}

// Throttle determines, for a backend server whose onward calls are refused for
// overload, the ratio of each route's requests that is worth admitting. A request that
// fails because one of its onward calls was refused has wasted all its other calls, so
// it is better refused before it starts. Throttle is safe for concurrent use.
type Throttle struct {
	clock func() time.Time

	mu     sync.Mutex
	routes map[throttleKey]*routeThrottle
}

type throttleKey struct {
	route      string
	importance config.Importance
}

// routeThrottle is the state of one route and importance.
type routeThrottle struct {
	admitRatio             float64
	failureOnset           float64 // admit ratio at which the latest failures began
	decreasing             bool    // the latest change was a decrease
	failed, ended          float64 // counts with exponential decay
	refusedSum             float64 // sum of the refused ratios, with exponential decay
	refusedRatio           float64 // latest ratio of refused onward calls
	updatedAt, lastRequest time.Time
	lastOverload           time.Time // latest sign of onward overload
}

// NewThrottle returns a Throttle that admits all requests. clock must not be nil and
// must be safe for concurrent use.
func NewThrottle(clock func() time.Time) *Throttle {
	return &Throttle{clock: clock, routes: map[throttleKey]*routeThrottle{}}
}

// ThrottleEstimate is the estimate for the requests of one route and importance.
type ThrottleEstimate struct {
	AdmitRatio   float64 // ratio of the requests that is worth sending, 0 to 1
	FailureRatio float64 // ratio of the sent requests that fail for onward overload, 0 to 1
}

// Observe records the end of a request and returns the new estimate. overloaded tells
// that the request failed for onward overload; refusedRatio is the ratio of onward
// calls that are currently refused, 0 to 1. As failures of a single route are rare and
// late, the failure ratio is estimated from refusedRatio and from the number of
// failures that accompanied earlier values of it.
func (t *Throttle) Observe(route string, i config.Importance, overloaded bool, refusedRatio float64) ThrottleEstimate {
	now := t.clock()
	key := throttleKey{route, clampImportance(i)}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[key]
	if r == nil {
		if !overloaded {
			return ThrottleEstimate{AdmitRatio: 1}
		}
		r = &routeThrottle{admitRatio: 1, failureOnset: 1, updatedAt: now, lastOverload: now}
		t.routes[key] = r
	}
	r.lastRequest = now
	r.ended++
	r.refusedSum += refusedRatio
	r.refusedRatio = refusedRatio
	if overloaded {
		r.failed++
	}
	if overloaded || refusedRatio > throttleNegligibleRefusals {
		r.lastOverload = now
	}
	if elapsed := now.Sub(r.updatedAt); elapsed >= throttleInterval {
		r.update(float64(elapsed)/float64(throttleInterval), toleratedFailures[key.importance], now.Sub(r.lastOverload))
		r.updatedAt = now
		t.removeIdle(now)
	}
	return ThrottleEstimate{AdmitRatio: r.admitRatio, FailureRatio: r.failureRatio()}
}

// failureRatio returns the ratio of requests that are expected to fail.
func (r *routeThrottle) failureRatio() float64 {
	if r.refusedSum < throttleMinRefusedSum {
		return r.failed / max(r.ended, 1)
	}
	return min(r.refusedRatio*r.failed/r.refusedSum, 1)
}

// update adjusts the admit ratio after the given number of intervals. tolerated is the
// failure ratio above which it falls, and quiet the time since the latest sign of
// onward overload.
func (r *routeThrottle) update(intervals, tolerated float64, quiet time.Duration) {
	intervals = min(intervals, float64(throttleTimeConstant/throttleInterval)/2)
	failing := r.failureRatio()
	switch {
	case quiet >= throttleQuietPeriod:
		r.decreasing = false
		r.admitRatio += intervals * throttleQuietRise * quiet.Seconds()
	case failing > tolerated:
		if !r.decreasing {
			r.failureOnset, r.decreasing = r.admitRatio, true
		}
		r.admitRatio *= 1 - throttleDecreaseGain*min(intervals, 2)*(failing-tolerated)
	case failing < tolerated*throttleRiseBelow:
		r.decreasing = false
		rise := throttleRiseFraction * math.Abs(r.admitRatio-throttleRiseCentre*r.failureOnset)
		r.admitRatio += intervals * min(max(rise, throttleMinRise), throttleMaxRise)
	}
	r.admitRatio = min(max(r.admitRatio, throttleMinAdmitRatio), 1)
	decay := 1 - intervals*float64(throttleInterval)/float64(throttleTimeConstant)
	r.failed, r.ended, r.refusedSum = r.failed*decay, r.ended*decay, r.refusedSum*decay
}

// removeIdle removes the state of routes that have had no requests for
// throttleIdleTimeout, or that are fully admitted and free of recent failures.
func (t *Throttle) removeIdle(now time.Time) {
	for key, r := range t.routes {
		if now.Sub(r.lastRequest) > throttleIdleTimeout || r.admitRatio == 1 && r.failed < 0.01 {
			delete(t.routes, key)
		}
	}
}
