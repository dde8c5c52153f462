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
	// throttleMemory is the time constant of the observed part of failures.
	throttleMemory = 500 * time.Millisecond
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
	// throttleFloor is the lowest share. Without any request, nothing would tell
	// that the overload has ended.
	throttleFloor = 0.02
	// throttleQuiet is the part of the tolerated failures below which a share rises.
	throttleQuiet = 0.5
	// throttleIdle is the time without requests after which a share is forgotten.
	throttleIdle = 5 * time.Second
)

// tolerated is the part of requests that may fail for overload further down
// before fewer are let in. Less important requests give way first.
var tolerated = [config.ImportanceLevels]float64{
	config.Low: 0.02, config.Normal: 0.04, config.High: 0.4, config.Critical: 0.6,
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
	ticked, latest time.Time
}

// NewThrottle returns a Throttle that lets everything in.
func NewThrottle(clock func() time.Time) *Throttle {
	return &Throttle{clock: clock, shares: map[throttleKey]*throttled{}}
}

// Observe notes the end of a request; overloaded tells that it failed because
// of overload further down. It returns the share of such requests that is worth
// sending, from 0 to 1.
func (t *Throttle) Observe(route string, i config.Importance, overloaded bool) float64 {
	now := t.clock()
	key := throttleKey{route, level(i)}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shares[key]
	if s == nil {
		if !overloaded {
			return 1
		}
		s = &throttled{share: 1, edge: 1, ticked: now}
		t.shares[key] = s
	}
	s.latest = now
	s.ended++
	if overloaded {
		s.failed++
	}
	if passed := now.Sub(s.ticked); passed >= throttleTick {
		s.tick(float64(passed)/float64(throttleTick), tolerated[key.importance])
		s.ticked = now
		t.forget(now)
	}
	return s.share
}

// tick changes the share after a number of ticks.
func (s *throttled) tick(ticks, limit float64) {
	ticks = min(ticks, float64(throttleMemory/throttleTick))
	failing := s.failed / s.ended
	switch {
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
	s.failed, s.ended = s.failed*max(keep, 0), s.ended*max(keep, 0)
}

// forget drops the shares of routes without requests.
func (t *Throttle) forget(now time.Time) {
	for key, s := range t.shares {
		if now.Sub(s.latest) > throttleIdle || s.share == 1 && s.failed < 0.01 {
			delete(t.shares, key)
		}
	}
}
