package balancer

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	// loadTTL is how long the reported load of an endpoint is valid, in
	// nanoseconds. Load changes faster than the threshold does.
	loadTTL = int64(100 * time.Millisecond)
	// drainingTTL is how long a draining signal overrides an announcement of Serving,
	// which may be out of date.
	drainingTTL = 10 * time.Second
	// rampStartFraction is the fraction of the slots that counts at the beginning of a
	// cold start.
	rampStartFraction = 0.1
)

// endpointState is the state of one incarnation of an endpoint. Its times are in
// nanoseconds.
type endpointState struct {
	endpoint    atomic.Pointer[Endpoint] // never nil
	coldStartAt atomic.Int64

	inFlight             atomic.Int32 // calls of this node
	consecutiveFailures  atomic.Int32
	consecutiveEjections atomic.Int32 // determines the back-off
	ejectedUntil         atomic.Int64
	drainingUntil        atomic.Int64
	latency              latencyAverage
	failureRatio         movingRatio
	threshold            thresholdReport
	rateBackoff          rateBackoff
}

// eligibility ranks an endpoint for a call.
type eligibility uint8

const (
	ineligible  eligibility = iota
	admitting               // usable, and its threshold admits the call
	hasHeadroom             // admitting, and not saturated
)

func (s *endpointState) eligibility(now int64, info *PickInfo) eligibility {
	e := s.endpoint.Load()
	if !s.usable(e, now) || !s.admits(now, info) || slices.Contains(info.Exclude, e.Node) {
		return ineligible
	}
	if s.saturated(e, now) {
		return admitting
	}
	return hasHeadroom
}

// usable reports whether the endpoint serves and is neither draining nor ejected.
func (s *endpointState) usable(e *Endpoint, now int64) bool {
	return e.State == Serving && now >= s.drainingUntil.Load() && now >= s.ejectedUntil.Load()
}

func (s *endpointState) admits(now int64, info *PickInfo) bool {
	lowest, ok := s.threshold.lowest(now)
	return !ok || admission.Admits(peer.Threshold{Lowest: lowest}, info.Importance, info.Admitted)
}

// saturated reports whether this node's own calls fill the slots of the endpoint, or
// whether the endpoint has recently reported that it is full or that its rate limit lets
// no request through yet, or has refused calls for that.
func (s *endpointState) saturated(e *Endpoint, now int64) bool {
	return float64(s.inFlight.Load()) >= s.slots(e, now) || s.threshold.full(now) ||
		s.threshold.rateWait(now) > 0 || s.rateBackoff.active(now)
}

// slots returns the number of slots, reduced during a cold start, at least 1.
func (s *endpointState) slots(e *Endpoint, now int64) float64 {
	slots := float64(max(e.Slots, 1))
	cold := int64(e.ColdStart)
	if elapsed := now - s.coldStartAt.Load(); elapsed < cold {
		slots *= rampStartFraction + (1-rampStartFraction)*float64(elapsed)/float64(cold)
	}
	return max(slots, 1)
}

// expectedLatency returns the expected latency of a call to the endpoint in
// nanoseconds, with a surcharge for calls that fail and have to be retried.
func (s *endpointState) expectedLatency(now int64, assumed float64) float64 {
	l := s.latency.estimate(now)
	if l == 0 {
		l = max(assumed, 1)
	}
	return l * (1 + failureRatioPenalty*s.failureRatio.value())
}

// worthSpillOver reports whether s, an endpoint of a farther tier, is preferable to
// near. While no recent latency of s is known, one call at a time is sent to measure it.
// A known latency is not reduced with its age here.
func (s *endpointState) worthSpillOver(near *endpointState, q *selection) bool {
	seen := s.latency.observedAt.Load()
	if seen == 0 || q.now-seen > spillOverLatencyTTL {
		return s.inFlight.Load() == 0
	}
	return s.expectedLatency(seen, spillOverAssumedLatency)*spillOverFactor < near.expectedLatency(q.now, q.assumedLatency)
}

const (
	// failureRatioPenalty is the relative increase of the expected latency per unit of
	// the failure ratio.
	failureRatioPenalty = 8
	// failureRatioWeight is the weight of the latest call in the failure ratio.
	failureRatioWeight = 1.0 / 16
)

// movingRatio is an exponential moving average of zeros and ones.
type movingRatio struct{ bits atomic.Uint64 }

func (r *movingRatio) value() float64 { return math.Float64frombits(r.bits.Load()) }

// add includes an observation. An update that is lost between concurrent calls only
// drops one observation.
func (r *movingRatio) add(v float64) {
	old := r.value()
	r.bits.Store(math.Float64bits(old + (v-old)*failureRatioWeight))
}

func (r *movingRatio) reset() { r.bits.Store(0) }

