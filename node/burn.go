package node

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/report"
)

// Bounds of the request counters. A series takes 17 KB, so all series together take at
// most 9 MB.
const (
	burnShards = 16  // power of two
	maxSeries  = 384 // series that count a single workspace
	// maxOtherSeries-1 additional series each count all further workspaces of a route
	// together. Two more, one for callers' requests and one for onward calls, count all
	// other routes together.
	maxOtherSeries = 128
)

// seriesKey identifies a series. All its parts come from the configuration, so callers
// cannot create keys.
type seriesKey struct {
	service, route, workspace string
	onward                    bool
}

// burnTable counts the outcomes of requests for the burn report, which shows how fast
// routes use up their error budgets. It is safe for concurrent use.
type burnTable struct {
	clock  func() time.Time
	since  time.Time
	seed   maphash.Seed
	series atomic.Int64
	peaks  [burnShards]peakTable // by workspace
	shards [burnShards]burnShard
}

type burnShard struct {
	mu           sync.Mutex
	series       map[seriesKey]*burnSeries
	lastEviction int64 // index of the coarse bucket in which unused series were last removed
}

// burnSeries is guarded by the lock of its shard.
type burnSeries struct {
	fine, coarse ring
}

// ring holds the last report.RingBuckets buckets.
type ring [report.RingBuckets]burnBucket

type burnBucket struct {
	index  int64 // Unix time (since 1970) divided by the width of a bucket
	counts [report.MaxOutcomes]uint32
}

func newBurnTable(clock func() time.Time) *burnTable {
	t := &burnTable{clock: clock, since: clock(), seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].series = map[seriesKey]*burnSeries{}
		t.peaks[i].workspaces = map[string]*peaks{}
	}
	return t
}

// record counts one request that ended at now. If the table has no room for another
// series, the request is counted in a series for the other workspaces of its route or,
// failing that, in one for all other routes.
func (t *burnTable) record(key seriesKey, o report.Outcome, now time.Time) {
	if t.increment(key, o, now, maxSeries) {
		return
	}
	key.workspace = report.OthersName
	if t.increment(key, o, now, maxSeries+maxOtherSeries-1) {
		return
	}
	t.increment(seriesKey{report.OthersName, report.OthersName, report.OthersName, key.onward}, o, now, maxSeries+maxOtherSeries+1)
}

// increment counts a request and returns true, unless that needs a new series and
// there are already limit series.
func (t *burnTable) increment(key seriesKey, o report.Outcome, now time.Time, limit int64) bool {
	s := &t.shards[maphash.Comparable(t.seed, key)%burnShards]
	fine, coarse := bucketIndex(now, report.FineWidth), bucketIndex(now, report.CoarseWidth)
	s.mu.Lock()
	defer s.mu.Unlock()
	series := s.series[key]
	if series == nil {
		if t.series.Load() >= limit {
			t.evictUnused(s, coarse)
		}
		if t.series.Add(1) > limit {
			t.series.Add(-1)
			return false
		}
		series = &burnSeries{}
		s.series[key] = series
	}
	series.fine.increment(fine, o)
	series.coarse.increment(coarse, o)
	return true
}

func bucketIndex(now time.Time, width time.Duration) int64 {
	return now.Unix() / int64(width/time.Second)
}

// evictUnused removes the shard's series that hold no counts any more, such as those
// of routes that are no longer configured. It does so at most once per coarse bucket.
func (t *burnTable) evictUnused(s *burnShard, coarse int64) {
	if s.lastEviction == coarse {
		return
	}
	s.lastEviction = coarse
	for key, series := range s.series {
		if series.coarse.latest() <= coarse-report.RingBuckets {
			delete(s.series, key)
			t.series.Add(-1)
		}
	}
}

// increment counts an outcome in the bucket of the given index. If the clock was set
// back and the bucket at its position is newer, it counts in that one.
func (r *ring) increment(index int64, o report.Outcome) {
	b := &r[index%report.RingBuckets]
	if index > b.index {
		*b = burnBucket{index: index}
	}
	b.counts[o]++
}

func (r *ring) latest() (index int64) {
	for i := range r {
		index = max(index, r[i].index)
	}
	return index
}

// buckets returns the used buckets within the time span of the ring, oldest first.
func (r *ring) buckets(now time.Time, width time.Duration) []report.Bucket {
	out := []report.Bucket{}
	last := bucketIndex(now, width)
	for index := max(last-report.RingBuckets+1, 1); index <= last; index++ { // index 0 marks an unused bucket
		b := &r[index%report.RingBuckets]
		if b.index != index {
			continue
		}
		counts := report.Counts{}
		for o := range report.NumOutcomes() {
			if n := b.counts[o]; n > 0 {
				counts[report.Outcome(o).String()] = uint64(n)
			}
		}
		out = append(out, report.Bucket{Start: index * int64(width/time.Second), Counts: counts})
	}
	return out
}

