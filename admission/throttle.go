package admission

import (
	"math"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
)

const (
	// throttleTick is the time between two changes of a share.
	throttleTick = 100 * time.Millisecond
	// throttleMemory is the time constant of the counts of failures.
	throttleMemory = 2 * time.Second
	// throttleEvidence is the least sum of parts of refused onward calls that tells
	// how failures follow from them.
	throttleEvidence = 0.3
	// throttleGain turns the excess of failures into a decrease per tick.
	throttleGain = 0.25
	// A share rises per tick by a part of its distance from the share at which
	// requests began to fail: fast while it is far below or, after the overload has
	// ended, far above, and slowly near it, where it would fail again.
	throttleRisePart = 0.12
	throttleMinRise  = 0.004
	throttleMaxRise  = 0.06
	// throttleBelowEdge is where the slow rise is centred, as a part of the share at
	// which requests began to fail.
	throttleBelowEdge = 0.85
	// After throttleCalm without a sign of overload further down a share rises,
	// wherever requests began to fail before, by throttleCalmRise per tick for each
	// second of calm.
	throttleCalm     = 500 * time.Millisecond
	throttleCalmRise = 0.03
	// throttleCalmRefusing is the part of refused onward calls that is no sign of
	// overload.
	throttleCalmRefusing = 0.002
	// throttleFloor is the lowest share, so that less important requests are not
	// starved by a long overload, and something tells when it has ended.
	throttleFloor = 0.15
	// throttleQuiet is the part of the tolerated failures below which a share rises.
	throttleQuiet = 0.5
	// throttleIdle is the time without requests after which a share is forgotten.
	throttleIdle = 5 * time.Second
)

// tolerated is the part of requests that may fail for overload further down
// before fewer are let in. Less important requests give way first.
var tolerated = [config.ImportanceLevels]float64{
	config.Low: 0.02, config.Normal: 0.04, config.High: 0.25, config.Critical: 0.5,
}

// Throttle finds the share of each route's requests that is worth running on a
// backend server whose onward calls are refused for overload. A request that
// fails because one of its calls was refused has wasted all the others, so it is
// better refused before it starts. It is safe for concurrent use.
type Throttle struct {
	clock func() time.Time

	mu     sync.Mutex
	shares map[throttleKey]*throttled
}

type throttleKey struct {
	route      string
	importance config.Importance
}

// throttled is the state of one route and importance.
type throttled struct {
	share          float64
	edge           float64 // share at which requests began to fail lately
	falling        bool    // the latest change was a decrease
	failed, ended  float64 // decayed counts
	refused        float64 // decayed sum of the parts of refused onward calls
	refusing       float64 // latest part of refused onward calls
	ticked, latest time.Time
	overloaded     time.Time // latest sign of overload further down
}

// NewThrottle returns a Throttle that lets everything in.
func NewThrottle(clock func() time.Time) *Throttle {
	return &Throttle{clock: clock, shares: map[throttleKey]*throttled{}}
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
	key := throttleKey{route, level(i)}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shares[key]
	if s == nil {
		if !overloaded {
			return ThrottleEstimate{AdmitRatio: 1}
		}
		s = &throttled{share: 1, edge: 1, ticked: now, overloaded: now}
		t.shares[key] = s
	}
	s.latest = now
	s.ended++
	s.refused += refusing
	s.refusing = refusing
	if overloaded {
		s.failed++
	}
	if overloaded || refusing > throttleCalmRefusing {
		s.overloaded = now
	}
	if passed := now.Sub(s.ticked); passed >= throttleTick {
		s.tick(float64(passed)/float64(throttleTick), tolerated[key.importance], now.Sub(s.overloaded))
		s.ticked = now
		t.forget(now)
	}
	return ThrottleEstimate{AdmitRatio: s.share, FailureRatio: s.failing()}
}

// failing returns the part of requests that is expected to fail.
func (s *throttled) failing() float64 {
	if s.refused < throttleEvidence {
		return s.failed / max(s.ended, 1)
	}
	return min(s.refusing*s.failed/s.refused, 1)
}

// tick changes the share after a number of ticks. calm is the time since the latest
// sign of overload further down.
func (s *throttled) tick(ticks, limit float64, calm time.Duration) {
	ticks = min(ticks, float64(throttleMemory/throttleTick)/2)
	failing := s.failing()
	switch {
	case calm >= throttleCalm:
		s.falling = false
		s.share += ticks * throttleCalmRise * calm.Seconds()
	case failing > limit:
		if !s.falling {
			s.edge, s.falling = s.share, true
		}
		s.share *= 1 - throttleGain*min(ticks, 2)*(failing-limit)
	case failing < limit*throttleQuiet:
		s.falling = false
		rise := throttleRisePart * math.Abs(s.share-throttleBelowEdge*s.edge)
		s.share += ticks * min(max(rise, throttleMinRise), throttleMaxRise)
	}
	s.share = min(max(s.share, throttleFloor), 1)
	keep := 1 - ticks*float64(throttleTick)/float64(throttleMemory)
	s.failed, s.ended, s.refused = s.failed*keep, s.ended*keep, s.refused*keep
}

// forget drops the shares of routes without requests.
func (t *Throttle) forget(now time.Time) {
	for key, s := range t.shares {
		if now.Sub(s.latest) > throttleIdle || s.share == 1 && s.failed < 0.01 {
			delete(t.shares, key)
		}
	}
}
