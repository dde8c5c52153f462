package balancer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	// retryAfterOverload is the Retry-After of calls that all endpoints refuse.
	retryAfterOverload = 100 * time.Millisecond
	// retryAfterNoEndpoint is the Retry-After of calls without a usable endpoint. An
	// announcement normally arrives within this time.
	retryAfterNoEndpoint = time.Second
	// Lists of up to maxSamples endpoints are scanned completely; in longer ones,
	// maxSamples random endpoints are tried, and a tier counts as full if none of them
	// has headroom. This keeps Pick below 1 us at 1,100 endpoints.
	maxSamples = 8
	// maxRoomScan is the number of endpoints that HasRoom looks at.
	maxRoomScan = 64
	// refusedTTL is how long it is remembered that all endpoints refuse an importance,
	// in nanoseconds.
	refusedTTL = int64(5 * time.Millisecond)
	// spillOverLatency is the expected latency, in nanoseconds, above which an endpoint
	// is compared with those of farther tiers. It is several times the 3 ms of a round
	// trip between data centres.
	spillOverLatency = 20e6
	// spillOverFactor is how many times lower the expected latency of a farther
	// endpoint has to be.
	spillOverFactor = 1.7
	// spillOverAssumedLatency is the fallback latency, in nanoseconds, that
	// worthSpillOver passes to expectedLatency. Endpoints without observations do not
	// reach that comparison; they are tried one call at a time.
	spillOverAssumedLatency = 5e6
	// spillOverLatencyTTL is the age, in nanoseconds, above which the latency of a
	// farther endpoint has to be measured again.
	spillOverLatencyTTL = int64(3 * time.Second)
)

// Config describes a Balancer.
type Config struct {
	DataCentre string           // of this node
	Region     string           // of this node
	Clock      func() time.Time // must be safe for concurrent use; nil means time.Now
	Rand       func() uint32    // returns the seed of each choice; must be safe for concurrent use; nil means math/rand/v2.Uint32
}

// Balancer chooses endpoints of one service. It is safe for concurrent use.
type Balancer struct {
	cfg   Config
	epoch time.Time
	table atomic.Pointer[endpointTable]

	refused refusedImportances

	mu      sync.Mutex     // serialises Update and ejections; guards no field
	latency latencyAverage // of all endpoints, assumed for an endpoint without observations; atomic
}

// New returns a Balancer without endpoints.
func New(cfg Config) *Balancer {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Uint32
	}
	b := &Balancer{cfg: cfg, epoch: cfg.Clock()}
	b.table.Store(&endpointTable{})
	return b
}

// now returns the time since the Balancer was created, in nanoseconds, at least 1.
func (b *Balancer) now() int64 { return int64(b.cfg.Clock().Sub(b.epoch)) + 1 }

// PickInfo describes the call that an endpoint is chosen for.
type PickInfo struct {
	Exclude    []string // IDs of nodes that have refused this call or on which it has failed
	Importance config.Importance
	Admitted   bool // part of a call tree that has already been admitted
}

// Pick is a chosen endpoint. Done must be called exactly once.
type Pick struct {
	b *Balancer
	s *endpointState
}

// Endpoint returns the chosen endpoint as of the latest Update.
func (p Pick) Endpoint() Endpoint { return *p.s.endpoint.Load() }

// Outcome is the way in which a call to an endpoint ended.
type Outcome uint8

// The outcomes of a call.
const (
	OK        Outcome = iota // complete answer
	Failed                   // connection error, failed backend server or incomplete answer
	Refused                  // overload, draining or deadline refusal by the destination node
	Cancelled                // the caller disconnected or the deadline passed during the call
)

// Result describes a completed call and what it revealed about the endpoint.
type Result struct {
	Latency       time.Duration
	Outcome       Outcome
	Threshold     *peer.Threshold // nil if none was received
	Draining      bool            // the endpoint reported that it is draining
	Unreachable   bool            // no connection was made, or the address belongs to another node
	BackendFailed bool            // the backend server itself failed or refused the call
	RateLimited   bool            // refused because the rate limit of the backend server is reached
}

// Pick chooses an endpoint. The error is a *refusal.Refusal with Ran set to RanNo; its
// reason is Overload if no endpoint is eligible and at least one usable endpoint
// refuses calls of this importance, and otherwise NoBackendServer.
func (b *Balancer) Pick(info PickInfo) (Pick, error) {
	now := b.now()
	if b.refused.contains(now, &info) {
		return Pick{}, errAllRefuse
	}
	t := b.table.Load()
	s := b.choose(t, now, &info)
	if s == nil {
		return Pick{}, b.refusalFor(t, now, &info)
	}
	s.inFlight.Add(1)
	return Pick{b: b, s: s}, nil
}

// selection is the state of one choice of an endpoint.
type selection struct {
	now            int64
	info           *PickInfo
	assumedLatency float64 // of an endpoint without observations, nanoseconds
	random         uint32  // state of a linear congruential generator
}

// intn returns a pseudo-random number in [0, n).
func (q *selection) intn(n int) int {
	q.random = q.random*1664525 + 1013904223
	return int(uint64(q.random) * uint64(n) >> 32)
}

