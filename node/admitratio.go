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
	// reportFreshTime is how long a ratio reported by a destination is used unchanged.
	// After that, an admit ratio rises by admitRatioRise per second, because no
	// requests may be left that would bring a new report, and a failure ratio is
	// ignored.
	reportFreshTime = time.Second
	admitRatioRise  = 0.2
	// minAdmitWeight is the least weight of a newly reported admit ratio in the
	// average over the destinations, and minFailureWeight that of a newly reported
	// failure ratio.
	minAdmitWeight   = 0.2
	minFailureWeight = 0.05
	// averageTimeConstant is the time constant of both averages, so that nodes with
	// few requests follow as fast as others.
	averageTimeConstant = 200 * time.Millisecond
	// minThrottledRetryFraction is the least Retry-After of requests that are refused
	// because of an admit ratio, as a fraction of the latency objective, and
	// maxThrottledRetryAfter the greatest one.
	minThrottledRetryFraction = 1.0 / 4
	maxThrottledRetryAfter    = time.Second
	// onwardRefusalWindow is how long refused onward calls explain a failed request,
	// and onwardRefusalCount how many there must have been in that time.
	onwardRefusalWindow = 500 * time.Millisecond
	onwardRefusalCount  = 3
)

// admitRatios holds, for each route of a service and each importance, the ratio of
// requests that its destinations can complete at present. It is safe for concurrent
// use.
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

// record adds an admit ratio reported by a destination to the average; 0 means that it
// reported none.
func (r *admitRatios) record(route string, i config.Importance, reported float64, now time.Time) {
	if reported <= 0 {
		return
	}
	key := admitRatioKey{route, i}
	v, ok := r.byKey.Load(key)
	if !ok {
		if reported >= 1 {
			return
		}
		v, _ = r.byKey.LoadOrStore(key, &admitRatio{value: 1, at: now})
	}
	ratio := v.(*admitRatio)
	ratio.mu.Lock()
	defer ratio.mu.Unlock()
	ratio.value += (reported - ratio.value) * averageWeight(minAdmitWeight, now.Sub(ratio.at))
	ratio.at = now
}

// averageWeight returns the weight of a value that is reported some time after the
// previous one.
func averageWeight(minWeight float64, elapsed time.Duration) float64 {
	return max(minWeight, 1-math.Exp(-elapsed.Seconds()/averageTimeConstant.Seconds()))
}

// admits decides at random, with the admit ratio as the probability, whether a request
// is admitted.
func (r *admitRatios) admits(route string, i config.Importance, now time.Time) bool {
	v, ok := r.byKey.Load(admitRatioKey{route, i})
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

var errOnwardOverload = refusal.New(refusal.Overload, "a service further down is overloaded").WithRetryAfter(maxThrottledRetryAfter)

// throttled returns the refusal of a call because of its admit ratio. The later callers
// return, the more capacity may have come back. But an answer must still be possible
// within the latency objective, and it may take up to the timeout.
func (c *call) throttled() *refusal.Refusal {
	objective := c.route.Objective.Latency
	if objective <= 0 {
		return errOnwardOverload
	}
	least := time.Duration(minThrottledRetryFraction * float64(objective))
	wait := max(objective-c.route.Timeout, least)
	return errOnwardOverload.WithRetryAfter(min(wait, maxThrottledRetryAfter))
}

// onwardOverload holds the times of the latest onward calls refused for overload and
// the failure ratio of each service. It is used if the protocol does not propagate the
// call context, so that onward calls cannot be attributed to the requests that cause
// them. It is safe for concurrent use.
type onwardOverload struct {
	epoch     time.Time // start of the node
	next      atomic.Uint32
	refusedAt [onwardRefusalCount]atomic.Int64 // ns since epoch; 0: none

	mu            sync.Mutex
	failureRatios map[string]*failureRatio // by service
}

// failureRatio is the average of the reported ratios of calls to a service that fail
// for overload.
type failureRatio struct {
	value float64
	at    time.Time
}

// recordFailureRatio adds a reported ratio of failing calls to the average of a
// service.
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

// maxFailureRatio returns the highest present failure ratio of all services.
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
	o.refusedAt[o.next.Add(1)%onwardRefusalCount].Store(max(int64(now.Sub(o.epoch)), 1))
}

// refusedRecently reports whether onwardRefusalCount onward calls were refused within
// the last onwardRefusalWindow.
func (o *onwardOverload) refusedRecently(now time.Time) bool {
	for i := range o.refusedAt {
		at := o.refusedAt[i].Load()
		if at == 0 || int64(now.Sub(o.epoch))-at > int64(onwardRefusalWindow) {
			return false
		}
	}
	return true
}
