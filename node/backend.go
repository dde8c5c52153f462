package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// drainHold is how long a sign of draining other than an announcement keeps
// new work away although announcements still say serving.
const drainHold = 3 * time.Second

// backendServer is what the node knows about the backend server on its host.
// A change of the announcement replaces it.
type backendServer struct {
	edge.Announcement
	state     balancer.State
	conns     *connPool
	admission *admission.Controller
}

// backendSlot holds the present backendServer.
type backendSlot struct {
	lifetime  time.Duration                 // of an announcement
	current   atomic.Pointer[backendServer] // nil without a valid announcement
	heard     atomic.Int64                  // time of the last announcement, ns
	drainTill atomic.Int64                  // end of drainHold, ns
	probing   atomic.Bool

	mu     sync.Mutex        // serialises changes of current and guards latest
	latest edge.Announcement // the newest one seen, by Started and Sequence
	gone   int64             // Started of a backend server that has left, or 0
}

// outdated reports whether a was overtaken by a newer announcement or by the
// backend server's leaving.
func (s *backendSlot) outdated(a *edge.Announcement) bool {
	switch {
	case a.Started != s.latest.Started:
		return a.Started < s.latest.Started
	case a.Sequence == 0:
		return false
	case a.Instance == s.latest.Instance && a.Sequence <= s.latest.Sequence:
		return true
	}
	return a.Started != 0 && a.Started == s.gone
}

// sameButAge reports whether two announcements differ at most in what changes
// with each of them.
func sameButAge(a, b edge.Announcement) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdStartMS, b.ColdStartMS = 0, 0
	return a == b
}

// usable returns the backend server if it takes new work for service at now.
func (s *backendSlot) usable(service string, now time.Time) (*backendServer, *refusal.Refusal) {
	b := s.current.Load()
	switch {
	case b == nil || b.Service != service:
		return nil, refusal.New(refusal.NoBackendServer, "no backend server of %s is announced on this host", service)
	case now.UnixNano()-s.heard.Load() > int64(s.lifetime):
		return nil, refusal.New(refusal.NoBackendServer, "the announcement of the backend server has expired")
	case s.draining(b, now):
		return nil, refusal.New(refusal.Draining, "the backend server is draining")
	case b.state != balancer.Serving:
		return nil, refusal.New(refusal.NoBackendServer, "the backend server is starting")
	}
	return b, nil
}

func (s *backendSlot) draining(b *backendServer, now time.Time) bool {
	return b.state == balancer.Draining || now.UnixNano() < s.drainTill.Load()
}

// announced takes over a valid announcement and reports whether it changed anything.
func (s *backendSlot) announced(a edge.Announcement, limits admission.Config, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outdated(&a) {
		return false
	}
	s.latest = a
	s.heard.Store(now.UnixNano())
	old := s.current.Load()
	if old != nil && sameButAge(old.Announcement, a) {
		return false
	}
	b := &backendServer{Announcement: a, state: edge.States[a.State]}
	b.takeOver(old, limits)
	s.current.Store(b)
	if old != nil && old.conns != b.conns {
		old.conns.close()
	}
	return true
}

// takeOver sets up the connections and the admission control of b, which
// continue those of old if it is the same backend server.
func (b *backendServer) takeOver(old *backendServer, limits admission.Config) {
	same := old != nil && old.Address == b.Address && old.Service == b.Service && old.Instance == b.Instance
	if same && old.Connections == b.Connections {
		b.conns = old.conns
	} else {
		b.conns = newConnPool(nil, backendDialTimeout, backendIdleTimeout, b.Connections, b.Connections)
	}
	if same {
		b.admission = old.admission
		b.admission.Resize(b.Slots, b.Connections)
	} else {
		limits.Slots, limits.Connections = b.Slots, b.Connections
		b.admission = admission.New(limits)
	}
	started := b.state == balancer.Serving && (!same || old.state == balancer.Starting)
	if started && b.ColdStartMS > 0 {
		b.admission.SetColdStart(b.ColdStart())
	}
}

// withdraw removes the backend server if it is the given instance, of the given
// start unless that is 0, and reports whether it was.
func (s *backendSlot) withdraw(instance string, started int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.current.Load()
	if b == nil || b.Instance != instance || started != 0 && started != b.Started {
		return false
	}
	s.gone = b.Started
	s.current.Store(nil)
	b.conns.close()
	return true
}

// expire removes a backend server whose announcement is too old and reports
// whether there was one.
func (s *backendSlot) expire(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.current.Load()
	if b == nil || now.UnixNano()-s.heard.Load() <= int64(s.lifetime) {
		return false
	}
	s.current.Store(nil)
	b.conns.close()
	return true
}

// drained notes a sign of draining and reports whether it is news.
func (s *backendSlot) drained(now time.Time) bool {
	b := s.current.Load()
	news := b != nil && !s.draining(b, now)
	s.drainTill.Store(now.Add(drainHold).UnixNano())
	return news
}