// keys returns the keys of a shard's series.
func (s *burnShard) keys() []seriesKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]seriesKey, 0, len(s.series))
	for key := range s.series {
		keys = append(keys, key)
	}
	return keys
}

// snapshot returns a copy of a series, so that the lock is not held while it is
// encoded.
func (s *burnShard) snapshot(key seriesKey) (burnSeries, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	series, ok := s.series[key]
	if !ok {
		return burnSeries{}, false
	}
	return *series, true
}

// recordDemand counts a request of a caller of workspace w, whose rate and burst are
// kept with the peaks.
func (t *burnTable) recordDemand(w *config.Workspace, now time.Time) {
	t.peaks[maphash.String(t.seed, w.Name)%burnShards].record(w, now)
}

// report returns all counts. objective returns the service level objective of a route.
func (t *burnTable) report(objective func(service, route string) report.Objective) []report.Series {
	now, out := t.clock(), []report.Series{}
	for i := range t.shards {
		s := &t.shards[i]
		for _, key := range s.keys() {
			series, ok := s.snapshot(key)
			if !ok {
				continue
			}
			out = append(out, report.Series{
				Service: key.service, Route: key.route, Workspace: key.workspace, Onward: key.onward,
				Objective: objective(key.service, key.route),
				Fine:      series.fine.buckets(now, report.FineWidth), Coarse: series.coarse.buckets(now, report.CoarseWidth),
			})
		}
	}
	return out
}

// BurnReport returns this node's counts for the burn report. It is safe for concurrent
// use.
func (n *Node) BurnReport() report.Node {
	r := report.Node{
		Node: n.cfg.ID, Incarnation: n.cfg.Incarnation, DataCentre: n.cfg.DataCentre, Since: n.burn.since, At: n.now(),
		Workspaces: []report.Workspace{}, Peaks: []report.Peaks{},
	}
	for i := range n.burn.peaks {
		r.Peaks = append(r.Peaks, n.burn.peaks[i].report(r.At)...)
	}
	objectives := map[[2]string]report.Objective{}
	if s := n.cfg.Configuration.Current(); s != nil {
		r.Version = s.Version
		for _, w := range s.Document.Fleet.Workspaces {
			r.Workspaces = append(r.Workspaces, report.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst})
		}
		for _, service := range s.Document.Services {
			for i := range service.Routes {
				objectives[[2]string{service.Name, service.Routes[i].Pattern}] = objectiveOf(&service.Routes[i])
			}
		}
	}
	r.Series = n.burn.report(func(service, route string) report.Objective { return objectives[[2]string{service, route}] })
	return r
}

func objectiveOf(r *config.Route) report.Objective {
	return report.Objective{
		Availability: r.Objective.Availability,
		LatencyMS:    float64(r.Objective.Latency) / float64(time.Millisecond),
	}
}

// routeSeries returns the key of a route without a workspace, or the zero key if route
// is nil because none matched.
func routeSeries(service string, route *config.Route) seriesKey {
	if route == nil {
		return seriesKey{}
	}
	return seriesKey{service: service, route: route.Pattern}
}

func (c *call) seriesKey() seriesKey {
	key := routeSeries(c.req.target.service, c.route)
	key.workspace, key.onward = c.info.Workspace, c.parent != nil
	return key
}

// recordRefusal counts a call that ended with a refusal. ctx is the context of the
// sender's request.
func (c *call) recordRefusal(ctx context.Context, r *refusal.Refusal) {
	now := c.node.now()
	o := report.RefusalOutcome(r, c.shed)
	if ctx.Err() != nil {
		o = report.DisconnectOutcome(now.Sub(c.arrived), c.route.Objective.Latency)
	}
	c.node.burn.record(c.seriesKey(), o, now)
}

// recordResponse counts a call whose response was forwarded, or broke off if complete
// is false. ctx is the context of the sender's request.
func (c *call) recordResponse(ctx context.Context, status int, complete bool) {
	now := c.node.now()
	after, limit := now.Sub(c.arrived), c.route.Objective.Latency
	o := report.AnswerOutcome(status, after, limit)
	switch {
	case complete:
	case ctx.Err() != nil:
		o = report.DisconnectOutcome(after, limit)
	default:
		o = report.AnswerAborted
	}
	c.node.burn.record(c.seriesKey(), o, now)
}