// cost returns (in flight + 1) x expected latency / slots, plus the time for which the
// rate limit of the endpoint lets no request through. In flight is this node's own count
// or the load that the endpoint has recently reported, whichever is higher.
func (s *endpointState) cost(now int64, assumed float64) float64 {
	l := s.expectedLatency(now, assumed)
	n := max(int(s.inFlight.Load()), s.threshold.load(now))
	return float64(n+1)*l/s.slots(s.endpoint.Load(), now) + float64(s.threshold.rateWait(now))
}

const (
	// latencyWeight is the weight of a new observation in the average.
	latencyWeight = 1.0 / 8
	// latencyHalfAge is the age at which an estimate is halved, in nanoseconds, so that
	// a slow endpoint is tried again although it gets few calls.
	latencyHalfAge = 1e9
)

// latencyAverage is an exponential moving average in nanoseconds.
type latencyAverage struct {
	value      atomic.Uint64 // float64 bits; 0 means unknown
	observedAt atomic.Int64  // time of the latest observation, nanoseconds
}

func (l *latencyAverage) add(now int64, d time.Duration) {
	v := max(float64(d), 1)
	// An update that is lost between concurrent calls only drops one observation.
	if old := math.Float64frombits(l.value.Load()); old > 0 {
		v = old + (v-old)*latencyWeight
	}
	l.value.Store(math.Float64bits(v))
	l.observedAt.Store(now)
}

// addLowerBound records a call that was cancelled after d, if d is above the average.
func (l *latencyAverage) addLowerBound(now int64, d time.Duration) {
	if float64(d) > math.Float64frombits(l.value.Load()) {
		l.add(now, d)
	}
}

// estimate returns the average, reduced with its age, or 0 if it is unknown.
func (l *latencyAverage) estimate(now int64) float64 {
	v := math.Float64frombits(l.value.Load())
	if age := now - l.observedAt.Load(); age > 0 {
		v /= 1 + float64(age)/latencyHalfAge
	}
	return v
}

// thresholdReport is the latest threshold of an endpoint, packed into one word: lowest
// (2 bits), full (1 bit) and in flight plus queued (32 bits).
type thresholdReport struct {
	packed     atomic.Uint64
	receivedAt atomic.Int64 // nanoseconds; 0 means that none was received
	rateFreeAt atomic.Int64 // when the rate limit lets the next request through, nanoseconds
}

// store replaces the report and returns true if v admits a lower importance than the
// previous one.
func (t *thresholdReport) store(now int64, v peer.Threshold) bool {
	full := uint64(0)
	if v.Queued > 0 && v.InFlight >= v.Limit {
		full = 1
	}
	load := uint64(min(max(v.InFlight+v.Queued, 0), math.MaxInt32))
	lowest := min(v.Lowest, config.Critical)
	old := t.packed.Swap(uint64(lowest) | full<<2 | load<<3)
	t.receivedAt.Store(now)
	t.rateFreeAt.Store(now + max(v.RateWaitMicros, 0)*int64(time.Microsecond))
	return lowest < config.Importance(old&3)
}

func (t *thresholdReport) fresh(now, ttl int64) bool {
	at := t.receivedAt.Load()
	return at > 0 && now-at < ttl
}

// lowest returns the lowest importance that is admitted; false means that no valid
// report is known.
func (t *thresholdReport) lowest(now int64) (config.Importance, bool) {
	return config.Importance(t.packed.Load() & 3), t.fresh(now, int64(admission.ThresholdTTL))
}

// rateWait returns how long the rate limit lets no request through, in nanoseconds.
func (t *thresholdReport) rateWait(now int64) int64 { return max(t.rateFreeAt.Load()-now, 0) }

func (t *thresholdReport) full(now int64) bool {
	return t.packed.Load()&4 != 0 && t.fresh(now, loadTTL)
}

// load returns the reported number of calls in flight and queued, or 0 if it is out of
// date.
func (t *thresholdReport) load(now int64) int {
	if !t.fresh(now, loadTTL) {
		return 0
	}
	return int(t.packed.Load() >> 3)
}

// refusedImportances caches which importances all endpoints refuse, so that the cost
// of refusing such calls does not grow with the number of endpoints.
type refusedImportances struct {
	until [config.ImportanceLevels]atomic.Int64 // expiry, nanoseconds
}

func (r *refusedImportances) contains(now int64, info *PickInfo) bool {
	return !info.Admitted && now < r.until[min(info.Importance, config.Critical)].Load()
}

func (r *refusedImportances) add(now int64, info *PickInfo) {
	if !info.Admitted {
		r.until[min(info.Importance, config.Critical)].Store(now + refusedTTL)
	}
}

func (r *refusedImportances) clear() {
	for i := range r.until {
		r.until[i].Store(0)
	}
}
