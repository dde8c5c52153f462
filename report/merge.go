package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is the merged burn report of a fleet.
type Report struct {
	At      time.Time     `json:"at"`
	Nodes   []SourceNode  `json:"nodes"`   // that the counts are from
	Missing []MissingNode `json:"missing"` // nodes that were asked and gave nothing
	// Since is when the youngest of Nodes started to count. The counts before are
	// those of the older nodes only.
	Since  time.Time `json:"since"`
	Routes []Route   `json:"routes"`
	// Unattributed are requests of the last 6 h that were refused before their
	// route was known. They are part of no error budget.
	Unattributed []OutcomeCount `json:"unattributed"`
}

// SourceNode is a node that counts came from.
type SourceNode struct {
	Node       string    `json:"node"`
	DataCentre string    `json:"data_centre"`
	Since      time.Time `json:"since"`
}

// MissingNode is a node that gave no counts.
type MissingNode struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// Route is one route of a service.
type Route struct {
	Service    string    `json:"service"`
	Route      string    `json:"route"`
	Objective  Objective `json:"objective"`
	All        Burn      `json:"all"`
	Workspaces []Burn    `json:"workspaces"`
	Fine       []Point   `json:"fine"` // of All, by FineWidth
	Coarse     []Point   `json:"coarse"`
}

// Burn is the state of one error budget.
type Burn struct {
	Workspace string `json:"workspace"` // empty for requests without one and for all together
	// BudgetLeft is the part of the error budget of the last 6 h that is left; null
	// without an objective or requests.
	BudgetLeft *float64       `json:"budget_left"`
	Windows    []Window       `json:"windows"` // 5 min, 30 min, 1 h, 6 h
	Fast       AlertState     `json:"fast"`    // 5 min and 1 h
	Slow       AlertState     `json:"slow"`    // 30 min and 6 h
	Outcomes   []OutcomeCount `json:"outcomes"`
}

// OutcomeCount is how often an outcome occurred in the last 6 h.
type OutcomeCount struct {
	Outcome string `json:"outcome"`
	Origin  Origin `json:"origin"`
	Count   uint64 `json:"count"`
	Burning uint64 `json:"burning"` // part of Count that burned the budget
}

// Point is one time of a plot.
type Point struct {
	Start    int64    `json:"start"` // Unix time, seconds
	BurnRate *float64 `json:"burn_rate"`
}

// Merge makes the report of the nodes that answered.
func Merge(at time.Time, results []Result) Report {
	r := Report{At: at, Nodes: []SourceNode{}, Missing: []MissingNode{}, Routes: []Route{}, Unattributed: []OutcomeCount{}}
	var nodes []*Node
	for i := range results {
		if results[i].Err != nil {
			r.Missing = append(r.Missing, MissingNode{results[i].Address, results[i].Err.Error()})
			continue
		}
		n := &results[i].Node
		nodes = append(nodes, n)
		r.Nodes = append(r.Nodes, SourceNode{n.Node, n.DataCentre, n.Since})
		if n.Since.After(r.Since) {
			r.Since = n.Since
		}
	}
	m := &merger{demand: demandOf(nodes), routes: map[routeKey]*routeSum{}}
	slices.SortStableFunc(nodes, func(a, b *Node) int { return cmp.Compare(a.Version, b.Version) })
	for _, n := range nodes {
		m.add(n)
	}
	m.finish(&r)
	return r
}

type routeKey struct{ service, route string }

// routeSum adds up the nodes' counts of one route.
type routeSum struct {
	objective    Objective // of the highest version
	all          sums
	workspaces   map[string]*sums
	fine, coarse map[int64]*tally
}

// merger collects all routes.
type merger struct {
	demand *demand
	routes map[routeKey]*routeSum
}

// tally are requests that count in the budget.
type tally struct{ counted, bad uint64 }

// sums are the counts of one budget.
type sums struct {
	windows [len(windows)]tally
	counts  map[string]*OutcomeCount // of the longest window
}

func newSums() sums { return sums{counts: map[string]*OutcomeCount{}} }

// add adds the counts of a node. Nodes with higher versions come later.
func (m *merger) add(n *Node) {
	for i := range n.Series {
		s := &n.Series[i]
		key := routeKey{s.Service, s.Route}
		sum := m.routes[key]
		if sum == nil {
			sum = &routeSum{all: newSums(), workspaces: map[string]*sums{}, fine: map[int64]*tally{}, coarse: map[int64]*tally{}}
			m.routes[key] = sum
		}
		if s.Objective != (Objective{}) {
			sum.objective = s.Objective
		}
		w := sum.workspaces[s.Workspace]
		if w == nil {
			w = new(sums)
			*w = newSums()
			sum.workspaces[s.Workspace] = w
		}
		m.addBuckets(n, s, s.Fine, FineWidth, sum.fine, &sum.all, w)
		m.addBuckets(n, s, s.Coarse, CoarseWidth, sum.coarse, &sum.all, w)
	}
}

