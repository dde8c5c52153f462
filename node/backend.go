package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// drainSignalLifetime is how long the backend server counts as draining after a signal
// other than an announcement (a refusal, or its health endpoint), even if its
// announcements still say serving.
const drainSignalLifetime = 3 * time.Second

// backendServer is what the node knows about the backend server on its host. A changed
// announcement replaces it by a new value.
type backendServer struct {
	edge.Announcement
	state     balancer.State
	conns     *connPool
	admission *admission.Controller
	drain     *drainSignals
}

// drainSignals holds what one start of a backend server has said about draining other
// than in announcements. It is safe for concurrent use.
type drainSignals struct {
	leaving atomic.Bool  // a response said that it takes no new requests until it ends
	until   atomic.Int64 // time at which the last other signal expires, ns since the epoch of the tracker
}

// backendTracker holds the current backendServer. It is safe for concurrent use.
type backendTracker struct {
	dial          dialFunc                      // nil: TCP
	lifetime      time.Duration                 // how long an announcement is valid
	current       atomic.Pointer[backendServer] // nil without a valid announcement
	epoch         time.Time                     // start of the node
	lastAnnounced atomic.Int64                  // time of the last announcement, ns since epoch
	probing       atomic.Bool

	mu       sync.Mutex        // serialises changes of current; guards the fields below
	expired  *backendServer    // the one that expired last, without conns; nil if another one has been announced since
	latest   edge.Announcement // newest announcement seen, by Started and Sequence
	departed departures        // starts that take no new requests
}

// since returns the time since epoch in nanoseconds. It does not change when the time of
// day is set.
func (t *backendTracker) since(now time.Time) int64 { return int64(now.Sub(t.epoch)) }

// outdated reports whether a is older than the latest announcement or than a departure.
// t.mu must be held.
func (t *backendTracker) outdated(a *edge.Announcement, now time.Time) bool {
	switch {
	case t.departed.outdates(a, now):
		return true
	case a.Started != t.latest.Started:
		return a.Started < t.latest.Started
	case a.Sequence == 0:
		return false
	}
	return a.Instance == t.latest.Instance && a.Sequence <= t.latest.Sequence
}

// equalExceptSequence reports whether two announcements are equal apart from Sequence
// and ColdStartMS, which change with every announcement.
func equalExceptSequence(a, b edge.Announcement) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdStartMS, b.ColdStartMS = 0, 0
	return a == b
}

// usable returns the backend server if it accepts new requests for service at now, and
// a refusal otherwise.
func (t *backendTracker) usable(service string, now time.Time) (*backendServer, *refusal.Refusal) {
	b := t.current.Load()
	switch {
	case b == nil || b.Service != service:
		return nil, refusal.New(refusal.NoBackendServer, "no backend server of %s is announced on this host", service)
	case t.since(now)-t.lastAnnounced.Load() > int64(t.lifetime):
		return nil, refusal.New(refusal.NoBackendServer, "the announcement of the backend server has expired")
	case t.draining(b, now):
		return nil, refusal.New(refusal.Draining, "the backend server is draining")
	case b.state != balancer.Serving:
		return nil, refusal.New(refusal.NoBackendServer, "the backend server is starting")
	}
	return b, nil
}

func (t *backendTracker) draining(b *backendServer, now time.Time) bool {
	return b.state == balancer.Draining || b.drain.leaving.Load() || t.since(now) < b.drain.until.Load()
}

// applyAnnouncement applies a valid announcement and reports whether it changed the
// backend server, or was outdated and has no effect. The error is of class
// edge.ErrNotStored if it says that a backend server leaves and that cannot be recorded; it
// then has no effect.
func (t *backendTracker) applyAnnouncement(a edge.Announcement, limits admission.Config, now time.Time) (changed, outdated bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outdated(&a, now) {
		return false, true, t.departed.noteOutdatedDrain(&a, now)
	}
	if err := t.departed.noteDraining(&a, now); err != nil {
		return false, false, err
	}
	t.latest = a
	t.lastAnnounced.Store(t.since(now))
	old := t.current.Load()
	if old != nil && equalExceptSequence(old.Announcement, a) {
		return false, false, nil
	}
	b := &backendServer{Announcement: a, state: edge.States[a.State]}
	if old == nil {
		b.inheritFrom(t.expired, limits, t.dial)
	} else {
		b.inheritFrom(old, limits, t.dial)
	}
	t.expired = nil
	t.current.Store(b)
	if old != nil && old.conns != b.conns {
		old.conns.close()
	}
	return true, false, nil
}

