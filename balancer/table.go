package balancer

import "time"

const (
	// failuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	failuresToEject = 5
	// ejectBase and ejectMax bound the time of an ejection, which doubles with
	// each one that follows without a success.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 30 * time.Second
	// maxEjectedPart of the endpoints may be ejected: failures everywhere point to
	// a common cause, and the rest would be overloaded.
	maxEjectedPart = 0.5
)

// table is an immutable set of endpoints, replaced as a whole by Update.
type table struct {
	tiers [3][]*state // own data centre, own region, elsewhere
	all   []*state
}

type identity struct {
	node        string
	incarnation uint64
}

func identityOf(e Endpoint) identity { return identity{e.Node, e.Incarnation} }

// Update replaces the endpoints. Endpoints of a known node and incarnation keep
// what was learned about them; a new incarnation starts clean.
func (b *Balancer) Update(endpoints []Endpoint) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.table.Load()
	known := make(map[identity]*state, len(old.all))
	for _, s := range old.all {
		known[identityOf(*s.endpoint.Load())] = s
	}
	next := &table{}
	for _, e := range endpoints {
		s := carryOver(known[identityOf(e)], e, now)
		next.all = append(next.all, s)
		tier := b.tier(e)
		next.tiers[tier] = append(next.tiers[tier], s)
	}
	b.table.Store(next)
	b.refused.forget()
}

func (b *Balancer) tier(e Endpoint) int {
	switch {
	case e.DataCentre == b.cfg.DataCentre:
		return 0
	case e.Region == b.cfg.Region:
		return 1
	}
	return 2
}

// carryOver returns the state for e, which is s if it is known. Calls in flight
// hold the state, so it is changed in place.
func carryOver(s *state, e Endpoint, now int64) *state {
	if s == nil {
		s = &state{}
		s.endpoint.Store(&e)
		s.added.Store(now)
		return s
	}
	old := s.endpoint.Load()
	if *old == e {
		return s
	}
	if old.State != Serving && e.State == Serving {
		// The backend server was restarted or called its drain off.
		s.drainingUntil.Store(0)
		s.added.Store(now)
	}
	s.endpoint.Store(&e)
	return s
}

// noteFailure counts a failure and ejects the endpoint if it has failed too often
// in a row or could not be reached, unless too many are ejected already.
func (b *Balancer) noteFailure(s *state, now int64, unreachable bool) {
	if s.failures.Add(1) < failuresToEject && !unreachable {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < s.ejectedUntil.Load() || !b.mayEject(now) {
		return
	}
	n := s.ejections.Add(1)
	d := min(ejectBase<<min(n-1, 10), ejectMax)
	s.ejectedUntil.Store(now + int64(d))
	s.failing.reset() // the ejection is the penalty
	// One more failure after the ejection ejects the endpoint again.
	s.failures.Store(failuresToEject - 1)
}

// mayEject reports whether one more endpoint may be ejected.
func (b *Balancer) mayEject(now int64) bool {
	candidates, ejected := 0, 0
	for _, s := range b.table.Load().all {
		if s.endpoint.Load().State != Serving || now < s.drainingUntil.Load() {
			continue
		}
		candidates++
		if now < s.ejectedUntil.Load() {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedPart*float64(candidates)
}

// succeeded ends a series of failures.
func (s *state) succeeded() {
	if s.failures.Load() != 0 {
		s.failures.Store(0)
	}
	if s.ejections.Load() != 0 {
		s.ejections.Store(0)
	}
}
