package lease_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/store"
)

// cluster simulates the members and the platform row of one data centre in
// virtual time.
type cluster struct {
	t           *testing.T
	now         time.Duration
	row         store.Row
	noPlatform  map[string]bool // nodes that cannot reach the platform
	writeFault  string          // fault of the next write: "before" (not applied), "after" (answer lost) or "late" (applied by applyLate)
	applyLate   func()
	nodes       []string
	views       map[string][]string // members as a node sees them, where that differs from nodes
	isolated    map[string]bool     // nodes that neither send nor receive queries
	fencesLost  bool                // drops the queries that fence, but no others
	electors    map[string]*lease.Elector
	incarnation uint64 // of the elector started last
}

// member is the clock, table and member client of one node.
type member struct {
	c  *cluster
	id string
}

func (m member) Now() time.Duration { return m.c.now }

func (m member) Members() []string {
	if v, ok := m.c.views[m.id]; ok {
		return v
	}
	return m.c.nodes
}

func (m member) Ask(_ context.Context, nodes []string, q lease.Query) map[string]lease.Answer {
	out := map[string]lease.Answer{}
	for _, n := range nodes {
		if e := m.c.electors[n]; e != nil && !(q.Fence && m.c.fencesLost) && !m.c.isolated[n] && !m.c.isolated[m.id] {
			out[n] = e.HandleQuery(q)
		}
	}
	return out
}

func (m member) Get(context.Context, string) (store.Row, error) {
	if m.c.noPlatform[m.id] {
		return store.Row{}, store.ErrUnavailable.New("down")
	}
	if m.c.row.Version == 0 {
		return store.Row{}, store.ErrNotFound.New("row")
	}
	return m.c.row, nil
}

func (m member) List(context.Context, string, uint64) ([]store.Row, error) { return nil, nil }

func (m member) Put(_ context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	c := m.c
	if c.noPlatform[m.id] {
		return 0, store.ErrUnavailable.New("down")
	}
	apply := func() bool {
		if c.row.Version != ifVersion {
			return false
		}
		c.row = store.Row{Key: key, Version: ifVersion + 1, Value: slices.Clone(value)}
		return true
	}
	fault := c.writeFault
	c.writeFault = ""
	switch fault {
	case "before":
		return 0, store.ErrUnknownOutcome.New("lost")
	case "late":
		c.applyLate = func() { apply() }
		return 0, store.ErrUnknownOutcome.New("lost")
	}
	if !apply() {
		return 0, store.ErrConflict.New("row")
	}
	if fault == "after" {
		return 0, store.ErrUnknownOutcome.New("lost")
	}
	return ifVersion + 1, nil
}

func newCluster(t *testing.T, nodes ...string) *cluster {
	c := &cluster{t: t, now: time.Hour, nodes: nodes, noPlatform: map[string]bool{}, views: map[string][]string{},
		isolated: map[string]bool{}, electors: map[string]*lease.Elector{}}
	for _, n := range nodes {
		c.start(n)
	}
	return c
}

func (c *cluster) start(id string) *lease.Elector {
	c.incarnation++
	m := member{c, id}
	c.electors[id] = lease.New(lease.Config{Node: id, Incarnation: c.incarnation, DataCentre: "dudley", Table: m, MemberClient: m, Clock: m})
	return c.electors[id]
}

func (c *cluster) step(ids ...string) {
	for _, id := range ids {
		c.electors[id].Step(context.Background())
	}
}

func (c *cluster) lending(id string) bool { return c.electors[id].Status().Lending }

// echoResponses simulates quota responses of the holder that reach the given
// nodes and that those nodes echo.
func (c *cluster) echoResponses(holder string, ids ...string) {
	for _, id := range ids {
		epoch := c.electors[holder].Status().Epoch
		c.electors[id].ObserveEpoch(epoch, holder)
		c.electors[id].ObserveHolder(epoch)
		if c.electors[id].MayEcho(epoch) {
			c.electors[holder].RecordEcho(id, epoch, c.now)
		}
	}
}

// clusterWithHolder returns a cluster in which a is the holder and all nodes have
// read the row.
func clusterWithHolder(t *testing.T) *cluster {
	c := newCluster(t, "a", "b", "c")
	c.step("a", "b", "c", "a")
	c.echoResponses("a", "b", "c")
	assert.Assert(t, c.lending("a"))
	assert.Assert(t, !c.lending("b") && !c.lending("c"))
	return c
}