// inheritFrom sets up the connection pool and the admission control of b. It reuses
// those of old if old is the same backend server.
func (b *backendServer) inheritFrom(old *backendServer, limits admission.Config, dial dialFunc) {
	same := old != nil && old.Address == b.Address && old.Service == b.Service && old.Instance == b.Instance && old.Started == b.Started
	if same && old.conns != nil && old.Connections == b.Connections {
		b.conns = old.conns
	} else {
		b.conns = newConnPool(nil, backendDialTimeout, backendIdleTimeout, b.Connections, b.Connections)
		b.conns.dialFunc = dial
	}
	if same {
		b.admission, b.drain = old.admission, old.drain
		b.admission.Resize(b.Slots, b.Connections)
	} else {
		limits.Slots, limits.Connections = b.Slots, b.Connections
		b.admission, b.drain = admission.New(limits), &drainSignals{}
	}
	started := b.state == balancer.Serving && (!same || old.state == balancer.Starting)
	if started && b.ColdStartMS > 0 {
		b.admission.SetColdStart(b.ColdStart())
	}
}

// withdraw removes the backend server if it has the given instance ID and, unless
// started is 0, the given start time (Unix milliseconds), and records that it has left,
// also if it is not known. It reports whether it removed one. The error is of class
// edge.ErrNotStored if the departure cannot be recorded.
func (t *backendTracker) withdraw(instance string, started int64, now time.Time) (removed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := started
	if started == 0 && t.latest.Instance == instance {
		left = t.latest.Started
	}
	b := t.current.Load()
	removed = b != nil && b.Instance == instance && b.Started == left
	if removed {
		t.current.Store(nil)
		b.conns.close()
	}
	// A backend server that stays in use must not count as older than one that has left.
	known := left != 0 && (removed || b == nil || left < b.Started)
	if known {
		t.departed.noteWithdrawn(instance, left)
	}
	if known && started != 0 {
		return removed, nil
	}
	return removed, t.departed.noteUnseen(instance, started, now)
}

// recall adds what an earlier process of this node has stored. It removes the backend
// server if that has left, and reports whether it did.
func (t *backendTracker) recall(stored edge.Departures, now time.Time) (removed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departed.recall(stored, now)
	b := t.current.Load()
	if b == nil || !t.departed.outdates(&t.latest, now) {
		return false
	}
	t.current.Store(nil)
	b.conns.close()
	return true
}

// departures returns the starts that take no new requests.
func (t *backendTracker) departures() edge.Departures {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departed.stored()
}

// expire removes a backend server whose announcement has expired and reports whether
// it removed one.
func (t *backendTracker) expire(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.current.Load()
	if b == nil || t.since(now)-t.lastAnnounced.Load() <= int64(t.lifetime) {
		return false
	}
	t.current.Store(nil)
	b.conns.close()
	t.expired = &backendServer{Announcement: b.Announcement, state: b.state, admission: b.admission, drain: b.drain}
	return true
}

// noteDraining records that b is draining, after a signal that expires, and reports
// whether it was not known to be draining before.
func (t *backendTracker) noteDraining(b *backendServer, now time.Time) bool {
	changed := !t.draining(b, now)
	b.drain.until.Store(t.since(now.Add(drainSignalLifetime)))
	return changed
}

// noteLeaving records that b takes no new requests until it ends, and reports whether it
// was not known to be draining before. The signal does not expire, because a backend
// server that gets no requests cannot repeat it.
func (t *backendTracker) noteLeaving(b *backendServer, now time.Time) bool {
	changed := !t.draining(b, now)
	b.drain.leaving.Store(true)
	return changed
}

// report returns what the backend server has said about itself in its responses, or nil
// if nothing restricts it or there is none.
func (t *backendTracker) report() *peer.BackendReport {
	b := t.current.Load()
	if b == nil {
		return nil
	}
	r := &peer.BackendReport{Instance: b.Instance, Started: b.Started, RateLimit: b.admission.RateLimit(), Leaving: b.drain.leaving.Load()}
	if r.RateLimit == edge.NoRateLimit && !r.Leaving {
		return nil
	}
	return r
}

// reported returns the backend server if r is about it, or nil.
func (t *backendTracker) reported(r *peer.BackendReport) *backendServer {
	b := t.current.Load()
	if r == nil || b == nil || r.Instance != b.Instance || r.Started != b.Started {
		return nil
	}
	return b
}

// rateLimit returns the requests per second that the backend server takes; +Inf if it
// named no limit or is not known.
func (t *backendTracker) rateLimit() float64 {
	if b := t.current.Load(); b != nil {
		return b.admission.RateLimit()
	}
	return edge.NoRateLimit
}
