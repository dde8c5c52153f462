package quota

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/store"
)

// sim runs the services of several data centres in simulated time and on one
// thread, so that a seed always gives the same schedule.
type sim struct {
	rng        *rand.Rand
	now        time.Duration
	events     eventHeap
	eventCount uint64
	running    *proc
	nodes      []*simNode
	fleet      config.Fleet
	version    uint64
	references map[string]*referenceBucket
	faults     simFaults
	rows       map[string]store.Row
	load       map[string]float64 // by workspace, requests per second at each node without a load of its own
}

type simFaults struct {
	loss, delayed, duplicate float64 // probability for each message
	cut                      map[[2]string]bool
	platformDown             bool
	loseWriteAnswers         float64 // probability that the answer to a write is lost
	wrongMembers             bool
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// referenceBucket is the token bucket of a workspace's whole limit. Its level
// falls below zero if and only if some window received more than
// rate × window + burst.
type referenceBucket struct {
	rate, burst, level, lowest float64
	last                       time.Duration
	taken, offered             float64
}

func (r *referenceBucket) take(now time.Duration) {
	r.level = min(r.burst, r.level+r.rate*(now-r.last).Seconds()) - 1
	r.last = now
	r.taken++
	r.lowest = min(r.lowest, r.level)
}

type simNode struct {
	sim         *sim
	id, dc      string
	alive       bool
	stopping    bool // a planned stop is under way
	incarnation uint64
	paused      time.Duration // until
	offset      time.Duration
	drift       float64
	svc         *Service
	borrower    *proc
	lastReport  time.Duration // start of the last report
	calling     bool          // a call of the borrower is under way
	load        map[string]float64
}

// Now implements lease.Clock.
func (n *simNode) Now() time.Duration {
	return n.offset + time.Duration(float64(n.sim.now)*(1+n.drift))
}

// proc is a coroutine of one process of a node. It ends when that process does.
type proc struct {
	sim         *sim
	node        *simNode
	incarnation uint64
	yield       func(time.Duration) bool
	token       int
	next        func() (time.Duration, bool)
	stop        func()
}

var errKilled = errors.New("killed")

func (s *sim) at(d time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{s.now + d, s.eventCount, run})
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) spawn(n *simNode, body func(p *proc)) *proc {
	p := &proc{sim: s, node: n, incarnation: n.incarnation}
	p.next, p.stop = iter.Pull(func(yield func(time.Duration) bool) {
		defer func() {
			if r := recover(); r != nil && r != errKilled {
				panic(r)
			}
		}()
		p.yield = yield
		body(p)
	})
	s.at(0, func() { p.resume(0) })
	return p
}

func (p *proc) resume(token int) {
	n := p.node
	if token != p.token {
		return
	}
	if !n.alive || n.incarnation != p.incarnation {
		p.stop()
		return
	}
	if p.sim.now < n.paused {
		p.sim.at(n.paused-p.sim.now, func() { p.resume(token) })
		return
	}
	p.sim.running = p
	p.token++
	d, ok := p.next()
	if ok {
		token := p.token
		p.sim.at(d, func() { p.resume(token) })
	}
}

// wake resumes p before its sleep ends.
func (p *proc) wake() {
	token := p.token
	p.sim.at(0, func() { p.resume(token) })
}

func (p *proc) sleep(d time.Duration) {
	if !p.yield(d) {
		panic(errKilled)
	}
}

func newSim(seed uint64, dcs, nodesPerDC int, workspaces ...config.Workspace) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), references: map[string]*referenceBucket{}, rows: map[string]store.Row{}, load: map[string]float64{}}
	s.faults.cut = map[[2]string]bool{}
	s.version = 1
	for d := range dcs {
		dc := fmt.Sprintf("dc%d", d)
		s.fleet.DataCentres = append(s.fleet.DataCentres, config.DataCentre{Name: dc, Share: 1 / float64(dcs)})
		for i := range nodesPerDC {
			s.nodes = append(s.nodes, &simNode{sim: s, id: fmt.Sprintf("%s-n%d", dc, i), dc: dc,
				offset: time.Duration(1+s.rng.Int64N(1000)) * time.Second, drift: (s.rng.Float64() - 0.5) * clockTolerance, load: map[string]float64{}})
		}
	}
	s.fleet.Workspaces = workspaces
	for _, w := range workspaces {
		s.references[w.Name] = &referenceBucket{rate: w.Rate, burst: w.Burst, level: w.Burst}
	}
	for _, n := range s.nodes {
		s.boot(n)
		for _, w := range workspaces {
			s.scheduleRequest(n, w.Name)
		}
	}
	return s
}