// Guards against a first holder that waits for leases although no earlier holder
// gave any.
func TestFirstHolderLendsAtOnce(t *testing.T) {
	c := newCluster(t, "a")
	c.step("a")
	assert.Assert(t, c.lending("a"))
	assert.Assert(t, c.electors["a"].Status().LoansAllowed)
}

// Guards against a holder that goes on lending without contact with either the
// platform or a majority, or that stops although it has one of them.
func TestHolderLendsOnlyWithContact(t *testing.T) {
	for _, tc := range []struct {
		name     string
		platform bool
		heard    []string
		lending  bool
	}{
		{"platform only", true, nil, true},
		{"majority only", false, []string{"b"}, true},
		{"neither", false, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := clusterWithHolder(t)
			c.noPlatform["a"] = !tc.platform
			for range 10 {
				c.now += lease.StepInterval
				c.step("a")
				c.echoResponses("a", tc.heard...)
			}
			assert.Equal(t, c.lending("a"), tc.lending)
		})
	}
}

// Guards against one-way contact that keeps a holder valid. A member's message
// only proves that the member heard the holder when the echoed response was sent,
// not when the message arrives.
func TestContactCountsFromTheEchoedAnswer(t *testing.T) {
	c := clusterWithHolder(t)
	c.noPlatform["a"] = true
	c.now += lease.FenceTime + time.Second
	c.electors["a"].RecordEcho("b", 1, c.now-lease.FenceTime)
	assert.Assert(t, !c.lending("a"))
}

// Guards against two holders that lend at the same time after a takeover: the
// successor has to fence a majority of the old holder's witnesses and wait until
// the old leases have expired.
func TestTakeoverFencesAndWaits(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(c *cluster)
		lends bool // whether the successor ever lends
	}{
		{"holder dead", func(c *cluster) { c.isolated["a"] = true }, true},
		{"answer to the write lost", func(c *cluster) { c.isolated["a"] = true; c.writeFault = "after" }, true},
		{"write lost", func(c *cluster) { c.isolated["a"] = true; c.writeFault = "before" }, true},
		{"successor sees no other member", func(c *cluster) { c.isolated["a"] = true; c.views["b"] = []string{"b"} }, true},
		{"majority lost", func(c *cluster) { c.isolated["a"], c.isolated["c"] = true, true }, false},
		{"majority lost, and the successor sees no other member", func(c *cluster) {
			c.isolated["a"], c.isolated["c"] = true, true
			c.views["b"] = []string{"b"}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := clusterWithHolder(t)
			c.now += lease.FenceTime
			tc.setup(c)
			c.step("b")
			c.step("b") // after an unknown outcome the row is read again
			begin := c.now
			for c.now < begin+lease.TakeoverWait-time.Millisecond {
				assert.Assert(t, !c.lending("b"), "lends %s after the takeover", c.now-begin)
				c.now += 100 * time.Millisecond
				c.step("b")
			}
			c.now += 200 * time.Millisecond
			c.step("b")
			assert.Equal(t, c.lending("b"), tc.lends)
			assert.Assert(t, !c.electors["b"].Status().LoansAllowed, "loans of an earlier holder may not have expired")
			c.now += lease.LoanWait
			c.step("b")
			assert.Equal(t, c.electors["b"].Status().LoansAllowed, tc.lends)
		})
	}
}

// Guards against members that still confirm the old holder after the new one has
// fenced them, also after a restart of the member.
func TestFencedMembersDoNotConfirmOldHolder(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%v", restart), func(t *testing.T) {
			c := clusterWithHolder(t)
			c.noPlatform["a"], c.isolated["a"] = true, true // a does not learn that b took over
			c.now += lease.FenceTime
			c.step("b") // takes over and fences c
			c.echoResponses("a", "c")
			if restart {
				c.start("c")
				c.noPlatform["c"], c.isolated["c"] = true, true // c learns only the epoch that it is told by a
				c.step("c")
			}
			for range 12 {
				c.now += lease.StepInterval
				c.echoResponses("a", "c")
				c.step("b", "c")
			}
			assert.Assert(t, c.lending("b"))
			assert.Assert(t, !c.lending("a"))
		})
	}
}

