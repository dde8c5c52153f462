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
	// retryAfterOverload is told to callers when every endpoint refuses.
	retryAfterOverload = 100 * time.Millisecond
	// retryAfterNone is told to callers when there is no endpoint. It is the time
	// in which an announcement normally arrives.
	retryAfterNone = time.Second
	// samples is the number of random endpoints tried. A tier with more endpoints
	// in which none of them has headroom counts as full; one with fewer is looked
	// at as a whole. This keeps Pick below 1 us at 1,100 endpoints.
	samples = 8
	// refusedMemory is how long the finding that all endpoints refuse an importance
	// is used without looking at them again, nanoseconds.
	refusedMemory = int64(5 * time.Millisecond)
	// spillLatency is the latency, in nanoseconds, above which a nearer endpoint is
	// compared with farther ones. It is several times the 3 ms of a round trip
	// between data centres.
	spillLatency = 20e6
	// spillFactor is how many times cheaper a farther endpoint has to be.
	spillFactor = 1.7
	// spillAssumed is the latency assumed of a farther endpoint that has answered
	// no call yet, in nanoseconds, so that it is tried when the nearer ones are slow.
	spillAssumed = 5e6
	// spillForget is the age, in nanoseconds, at which the latency of a farther
	// endpoint has to be found out again.
	spillForget = int64(3 * time.Second)
)

// Config describes a Balancer.
type Config struct {
	DataCentre string           // of this node
	Region     string           // of this node
	Clock      func() time.Time // nil means time.Now
	Rand       func() uint32    // seed of each choice; nil means math/rand/v2
}

// Balancer chooses endpoints of one service. It is safe for concurrent use.
type Balancer struct {
	cfg   Config
	epoch time.Time
	table atomic.Pointer[table]

	refused refused

	mu      sync.Mutex // guards Update and ejection
	latency latency    // over all endpoints; the assumption for a new one
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
	b.table.Store(&table{})
	return b
}

// now returns the time since the Balancer was made, in nanoseconds, at least 1.
func (b *Balancer) now() int64 { return int64(b.cfg.Clock().Sub(b.epoch)) + 1 }

// PickInfo describes the call that an endpoint is chosen for.
type PickInfo struct {
	Exclude    []string // IDs of nodes that this call was refused by or failed on
	Importance config.Importance
	Admitted   bool // part of a call tree that was admitted before
}

// Pick is a chosen endpoint. Done must be called exactly once.
type Pick struct {
	b *Balancer
	s *state
}

// Endpoint returns the chosen endpoint.
func (p Pick) Endpoint() Endpoint { return *p.s.endpoint.Load() }

// Outcome tells how a call to an endpoint ended.
type Outcome uint8

// The ends of a call.
const (
	OK        Outcome = iota // answered completely
	Failed                   // connection error, failed backend server or incomplete answer
	Refused                  // overload, draining or deadline refusal by the destination node
	Cancelled                // the caller left or the deadline passed during the call
)

// Result is what a call told about its endpoint.
type Result struct {
	Latency   time.Duration
	Outcome   Outcome
	Threshold *peer.Threshold // nil if none was received
	Draining  bool            // the endpoint said that it is leaving
	// Unreachable tells that no connection was made, or that the address belongs to
	// another node.
	Unreachable   bool
	BackendFailed bool // the backend server itself failed or refused the call
}

// Pick chooses an endpoint. The error is a *refusal.Refusal, not run:
// no_backend_server if no endpoint is usable, overload if all usable endpoints
// refuse calls of this importance at present.
func (b *Balancer) Pick(info PickInfo) (Pick, error) {
	now := b.now()
	if b.refused.holds(now, &info) {
		return Pick{}, errAllRefuse
	}
	t := b.table.Load()
	s := b.choose(t, now, &info)
	if s == nil {
		return Pick{}, b.refuse(t, now, &info)
	}
	s.inFlight.Add(1)
	return Pick{b: b, s: s}, nil
}

// search is one choice of an endpoint.
type search struct {
	now     int64
	info    *PickInfo
	assumed float64 // latency of an endpoint without observations, nanoseconds
	random  uint32  // state of a linear congruential generator
}

