package soak

import (
	"net/http"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Limits that the platform specifies for what backend servers say in their responses.
const (
	limitNotice   = 3 * time.Second        // from the first response that names the limit
	limitSpan     = 4 * time.Second        // in which requests are counted
	limitExcess   = 1.5                    // times the requests that the limit permits in limitSpan
	limitSlack    = 5                      // requests that are permitted in addition
	limitHeardAge = 500 * time.Millisecond // from a response that a node passed on until it counts as told

	// limitDuration leaves room for the notice and several spans.
	limitDuration = 12 * time.Second
	// leavingDuration is how long a server that leaves goes on serving.
	leavingDuration = 5 * time.Second

	minRateLimit, maxRateLimit = 2.0, 12.0 // requests per second
)

// signalKinds are the kinds of signals that backend servers give in their responses.
var signalKinds = []faultKind{
	{name: "server_limits", planned: true, begin: func(f *fleet, i *Injection, hosts []*host) func() {
		i.Duration = limitDuration
		return beginAtEach(hosts, func(h *host) func() {
			if !h.serverMu.TryLock() {
				return nil
			}
			limit := minRateLimit + i.Amount*(maxRateLimit-minRateLimit)
			s := f.checker.beginSignal(h, limit, false)
			h.server.SetRateLimit(limit)
			return func() {
				h.server.SetRateLimit(0)
				f.checker.endSignal(s)
				h.serverMu.Unlock()
			}
		})
	}},
	{name: "server_leaves", planned: true, begin: func(f *fleet, _ *Injection, hosts []*host) func() {
		h := hosts[0]
		if !h.serverMu.TryLock() {
			return nil
		}
		defer h.serverMu.Unlock()
		s := f.checker.beginSignal(h, 0, true)
		h.server.Leave()
		pause.For(f.ctx, leavingDuration)
		f.checker.endSignal(s)
		h.crashServer()
		h.restartServer()
		return nil
	}},
}

// signal is what a backend server says in its responses for some time.
type signal struct {
	host     *host
	from, to time.Time // to is zero until the signal ends
	limit    float64   // requests per second; 0: none
	leaving  bool
	first    time.Time           // when a node first passed on such a response; zero before
	seen     map[*host]time.Time // since when a node is bound by it
	bound    []time.Time         // requests that arrived from nodes that were bound
}

// beginSignal records that the backend server of h begins to name a limit or its leaving.
func (c *checker) beginSignal(h *host, limit float64, leaving bool) *signal {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &signal{host: h, from: time.Now(), limit: limit, leaving: leaving, seen: map[*host]time.Time{}}
	c.signals = append(c.signals, s)
	return s
}

func (c *checker) endSignal(s *signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.to = time.Now()
}

// activeSignal returns the signal of a host's backend server at a time, or nil. The caller
// holds c.mu.
func (c *checker) activeSignal(h *host, at time.Time) *signal {
	for _, s := range c.signals {
		if s.host == h && !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to)) {
			return s
		}
	}
	return nil
}

// recordSignalSeen records that the node of r passed on a response of a backend server
// that gave a signal. The caller holds c.mu.
func (c *checker) recordSignalSeen(r *request) {
	if r.status != http.StatusOK || len(r.runs) == 0 {
		return
	}
	last := r.runs[len(r.runs)-1]
	for _, s := range c.signals {
		// The response is later than the start of the run, so it carries the signal.
		if s.host.instanceName() != last.Instance || last.At.Before(s.from) || !s.to.IsZero() && r.ended.After(s.to) {
			continue
		}
		if s.first.IsZero() {
			s.first = r.ended
		}
		if s.seen[r.host].IsZero() {
			s.seen[r.host] = r.ended
		}
	}
}

// recordSignalledRun checks and counts a run at a backend server that gives a signal. The
// caller holds c.mu.
func (c *checker) recordSignalledRun(h *host, r *request, run standin.ReceivedRequest) {
	s := c.activeSignal(h, run.At)
	if s == nil {
		return
	}
	seen := s.seen[r.host]
	if seen.IsZero() {
		return
	}
	if s.leaving && r.at.After(seen.Add(drainGracePeriod)) {
		c.recordLocked("DRAIN", r.ID, "reached %s from %s %v after that node had passed on that the server leaves", run.Instance, r.host.name(), r.at.Sub(seen))
	}
	if run.At.Sub(seen) > limitHeardAge {
		s.bound = append(s.bound, run.At)
	}
}

// excuse removes a node that was restarted or paused from those that are bound by the
// signals they have passed on.
func (c *checker) excuse(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.signals {
		delete(s.seen, h)
	}
}

// excuseLimits is excuse for a node that was cut off, which stays bound by what servers
// have said about leaving.
func (c *checker) excuseLimits(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.signals {
		if !s.leaving {
			delete(s.seen, h)
		}
	}
}

// checkRateLimits checks the requests that bound nodes sent to limited backend servers.
// The caller holds c.mu.
func (c *checker) checkRateLimits() {
	for _, s := range c.signals {
		permitted := limitExcess*s.limit*limitSpan.Seconds() + limitSlack
		for _, from := range s.bound {
			if s.leaving || from.Before(s.first.Add(limitNotice)) {
				continue
			}
			if got := countWithin(s.bound, from, limitSpan); float64(got) > permitted {
				c.recordLocked("LIMIT", "", "server of %s got %d requests in %v, at most %.0f are permitted", s.host.name(), got, limitSpan, permitted)
				break
			}
		}
	}
}
