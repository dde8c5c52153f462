package admission

import (
	"math"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
)

const (
	// throttleInterval is the time between two changes of a share.
	throttleInterval = 100 * time.Millisecond
	// throttleTimeConstant is the time constant of the counts of failures.
	throttleTimeConstant = 2 * time.Second
	// throttleMinRefusedSum is the least sum of parts of refused onward calls that tells
	// how failures follow from them.
	throttleMinRefusedSum = 0.3
	// throttleDecreaseGain turns the excess of failures into a decrease per tick.
	throttleDecreaseGain = 0.25
	// A share rises per tick by a part of its distance from the share at which
	// requests began to fail: fast while it is far below or, after the overload has
	// ended, far above, and slowly near it, where it would fail again.
	throttleRiseFraction = 0.12
	throttleMinRise      = 0.004
	throttleMaxRise      = 0.06
	// throttleRiseCentre is where the slow rise is centred, as a part of the share at
	// which requests began to fail.
	throttleRiseCentre = 0.85
	// After throttleQuietPeriod without a sign of overload further down a share rises,
	// wherever requests began to fail before, by throttleQuietRise per tick for each
	// second of calm.
	throttleQuietPeriod = 500 * time.Millisecond
	throttleQuietRise   = 0.03
	// throttleNegligibleRefusals is the part of refused onward calls that is no sign of
	// overload.
	throttleNegligibleRefusals = 0.002
	// throttleMinAdmitRatio is the lowest share, so that less important requests are not
	// starved by a long overload, and something tells when it has ended.
	throttleMinAdmitRatio = 0.15
	// throttleRiseBelow is the part of the tolerated failures below which a share rises.
	throttleRiseBelow = 0.5
	// throttleIdleTimeout is the time without requests after which a share is forgotten.
	throttleIdleTimeout = 5 * time.Second
)

// toleratedFailures is the part of requests that may fail for overload further down
// before fewer are let in. Less important requests give way first.
var toleratedFailures = [config.ImportanceLevels]float64{
	config.Low: 0.02, config.Normal: 0.04, config.High: 0.25, config.Critical: 0.5,
}

// Throttle finds the share of each route's requests that is worth running on a
// backend server whose onward calls are refused for overload. A request that
// fails because one of its calls was refused has wasted all the others, so it is
// better refused before it starts. It is safe for concurrent use.
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
	failureOnset           float64 // share at which requests began to fail lately
	decreasing             bool    // the latest change was a decrease
	failed, ended          float64 // decayed counts
	refusedSum             float64 // decayed sum of the parts of refused onward calls
	refusedRatio           float64 // latest part of refused onward calls
	updatedAt, lastRequest time.Time
	lastOverload           time.Time // latest sign of overload further down
}

// NewThrottle returns a Throttle that lets everything in.
func NewThrottle(clock func() time.Time) *Throttle {
	return &Throttle{clock: clock, routes: map[throttleKey]*routeThrottle{}}
}

// ThrottleEstimate is what is to be expected of a route's requests.
type ThrottleEstimate struct {
	AdmitRatio   float64 // part of the requests that is worth sending, 0 to 1
	FailureRatio float64 // part of those sent that fails for overload further down, 0 to 1
}

// Observe notes the end of a request; overloaded tells that it failed because of
// overload further down, and refusing which part of onward calls is refused at
// present. The route's own failures are few and come late; how many of them came
// with which part of refused calls tells how many there will be.
func (t *Throttle) Observe(route string, i config.Importance, overloaded bool, refusing float64) ThrottleEstimate {
	now := t.clock()
	key := throttleKey{route, clampImportance(i)}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.routes[key]
	if s == nil {
		if !overloaded {
			return ThrottleEstimate{AdmitRatio: 1}
		}
		s = &routeThrottle{admitRatio: 1, failureOnset: 1, updatedAt: now, lastOverload: now}
		t.routes[key] = s
	}
	s.lastRequest = now
	s.ended++
	s.refusedSum += refusing
	s.refusedRatio = refusing
	if overloaded {
		s.failed++
	}
	if overloaded || refusing > throttleNegligibleRefusals {
		s.lastOverload = now
	}
	if passed := now.Sub(s.updatedAt); passed >= throttleInterval {
		s.update(float64(passed)/float64(throttleInterval), toleratedFailures[key.importance], now.Sub(s.lastOverload))
		s.updatedAt = now
		t.removeIdle(now)
	}
	return ThrottleEstimate{AdmitRatio: s.admitRatio, FailureRatio: s.failureRatio()}
}

// failureRatio returns the part of requests that is expected to fail.
func (s *routeThrottle) failureRatio() float64 {
	if s.refusedSum < throttleMinRefusedSum {
		return s.failed / max(s.ended, 1)
	}
	return min(s.refusedRatio*s.failed/s.refusedSum, 1)
}

// update changes the share after a number of ticks. calm is the time since the latest
// sign of overload further down.
func (s *routeThrottle) update(ticks, limit float64, calm time.Duration) {
	ticks = min(ticks, float64(throttleTimeConstant/throttleInterval)/2)
	failing := s.failureRatio()
	switch {
	case calm >= throttleQuietPeriod:
		s.decreasing = false
		s.admitRatio += ticks * throttleQuietRise * calm.Seconds()
	case failing > limit:
		if !s.decreasing {
			s.failureOnset, s.decreasing = s.admitRatio, true
		}
		s.admitRatio *= 1 - throttleDecreaseGain*min(ticks, 2)*(failing-limit)
	case failing < limit*throttleRiseBelow:
		s.decreasing = false
		rise := throttleRiseFraction * math.Abs(s.admitRatio-throttleRiseCentre*s.failureOnset)
		s.admitRatio += ticks * min(max(rise, throttleMinRise), throttleMaxRise)
	}
	s.admitRatio = min(max(s.admitRatio, throttleMinAdmitRatio), 1)
	keep := 1 - ticks*float64(throttleInterval)/float64(throttleTimeConstant)
	s.failed, s.ended, s.refusedSum = s.failed*keep, s.ended*keep, s.refusedSum*keep
}

// removeIdle drops the shares of routes without requests.
func (t *Throttle) removeIdle(now time.Time) {
	for key, s := range t.routes {
		if now.Sub(s.lastRequest) > throttleIdleTimeout || s.admitRatio == 1 && s.failed < 0.01 {
			delete(t.routes, key)
		}
	}
}