// below returns a pseudo-random number below n.
func (q *search) below(n int) int {
	q.random = q.random*1664525 + 1013904223
	return int(uint64(q.random) * uint64(n) >> 32)
}

// choose tries the tiers in order for an endpoint with headroom, then all tiers
// together for one that at least does not refuse. A slow or failing endpoint with
// headroom gives way to a much better one of a farther tier. Load does not count
// in this comparison: what is known of the load of a farther endpoint, which gets
// few calls, is old.
func (b *Balancer) choose(t *table, now int64, info *PickInfo) *state {
	q := search{now: now, info: info, assumed: b.latency.estimate(now), random: b.cfg.Rand()}
	var best *state
	for _, tier := range t.tiers {
		s := q.twoChoices(tier, spare)
		if s == nil || best != nil && !s.muchBetter(best, &q) {
			continue
		}
		best = s
		if s.effort(now, q.assumed) < spillLatency {
			return s
		}
	}
	if best != nil {
		return best
	}
	return q.twoChoices(t.all, admitting)
}

// twoChoices compares two random endpoints that are fit and returns the cheaper.
func (q *search) twoChoices(list []*state, want fitness) *state {
	if len(list) <= samples {
		return q.scan(list, want)
	}
	var first *state
	for range samples {
		s := list[q.below(len(list))]
		if s == first || s.fitness(q.now, q.info) < want {
			continue
		}
		if first != nil {
			return q.cheaper(first, s)
		}
		first = s
	}
	if first != nil || want == spare {
		return first
	}
	return q.scan(list, want)
}

// scan looks at the endpoints from a random one on until it has two fit ones.
func (q *search) scan(list []*state, want fitness) *state {
	var first *state
	start := q.below(len(list))
	for i := range list {
		j := start + i
		if j >= len(list) {
			j -= len(list)
		}
		s := list[j]
		if s.fitness(q.now, q.info) < want {
			continue
		}
		if first != nil {
			return q.cheaper(first, s)
		}
		first = s
	}
	return first
}

func (q *search) cheaper(x, y *state) *state {
	if y.cost(q.now, q.assumed) < x.cost(q.now, q.assumed) {
		return y
	}
	return x
}

// errAllRefuse is shared by all calls that it refuses.
var errAllRefuse = refusal.New(refusal.Overload, "all endpoints refuse this importance").WithRetryAfter(retryAfterOverload)

func (b *Balancer) refuse(t *table, now int64, info *PickInfo) error {
	for _, s := range t.all {
		if s.usable(s.endpoint.Load(), now) && !s.admits(now, info) {
			return errAllRefuse
		}
	}
	return refusal.New(refusal.NoBackendServer, "no usable endpoint").WithRetryAfter(retryAfterNone)
}

// Admits reports whether any usable endpoint outside info.Exclude admits calls of
// this importance. Entry nodes ask it before they charge quota, and before a
// retry after an overload refusal.
func (b *Balancer) Admits(info PickInfo) bool {
	now := b.now()
	if b.refused.holds(now, &info) {
		return false
	}
	anyRefuses := false
	for _, s := range b.table.Load().all {
		if s.fitness(now, &info) >= admitting {
			return true
		}
		anyRefuses = anyRefuses || s.usable(s.endpoint.Load(), now) && !s.admits(now, &info)
	}
	if anyRefuses && len(info.Exclude) == 0 {
		b.refused.note(now, &info)
	}
	return false
}

// Done records the end of the call.
func (p Pick) Done(r Result) {
	now := p.b.now()
	p.s.inFlight.Add(-1)
	if r.Threshold != nil {
		if p.s.threshold.store(now, *r.Threshold) {
			p.b.refused.forget()
		}
	}
	if r.Draining {
		p.s.drainingUntil.Store(now + int64(drainingMemory))
	}
	switch {
	case r.Outcome == Failed || r.BackendFailed:
		p.s.failing.add(1)
	case r.Outcome == OK:
		p.s.failing.add(0)
	}
	switch r.Outcome {
	case OK:
		p.s.latency.add(now, r.Latency)
		p.b.latency.add(now, r.Latency)
		p.s.succeeded()
	case Cancelled:
		p.s.latency.raise(now, r.Latency)
	case Failed:
		p.b.noteFailure(p.s, now, r.Unreachable)
	}
}
