package node

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	// shareAge is how long a share told by a destination is used as it is; then it
	// rises by shareRise a second, because nothing may come to tell a new one.
	reportFreshTime = time.Second
	admitRatioRise  = 0.2
	// shareWeight is the least weight of a newly told share in the average over the
	// destinations, and failingWeight that of a newly told part of failing calls.
	minAdmitWeight   = 0.2
	minFailureWeight = 0.05
	// toldMemory is the time constant of both averages, so that nodes with few
	// requests follow as fast as others.
	averageTimeConstant = 200 * time.Millisecond
	// shareRetryAfter is told to callers that a share keeps out. It is about the
	// time in which a share changes noticeably.
	overloadRetryAfter = time.Second
	// onwardRecent is how long refused onward calls explain a failed request, and
	// onwardCount how many there must have been in that time.
	onwardRefusalWindow = 500 * time.Millisecond
	onwardRefusalCount  = 3
)

// shares holds, for the routes of a service, which share of the requests its
// destinations can complete at present.
type admitRatios struct{ byKey sync.Map }

type admitRatioKey struct {
	route      string
	importance config.Importance
}

type admitRatio struct {
	mu    sync.Mutex
	value float64
	at    time.Time
}

// note takes over a share told by a destination; 0 means that it told none.
func (s *admitRatios) record(route string, i config.Importance, reported float64, now time.Time) {
	if reported <= 0 {
		return
	}
	key := admitRatioKey{route, i}
	v, ok := s.byKey.Load(key)
	if !ok {
		if reported >= 1 {
			return
		}
		v, _ = s.byKey.LoadOrStore(key, &admitRatio{value: 1, at: now})
	}
	ratio := v.(*admitRatio)
	ratio.mu.Lock()
	defer ratio.mu.Unlock()
	ratio.value += (reported - ratio.value) * averageWeight(minAdmitWeight, now.Sub(ratio.at))
	ratio.at = now
}

// toldWeight returns the weight of a told value that comes some time after the one
// before.
func averageWeight(minWeight float64, elapsed time.Duration) float64 {
	return max(minWeight, 1-math.Exp(-elapsed.Seconds()/averageTimeConstant.Seconds()))
}

// admits draws whether a request is within the share.
func (s *admitRatios) admits(route string, i config.Importance, now time.Time) bool {
	v, ok := s.byKey.Load(admitRatioKey{route, i})
	if !ok {
		return true
	}
	ratio := v.(*admitRatio)
	ratio.mu.Lock()
	value := ratio.value
	if age := now.Sub(ratio.at) - reportFreshTime; age > 0 {
		value += admitRatioRise * age.Seconds()
	}
	ratio.mu.Unlock()
	return value >= 1 || rand.Float64() < value
}

var errOnwardOverload = refusal.New(refusal.Overload, "a service further down is overloaded").WithRetryAfter(overloadRetryAfter)

// onwardOverload remembers the latest onward calls that failed for overload,
// where nothing tells which request an onward call belongs to.
type onwardOverload struct {
	next      atomic.Uint32
	refusedAt [onwardRefusalCount]atomic.Int64

	mu            sync.Mutex
	failureRatios map[string]*failureRatio // by service
}

// toldFailing is which part of calls to a service is told to fail.
type failureRatio struct {
	value float64
	at    time.Time
}

// told takes over which part of the calls to a service fails for overload.
func (o *onwardOverload) recordFailureRatio(service string, reported float64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failureRatios == nil {
		o.failureRatios = map[string]*failureRatio{}
	}
	f := o.failureRatios[service]
	if f == nil {
		f = &failureRatio{at: now}
		o.failureRatios[service] = f
	}
	f.value += (reported - f.value) * averageWeight(minFailureWeight, now.Sub(f.at))
	f.at = now
}

// refusing returns the highest part of calls to any service that fails at present.
func (o *onwardOverload) maxFailureRatio(now time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	most := 0.0
	for _, f := range o.failureRatios {
		if now.Sub(f.at) < reportFreshTime {
			most = max(most, f.value)
		}
	}
	return most
}

func (o *onwardOverload) recordRefusal(now time.Time) {
	o.refusedAt[o.next.Add(1)%onwardRefusalCount].Store(now.UnixNano())
}

// recent reports whether several onward calls failed for overload lately.
func (o *onwardOverload) refusedRecently(now time.Time) bool {
	for i := range o.refusedAt {
		if now.UnixNano()-o.refusedAt[i].Load() > int64(onwardRefusalWindow) {
			return false
		}
	}
	return true
}
