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
	// saturatedAge is how long a report of a full endpoint with a queue is
	// believed. Load changes faster than the threshold does.
	saturatedAge = int64(100 * time.Millisecond)
	// drainingMemory is how long a draining signal outlasts an announcement that
	// still says serving, which may be late.
	drainingMemory = 10 * time.Second
	// rampFloor is the part of the slots that counts at the start of a cold start.
	rampFloor = 0.1
)

// state is what the Balancer knows about one incarnation of an endpoint.
type state struct {
	endpoint atomic.Pointer[Endpoint] // never nil
	added    atomic.Int64             // start of the cold start, nanoseconds

	inFlight      atomic.Int32
	failures      atomic.Int32 // consecutive
	ejections     atomic.Int32 // consecutive, for the back-off
	ejectedUntil  atomic.Int64
	drainingUntil atomic.Int64
	latency       latency
	failing       ratio
	threshold     threshold
}

// fitness ranks an endpoint for a call.
type fitness uint8

const (
	unfit     fitness = iota
	admitting         // usable and does not refuse the importance
	spare             // and has headroom
)

func (s *state) fitness(now int64, info *PickInfo) fitness {
	e := s.endpoint.Load()
	if !s.usable(e, now) || !s.admits(now, info) || slices.Contains(info.Exclude, e.Node) {
		return unfit
	}
	if s.saturated(e, now) {
		return admitting
	}
	return spare
}

// usable reports whether the endpoint may get new calls at all.
func (s *state) usable(e *Endpoint, now int64) bool {
	return e.State == Serving && now >= s.drainingUntil.Load() && now >= s.ejectedUntil.Load()
}

func (s *state) admits(now int64, info *PickInfo) bool {
	lowest, ok := s.threshold.lowest(now)
	return !ok || admission.Admits(peer.Threshold{Lowest: lowest}, info.Importance, info.Admitted)
}

// saturated reports whether this node alone fills the endpoint, or whether the
// endpoint lately said that it is full.
func (s *state) saturated(e *Endpoint, now int64) bool {
	return float64(s.inFlight.Load()) >= s.slots(e, now) || s.threshold.full(now)
}

// slots returns the slots, lowered during the cold start, at least 1.
func (s *state) slots(e *Endpoint, now int64) float64 {
	slots := float64(max(e.Slots, 1))
	cold := int64(e.ColdStart)
	if passed := now - s.added.Load(); passed < cold {
		slots *= rampFloor + (1-rampFloor)*float64(passed)/float64(cold)
	}
	return max(slots, 1)
}

// effort is the latency in nanoseconds that a call costs at the endpoint, with an
// addition for calls that fail there and have to be made again.
func (s *state) effort(now int64, assumed float64) float64 {
	l := s.latency.estimate(now)
	if l == 0 {
		l = max(assumed, 1)
	}
	return l * (1 + failurePenalty*s.failing.value())
}

// muchBetter reports whether s, of a farther tier, is worth the distance. Of an
// endpoint whose latency is not known lately, one call at a time finds it out.
func (s *state) muchBetter(near *state, q *search) bool {
	seen := s.latency.at.Load()
	if seen == 0 || q.now-seen > spillForget {
		return s.inFlight.Load() == 0
	}
	return s.effort(seen, spillAssumed)*spillFactor < near.effort(q.now, q.assumed)
}

const (
	// failurePenalty weighs the part of failed calls against latency.
	failurePenalty = 8
	// failureWeight is the weight of the latest call in the part of failed calls.
	failureWeight = 1.0 / 16
)

// ratio is a moving average of zeros and ones.
type ratio struct{ bits atomic.Uint64 }

func (r *ratio) value() float64 { return math.Float64frombits(r.bits.Load()) }

// add takes over one value. A lost update between concurrent calls only drops
// one observation.
func (r *ratio) add(v float64) {
	old := r.value()
	r.bits.Store(math.Float64bits(old + (v-old)*failureWeight))
}

func (r *ratio) reset() { r.bits.Store(0) }

// cost is (in flight + 1) x latency / slots. The in-flight count is this node's
// own or the endpoint's last report, whichever is higher.
func (s *state) cost(now int64, assumed float64) float64 {
	l := s.effort(now, assumed)
	n := max(int(s.inFlight.Load()), s.threshold.load(now))
	return float64(n+1) * l / s.slots(s.endpoint.Load(), now)
}

const (
	// latencyWeight is the weight of a new latency in the average.
	latencyWeight = 1.0 / 8
	// latencyForget is the age at which an estimate counts half, nanoseconds. An
	// endpoint that was slow is tried again although it gets few calls.
	latencyForget = 1e9
)

// latency is a moving average in nanoseconds.
type latency struct {
	value atomic.Uint64 // float64 bits; 0 means unknown
	at    atomic.Int64  // time of the last observation
}

func (l *latency) add(now int64, d time.Duration) {
	v := max(float64(d), 1)
	// A lost update between concurrent calls only drops one observation.
	if old := math.Float64frombits(l.value.Load()); old > 0 {
		v = old + (v-old)*latencyWeight
	}
	l.value.Store(math.Float64bits(v))
	l.at.Store(now)
}

// raise records a call that was given up: its latency is a lower bound.
func (l *latency) raise(now int64, d time.Duration) {
	if float64(d) > math.Float64frombits(l.value.Load()) {
		l.add(now, d)
	}
}

// estimate returns the average, lowered with its age, or 0 if it is unknown.
func (l *latency) estimate(now int64) float64 {
	v := math.Float64frombits(l.value.Load())
	if age := now - l.at.Load(); age > 0 {
		v /= 1 + float64(age)/latencyForget
	}
	return v
}

// threshold is the last report of an endpoint, packed into one word: lowest (2
// bits), full (1 bit) and in flight plus queued (32 bits).
type threshold struct {
	word atomic.Uint64
	at   atomic.Int64 // time of receipt; 0 means none
}

// store returns true if t admits more than before.
func (t *threshold) store(now int64, v peer.Threshold) bool {
	full := uint64(0)
	if v.Queued > 0 && v.InFlight >= v.Limit {
		full = 1
	}
	load := uint64(min(max(v.InFlight+v.Queued, 0), math.MaxInt32))
	lowest := min(v.Lowest, config.Critical)
	old := t.word.Swap(uint64(lowest) | full<<2 | load<<3)
	t.at.Store(now)
	return lowest < config.Importance(old&3)
}

func (t *threshold) fresh(now, limit int64) bool {
	at := t.at.Load()
	return at > 0 && now-at < limit
}

func (t *threshold) lowest(now int64) (config.Importance, bool) {
	return config.Importance(t.word.Load() & 3), t.fresh(now, int64(admission.ThresholdTTL))
}

func (t *threshold) full(now int64) bool {
	return t.word.Load()&4 != 0 && t.fresh(now, saturatedAge)
}

func (t *threshold) load(now int64) int {
	if !t.fresh(now, saturatedAge) {
		return 0
	}
	return int(t.word.Load() >> 3)
}

// refused remembers which importances all endpoints refuse, so that calls that are
// refused early cost the same at any number of endpoints.
type refused struct {
	until [config.ImportanceLevels]atomic.Int64 // nanoseconds
}

func (r *refused) holds(now int64, info *PickInfo) bool {
	return !info.Admitted && now < r.until[min(info.Importance, config.Critical)].Load()
}

func (r *refused) note(now int64, info *PickInfo) {
	if !info.Admitted {
		r.until[min(info.Importance, config.Critical)].Store(now + refusedMemory)
	}
}

func (r *refused) forget() {
	for i := range r.until {
		r.until[i].Store(0)
	}
}