// choose returns an endpoint with headroom of the nearest tier that has one, or else
// any endpoint that admits the call. A farther endpoint with headroom replaces a slow
// or failing one if its expected latency is much lower. Load is not part of that
// comparison: farther endpoints get few calls, so their reported load is out of date.
func (b *Balancer) choose(t *endpointTable, now int64, info *PickInfo) *endpointState {
	q := selection{now: now, info: info, assumedLatency: b.latency.estimate(now), random: b.cfg.Rand()}
	var best *endpointState
	for _, tier := range t.tiers {
		s := q.pickOfTwo(tier, hasHeadroom)
		if s == nil || best != nil && !s.worthSpillOver(best, &q) {
			continue
		}
		best = s
		if s.expectedLatency(now, q.assumedLatency) < spillOverLatency {
			return s
		}
	}
	if best != nil {
		return best
	}
	return q.pickOfTwo(t.all, admitting)
}

// pickOfTwo returns the one with the lower cost of two random endpoints that are at
// least as eligible as wanted, or nil if it finds none.
func (q *selection) pickOfTwo(list []*endpointState, want eligibility) *endpointState {
	if len(list) <= maxSamples {
		return q.scanForTwo(list, want)
	}
	var first *endpointState
	for range maxSamples {
		s := list[q.intn(len(list))]
		if s == first || s.eligibility(q.now, q.info) < want {
			continue
		}
		if first != nil {
			return q.cheaper(first, s)
		}
		first = s
	}
	if first != nil || want == hasHeadroom {
		return first
	}
	return q.scanForTwo(list, want)
}

// scanForTwo is pickOfTwo for the first two such endpoints from a random index on.
func (q *selection) scanForTwo(list []*endpointState, want eligibility) *endpointState {
	var first *endpointState
	start := q.intn(len(list))
	for i := range list {
		j := start + i
		if j >= len(list) {
			j -= len(list)
		}
		s := list[j]
		if s.eligibility(q.now, q.info) < want {
			continue
		}
		if first != nil {
			return q.cheaper(first, s)
		}
		first = s
	}
	return first
}

func (q *selection) cheaper(x, y *endpointState) *endpointState {
	if y.cost(q.now, q.assumedLatency) < x.cost(q.now, q.assumedLatency) {
		return y
	}
	return x
}

var errAllRefuse = refusal.New(refusal.Overload, "all endpoints refuse this importance").WithRetryAfter(retryAfterOverload)

// refusalFor returns the refusal of a call for which no endpoint was found.
func (b *Balancer) refusalFor(t *endpointTable, now int64, info *PickInfo) error {
	for _, s := range t.all {
		if s.usable(s.endpoint.Load(), now) && !s.admits(now, info) {
			return errAllRefuse
		}
	}
	return refusal.New(refusal.NoBackendServer, "no usable endpoint").WithRetryAfter(retryAfterNoEndpoint)
}

// Admits reports whether any usable endpoint outside info.Exclude admits calls of this
// importance. Entry nodes check it before they charge quota and before a retry.
func (b *Balancer) Admits(info PickInfo) bool {
	now := b.now()
	if b.refused.contains(now, &info) {
		return false
	}
	anyRefuses := false
	for _, s := range b.table.Load().all {
		if s.eligibility(now, &info) >= admitting {
			return true
		}
		anyRefuses = anyRefuses || s.usable(s.endpoint.Load(), now) && !s.admits(now, &info)
	}
	if anyRefuses && len(info.Exclude) == 0 {
		b.refused.add(now, &info)
	}
	return false
}

// HasRoom reports whether a usable endpoint outside info.Exclude, on another node than
// except, admits the call and is not known to be full. In long lists it may miss one.
func (b *Balancer) HasRoom(info PickInfo, except string) bool {
	now, list := b.now(), b.table.Load().all
	q := selection{random: b.cfg.Rand()}
	start := q.intn(max(len(list), 1))
	for i := range min(len(list), maxRoomScan) {
		s := list[(start+i)%len(list)]
		if s.endpoint.Load().Node != except && s.eligibility(now, &info) == hasHeadroom {
			return true
		}
	}
	return false
}

// Done records the result of the call.
func (p Pick) Done(r Result) {
	now := p.b.now()
	p.s.inFlight.Add(-1)
	if r.Threshold != nil {
		if p.s.threshold.store(now, *r.Threshold) {
			p.b.refused.clear()
		}
	}
	if r.Draining {
		p.s.drainingUntil.Store(now + int64(drainingTTL))
	}
	if r.RateLimited {
		p.s.rateBackoff.refused(now, p.b.cfg.Rand())
	}
	switch {
	case r.Outcome == Failed || r.BackendFailed:
		p.s.failureRatio.add(1)
	case r.Outcome == OK:
		p.s.failureRatio.add(0)
	}
	switch r.Outcome {
	case OK:
		p.s.latency.add(now, r.Latency)
		p.b.latency.add(now, r.Latency)
		p.s.resetFailures()
		p.s.rateBackoff.succeeded()
	case Cancelled:
		p.s.latency.addLowerBound(now, r.Latency)
	case Failed:
		p.b.recordFailure(p.s, now, r.Unreachable)
	}
}
