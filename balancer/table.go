package balancer

import "time"

const (
	// failuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	failuresToEject = 5
	// minEjectionTime and maxEjectionTime bound the duration of an ejection. It doubles
	// with each further ejection until a call succeeds.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 30 * time.Second
	// maxEjectedFraction is the largest fraction of endpoints that may be ejected.
	// Failures of more endpoints point to a common cause, and the remaining ones would
	// be overloaded.
	maxEjectedFraction = 0.5
)

// endpointTable is an immutable set of endpoints, replaced as a whole by Update.
type endpointTable struct {
	tiers [3][]*endpointState // own data centre, own region, elsewhere
	all   []*endpointState
}

// endpointID identifies one start of a node.
type endpointID struct {
	node        string
	incarnation uint64
}

func endpointIDOf(e Endpoint) endpointID { return endpointID{e.Node, e.Incarnation} }

// Update replaces the endpoints. The state of endpoints whose node and incarnation are
// known is kept; a new incarnation starts with a new state.
func (b *Balancer) Update(endpoints []Endpoint) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.table.Load()
	known := make(map[endpointID]*endpointState, len(old.all))
	for _, s := range old.all {
		known[endpointIDOf(*s.endpoint.Load())] = s
	}
	next := &endpointTable{}
	for _, e := range endpoints {
		s := updateState(known[endpointIDOf(e)], e, now)
		next.all = append(next.all, s)
		tier := b.tier(e)
		next.tiers[tier] = append(next.tiers[tier], s)
	}
	b.table.Store(next)
	b.refused.clear()
}

// tier returns the index of the endpoint's tier in endpointTable.tiers.
func (b *Balancer) tier(e Endpoint) int {
	switch {
	case e.DataCentre == b.cfg.DataCentre:
		return 0
	case e.Region == b.cfg.Region:
		return 1
	}
	return 2
}

// updateState returns the state for e: s, or a new one if s is nil. s is changed in
// place, because calls in flight refer to it.
func updateState(s *endpointState, e Endpoint, now int64) *endpointState {
	if s == nil {
		s = &endpointState{}
		s.endpoint.Store(&e)
		s.coldStartAt.Store(now)
		return s
	}
	old := s.endpoint.Load()
	if *old == e {
		return s
	}
	if old.State != Serving && e.State == Serving {
		// The backend server was restarted, or it cancelled its drain.
		s.drainingUntil.Store(0)
		s.coldStartAt.Store(now)
	}
	s.endpoint.Store(&e)
	return s
}

// recordFailure counts a failure. It ejects the endpoint after failuresToEject
// consecutive failures or if it is unreachable, unless too many are already ejected.
func (b *Balancer) recordFailure(s *endpointState, now int64, unreachable bool) {
	if s.consecutiveFailures.Add(1) < failuresToEject && !unreachable {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < s.ejectedUntil.Load() || !b.canEject(now) {
		return
	}
	n := s.consecutiveEjections.Add(1)
	d := min(minEjectionTime<<min(n-1, 10), maxEjectionTime)
	s.ejectedUntil.Store(now + int64(d))
	s.failureRatio.reset() // the ejection replaces the penalty on latency
	// The first failure after the ejection ejects the endpoint again.
	s.consecutiveFailures.Store(failuresToEject - 1)
}

// canEject reports whether one more endpoint may be ejected. b.mu must be held.
func (b *Balancer) canEject(now int64) bool {
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
	return float64(ejected+1) <= maxEjectedFraction*float64(candidates)
}

// resetFailures resets the counts of consecutive failures and ejections. It writes only
// if needed, because it is called after every successful call.
func (s *endpointState) resetFailures() {
	if s.consecutiveFailures.Load() != 0 {
		s.consecutiveFailures.Store(0)
	}
	if s.consecutiveEjections.Load() != 0 {
		s.consecutiveEjections.Store(0)
	}
}