// Guards against a second successor that does not fence the witnesses of the
// original holder after the first successor failed to do so.
func TestUnfencedSetsAreInherited(t *testing.T) {
	c := clusterWithHolder(t)
	c.now += lease.FenceTime
	c.views["b"] = []string{"b"}
	c.fencesLost = true
	c.step("b") // b's own witness set is {b}, and its fencing query to c is lost
	c.start("b")
	for range 30 {
		c.now += lease.StepInterval
		c.step("b")
	}
	assert.Equal(t, c.electors["b"].Status().Epoch, uint64(3))
	assert.Assert(t, !c.lending("b"), "no majority of a's witnesses is fenced")
	c.fencesLost = false
	for range 30 {
		c.now += lease.StepInterval
		c.step("b")
	}
	assert.Assert(t, c.lending("b"))
}

// Guards against a holder that relies on one of two witness sets while it is
// unknown which of them the row holds, also if the write takes effect late.
func TestUnknownWitnessUpdateNeedsBothMajorities(t *testing.T) {
	c := clusterWithHolder(t)
	c.nodes = []string{"a", "d", "e"}
	c.start("d")
	c.start("e")
	c.step("d", "e")
	c.echoResponses("a", "d", "e")
	c.writeFault = "late"
	c.now += lease.StepInterval
	c.step("a")
	c.noPlatform["a"] = true
	c.applyLate()
	for range 6 {
		c.now += lease.StepInterval
		c.echoResponses("a", "b", "c") // a majority of the old set, but not of the new one
	}
	assert.Assert(t, !c.lending("a"))
	c.echoResponses("a", "d", "e")
	assert.Assert(t, c.lending("a"))
}

// Guards against a planned stop after which the successor waits as long as after
// a crash, or starts at once without the handed-over state.
func TestPlannedStop(t *testing.T) {
	for _, tc := range []struct {
		name     string
		handover bool
		received bool
		fault    string
		wait     time.Duration
	}{
		{"handed over", true, true, "", 0},
		{"handed over, answer to the write lost", true, true, "after", 0},
		{"handed over without the state", true, false, "", lease.TakeoverWait},
		{"released", false, false, "", lease.NodeLease + lease.GuardTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := clusterWithHolder(t)
			a, b := c.electors["a"], c.electors["b"]
			a.Stop()
			assert.Assert(t, !c.lending("a"))
			if tc.received {
				b.ReceiveHandover("h1")
			}
			c.writeFault = tc.fault
			if tc.handover {
				assert.NilError(t, a.HandOver(context.Background(), "b", 2, "h1"))
			} else {
				assert.NilError(t, a.Release(context.Background()))
			}
			c.now += lease.FenceTime // b has not heard the holder for silenceTimeout
			c.step("b")
			if tc.wait > 0 {
				assert.Assert(t, !c.lending("b"))
				c.now += tc.wait
				c.step("b")
			}
			assert.Assert(t, c.lending("b"))
			assert.Equal(t, b.Status().HandedOver, tc.received)
		})
	}
}

// Guards against a data centre that can never lend again after a majority of its
// witnesses is lost and retired.
func TestRetire(t *testing.T) {
	c := clusterWithHolder(t)
	c.isolated["a"], c.isolated["c"] = true, true
	c.nodes = []string{"b"}
	assert.NilError(t, lease.Retire(context.Background(), member{c, "operator"}, "dudley", []string{"a", "c"}))
	for range 20 {
		c.now += lease.StepInterval
		c.step("b")
	}
	assert.Assert(t, c.lending("b"))
}

// Guards against a data centre whose only node cannot become holder again after
// a restart.
func TestSingleNodeRestarts(t *testing.T) {
	c := newCluster(t, "a")
	c.step("a")
	c.start("a")
	for range 20 {
		c.now += lease.StepInterval
		c.step("a")
	}
	assert.Assert(t, c.lending("a"))
}

func ExampleElector() {
	c := newCluster(nil, "node-1")
	m := member{c, "node-1"}
	e := lease.New(lease.Config{Node: "node-1", Incarnation: 1, DataCentre: "dudley", Table: m, MemberClient: m})
	e.Step(context.Background()) // Run does this until its context ends
	fmt.Println(e.Status().Lending)
	// Output: true
}