func (m *merger) addBuckets(n *Node, s *Series, buckets []Bucket, width time.Duration, points map[int64]*tally, into ...*sums) {
	for _, b := range buckets {
		within := m.demand.withinRate(s.Workspace, width, b.Start)
		point := points[b.Start]
		if point == nil {
			point = &tally{}
			points[b.Start] = point
		}
		for name, count := range b.Counts {
			p := propertyOf(name)
			counted, bad := p.effect.apply(count, within)
			point.add(counted, bad)
			for _, sum := range into {
				sum.add(n.At, width, b.Start, p, count, counted, bad)
			}
		}
	}
}

// apply returns how many of count requests are part of the budget and bad.
func (e Effect) apply(count uint64, withinRate bool) (counted, bad uint64) {
	switch {
	case e == EffectGood:
		return count, 0
	case e == EffectBad || (e == EffectBadWithinRate && withinRate):
		return count, count
	}
	return 0, 0
}

func (t *tally) add(counted, bad uint64) {
	t.counted += counted
	t.bad += bad
}

// add adds requests to the windows that a bucket reaches into. Windows up to 30
// min use the fine buckets, the others the coarse ones.
func (s *sums) add(at time.Time, width time.Duration, start int64, p property, count, counted, bad uint64) {
	end := time.Unix(start, 0).Add(width)
	for i, window := range windows {
		if (window <= 30*time.Minute) != (width == FineWidth) || !end.After(at.Add(-window)) {
			continue
		}
		s.windows[i].add(counted, bad)
		if i == window6h {
			c := s.counts[p.name]
			if c == nil {
				c = &OutcomeCount{Outcome: p.name, Origin: p.origin}
				s.counts[p.name] = c
			}
			c.Count += count
			c.Burning += bad
		}
	}
}

// finish turns the sums into the report, in the order of the names.
func (m *merger) finish(r *Report) {
	for key, sum := range m.routes {
		if key.service == "" {
			r.Unattributed = sum.all.outcomes()
			for i := range r.Unattributed {
				r.Unattributed[i].Burning = 0
			}
			continue
		}
		route := Route{
			Service: key.service, Route: key.route, Objective: sum.objective, All: sum.all.burn("", sum.objective), Workspaces: []Burn{},
			Fine: points(sum.fine, sum.objective), Coarse: points(sum.coarse, sum.objective),
		}
		for _, name := range slices.Sorted(maps.Keys(sum.workspaces)) {
			route.Workspaces = append(route.Workspaces, sum.workspaces[name].burn(name, sum.objective))
		}
		r.Routes = append(r.Routes, route)
	}
	slices.SortFunc(r.Routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
	})
}

func (s *sums) burn(workspace string, o Objective) Burn {
	b := Burn{Workspace: workspace, Outcomes: s.outcomes()}
	for i, t := range s.windows {
		b.Windows = append(b.Windows, Window{windowName(windows[i]), t.counted, t.bad, burnRate(t.counted, t.bad, o.Availability)})
	}
	b.BudgetLeft = budgetLeft(s.windows[window6h].counted, s.windows[window6h].bad, o.Availability)
	b.Fast = alert(&b.Windows[window5m], &b.Windows[window1h], FastBurnRate, o.Availability)
	b.Slow = alert(&b.Windows[window30m], &b.Windows[window6h], SlowBurnRate, o.Availability)
	return b
}

func (s *sums) outcomes() []OutcomeCount {
	out := []OutcomeCount{}
	for _, name := range slices.Sorted(maps.Keys(s.counts)) {
		out = append(out, *s.counts[name])
	}
	return out
}

func points(tallies map[int64]*tally, o Objective) []Point {
	out := []Point{}
	for _, start := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[start]
		out = append(out, Point{start, burnRate(t.counted, t.bad, o.Availability)})
	}
	return out
}

// windowName writes a window like 5m and 6h.
func windowName(d time.Duration) string {
	if d < time.Hour {
		return d.String()[:len(d.String())-len("0s")]
	}
	return d.String()[:len(d.String())-len("0m0s")]
}