// boot starts a new process of a node.
func (s *sim) boot(n *simNode) {
	n.alive, n.stopping, n.paused = true, false, 0
	n.incarnation++
	n.calling = false
	n.svc = New(Config{Node: n.id, Incarnation: n.incarnation, DataCentre: n.dc, Table: n, Transport: n, MemberClient: n,
		Members: n.Members, Clock: n, RemoteMembers: func(dc string) []string {
			var ids []string
			for _, m := range s.nodes {
				if m.dc == dc {
					ids = append(ids, m.id)
				}
			}
			return ids
		}})
	fleet := s.fleet
	n.svc.Configure(s.version, &fleet)
	svc, ctx := n.svc, context.Background()
	s.spawn(n, func(p *proc) {
		learned := false
		for {
			svc.Elector.Step(ctx)
			for end := s.now + lease.StepInterval/2 + time.Duration(s.rng.Int64N(int64(lease.StepInterval))); s.now < end; {
				st := svc.Elector.Status()
				if st.Node != n.id || st.IsHolder {
					learned = false
				} else if !learned {
					learned = true // Elector.Run also makes a step at once in this case
					break
				}
				p.sleep(50 * time.Millisecond)
			}
		}
	})
	n.borrower = s.spawn(n, func(p *proc) {
		for {
			n.lastReport = s.now
			_ = svc.Borrower.Step(ctx)
			p.sleep(ReportInterval)
		}
	})
	for _, dc := range slices.Sorted(func(yield func(string) bool) {
		for dc := range svc.LoanBorrowers() {
			if !yield(dc) {
				return
			}
		}
	}) {
		l := svc.LoanBorrowers()[dc]
		s.spawn(n, func(p *proc) {
			for {
				_ = l.Step(ctx)
				s.waitForReport(p, l.reportNow)
			}
		})
	}
}

// requestReport makes the borrower report at once, as a waiting Take does.
func (n *simNode) requestReport() {
	if !n.calling && n.sim.now >= n.lastReport+MinReportInterval {
		n.borrower.wake()
	}
}

// waitForReport waits like reportLoop, but checks for a signal only every half
// ReportInterval.
func (s *sim) waitForReport(p *proc, reportNow chan struct{}) {
	for range 2 {
		p.sleep(ReportInterval / 2)
		select {
		case <-reportNow:
			return
		default:
		}
	}
}

// scheduleRequest generates the requests of a workspace at a node, at random
// times by the node's load.
func (s *sim) scheduleRequest(n *simNode, workspace string) {
	rate, ok := n.load[workspace]
	if !ok {
		rate = s.load[workspace]
	}
	if rate <= 0 {
		s.at(100*time.Millisecond, func() { s.scheduleRequest(n, workspace) })
		return
	}
	s.at(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if n.alive && s.now >= n.paused {
			ref := s.references[workspace]
			ref.offered++
			if n.svc.Bucket.TryTake(workspace) {
				ref.take(s.now)
			} else {
				n.requestReport()
			}
		}
		s.scheduleRequest(n, workspace)
	})
}

func (s *sim) kill(n *simNode) { n.alive = false }

// planStop makes a planned stop of a node: it returns or hands over everything
// and ends.
func (s *sim) planStop(n *simNode) {
	svc := n.svc
	n.incarnation++ // ends the loops of the process
	n.stopping = true
	n.load = map[string]float64{}
	s.spawn(n, func(p *proc) {
		svc.Stop(context.Background())
		n.alive = false
	})

}

// setCut cuts or restores both directions between nodes for which side differs,
// and, if platform is set, between the platform and the nodes for which side is
// true.
func (s *sim) setCut(cut bool, side func(id string) bool, platform bool) {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if side(a.id) != side(b.id) {
				s.faults.cut[[2]string{a.id, b.id}] = cut
			}
		}
		if platform && side(a.id) {
			s.faults.cut[[2]string{a.id, "platform"}] = cut
		}
	}
}

func (s *sim) holder(dc string) *simNode {
	for _, n := range s.nodes {
		if n.dc == dc && n.alive && n.svc.Elector.Status().Lending {
			return n
		}
	}
	return nil
}

// spendable returns what all nodes and holders together could spend of a
// workspace now. Messages in flight are not counted, because nobody can spend
// what they carry.
func (s *sim) spendable(workspace string) (sum Limit) {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		share := n.svc.Bucket.Share(workspace)
		sum.Rate += share.Rate
		sum.Burst += share.Burst
		free := n.svc.Holder.spendable(workspace)
		sum.Rate += max(0, free.Rate)
		sum.Burst += max(0, free.Burst)
	}
	return sum
}

// spendable returns what the holder could lend now.
func (h *Holder) spendable(workspace string) Limit {
	h.mu.Lock()
	defer h.mu.Unlock()
	st, now := h.elector.Status(), h.clock.Now()
	if !st.Lending || !h.ready() {
		return Limit{}
	}
	p := h.pools[workspace]
	if p == nil || h.epoch != st.Epoch {
		return h.usable(workspace)
	}
	p.advance(now)
	return p.free(now, 0)
}

// limitExceeded describes a workspace whose shares exceed its limit, or returns
// "" if there is none.
func (s *sim) limitExceeded() string {
	for name, ref := range s.references {
		if sum := s.spendable(name); sum.Rate > ref.rate+1e-9 || sum.Burst > ref.burst+1e-9 {
			return fmt.Sprintf("%s: %+v spendable of %+v at %s", name, sum, Limit{ref.rate, ref.burst}, s.now)
		}
	}
	return ""
}

// runChecked runs for d and checks the sum of all shares every 20 ms. It returns
// the first result of limitExceeded that is not "".
func (s *sim) runChecked(d time.Duration) string {
	for end := s.now + d; s.now < end; {
		s.run(min(20*time.Millisecond, end-s.now))
		if found := s.limitExceeded(); found != "" {
			return found
		}
	}
	return ""
}
