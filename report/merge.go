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
	Nodes   []SourceNode  `json:"nodes"`   // nodes whose counts are included
	Missing []MissingNode `json:"missing"` // nodes that were asked but gave no valid counts
	// Since is when the youngest of Nodes started to count. Counts before that are
	// from the older nodes only.
	Since  time.Time `json:"since"`
	Routes []Route   `json:"routes"`
	// Unattributed are requests of the last 6 h that were refused before their
	// route was known. They do not count in any error budget.
	Unattributed []OutcomeCount `json:"unattributed"`
}

// SourceNode is a node whose counts are included in a report.
type SourceNode struct {
	Node       string    `json:"node"`
	DataCentre string    `json:"data_centre"`
	Since      time.Time `json:"since"`
}

// MissingNode is a node that gave no valid counts.
type MissingNode struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// Route is the burn report of one route of a service.
type Route struct {
	Service    string    `json:"service"`
	Route      string    `json:"route"`
	Objective  Objective `json:"objective"`
	All        Burn      `json:"all"`
	Workspaces []Burn    `json:"workspaces"`
	Fine       []Point   `json:"fine"`   // burn rates of All in buckets of FineWidth
	Coarse     []Point   `json:"coarse"` // burn rates of All in buckets of CoarseWidth
}

// Burn is the state of one error budget: that of a route, or of one workspace on a
// route.
type Burn struct {
	Workspace string `json:"workspace"` // empty for requests without a workspace and for Route.All
	// BudgetLeft is the fraction of the error budget of the last 6 h that is left, or
	// null without an objective or counted requests. It is negative if the budget is
	// exceeded.
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
	Bad     uint64 `json:"burning"` // requests of Count that are bad
}

// Point is the burn rate in one bucket, for a plot.
type Point struct {
	Start    int64    `json:"start"` // Unix time, seconds
	BurnRate *float64 `json:"burn_rate"`
}

// Merge creates a report from the counts of the nodes that responded.
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

// routeSum holds the sum of all nodes' counts of one route.
type routeSum struct {
	objective    Objective // from the node with the highest configuration version
	all          budgetSums
	workspaces   map[string]*budgetSums
	fine, coarse map[int64]*requestTally
}

// merger adds up the counts of all routes.
type merger struct {
	demand *demand
	routes map[routeKey]*routeSum
}

// requestTally is a number of requests that count in the budget, and how many of them
// are bad.
type requestTally struct{ counted, bad uint64 }

// budgetSums holds the counts of one error budget.
type budgetSums struct {
	windows [len(windows)]requestTally
	counts  map[string]*OutcomeCount // in the longest window, by outcome
}

func newBudgetSums() budgetSums { return budgetSums{counts: map[string]*OutcomeCount{}} }

// add adds the counts of a node. It must be called in ascending order of
// configuration versions, because later objectives replace earlier ones.
func (m *merger) add(n *Node) {
	for i := range n.Series {
		s := &n.Series[i]
		key := routeKey{s.Service, s.Route}
		sum := m.routes[key]
		if sum == nil {
			sum = &routeSum{all: newBudgetSums(), workspaces: map[string]*budgetSums{}, fine: map[int64]*requestTally{}, coarse: map[int64]*requestTally{}}
			m.routes[key] = sum
		}
		if s.Objective != (Objective{}) {
			sum.objective = s.Objective
		}
		w := sum.workspaces[s.Workspace]
		if w == nil {
			w = new(budgetSums)
			*w = newBudgetSums()
			sum.workspaces[s.Workspace] = w
		}
		m.addBuckets(n, s, s.Fine, FineWidth, sum.fine, &sum.all, w)
		m.addBuckets(n, s, s.Coarse, CoarseWidth, sum.coarse, &sum.all, w)
	}
}

// addBuckets adds buckets of a series to the points of its route and to the given
// budgets.
func (m *merger) addBuckets(n *Node, s *Series, buckets []Bucket, width time.Duration, points map[int64]*requestTally, into ...*budgetSums) {
	for _, b := range buckets {
		within := m.demand.withinRate(s.Workspace, width, b.Start)
		point := points[b.Start]
		if point == nil {
			point = &requestTally{}
			points[b.Start] = point
		}
		for name, count := range b.Counts {
			p := propertyOfName(name)
			counted, bad := p.effect.apply(count, within)
			point.add(counted, bad)
			for _, sum := range into {
				sum.add(n.At, width, b.Start, p, count, counted, bad)
			}
		}
	}
}

// apply returns how many of count requests count in the budget, and how many of those
// are bad.
func (e Effect) apply(count uint64, withinRate bool) (counted, bad uint64) {
	switch {
	case e == EffectGood:
		return count, 0
	case e == EffectBad || (e == EffectBadWithinRate && withinRate):
		return count, count
	}
	return 0, 0
}

func (t *requestTally) add(counted, bad uint64) {
	t.counted += counted
	t.bad += bad
}

// add adds requests to all windows that overlap with their bucket. Windows up to 30
// min use the fine buckets, the others the coarse ones.
func (s *budgetSums) add(at time.Time, width time.Duration, start int64, p outcomeProperty, count, counted, bad uint64) {
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
			c.Bad += bad
		}
	}
}

// finish fills in the routes of the report, ordered by name.
func (m *merger) finish(r *Report) {
	for key, sum := range m.routes {
		if key.service == "" {
			r.Unattributed = sum.all.outcomes()
			for i := range r.Unattributed {
				r.Unattributed[i].Bad = 0
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

func (s *budgetSums) burn(workspace string, o Objective) Burn {
	b := Burn{Workspace: workspace, Outcomes: s.outcomes()}
	for i, t := range s.windows {
		b.Windows = append(b.Windows, Window{windowName(windows[i]), t.counted, t.bad, burnRate(t.counted, t.bad, o.Availability)})
	}
	b.BudgetLeft = remainingBudget(s.windows[window6h].counted, s.windows[window6h].bad, o.Availability)
	b.Fast = alertState(&b.Windows[window5m], &b.Windows[window1h], FastBurnRate, o.Availability)
	b.Slow = alertState(&b.Windows[window30m], &b.Windows[window6h], SlowBurnRate, o.Availability)
	return b
}

func (s *budgetSums) outcomes() []OutcomeCount {
	out := []OutcomeCount{}
	for _, name := range slices.Sorted(maps.Keys(s.counts)) {
		out = append(out, *s.counts[name])
	}
	return out
}

func points(tallies map[int64]*requestTally, o Objective) []Point {
	out := []Point{}
	for _, start := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[start]
		out = append(out, Point{start, burnRate(t.counted, t.bad, o.Availability)})
	}
	return out
}

// windowName formats the length of a window, such as 5m or 6h.
func windowName(d time.Duration) string {
	if d < time.Hour {
		return d.String()[:len(d.String())-len("0s")]
	}
	return d.String()[:len(d.String())-len("0m0s")]
}
