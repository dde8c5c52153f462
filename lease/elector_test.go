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

// world is one data centre with a table, in virtual time.
type world struct {
	t     *testing.T
	now   time.Duration
	row   store.Row
	down  map[string]bool // nodes that do not reach the platform
	lose  string          // what happens to the next write: "before", "after" or "late"
	late  func()
	nodes []string
	views map[string][]string // what a node believes the members are
	cut   map[string]bool     // nodes that no message reaches
	// fencesLost drops the queries that fence, but no others.
	fencesLost bool
	keepers    map[string]*lease.Elector
	inc        uint64
}

type member struct {
	w  *world
	id string
}

func (m member) Now() time.Duration { return m.w.now }

func (m member) Members() []string {
	if v, ok := m.w.views[m.id]; ok {
		return v
	}
	return m.w.nodes
}

func (m member) Ask(_ context.Context, nodes []string, q lease.Query) map[string]lease.Answer {
	out := map[string]lease.Answer{}
	for _, n := range nodes {
		if k := m.w.keepers[n]; k != nil && !(q.Fence && m.w.fencesLost) && !m.w.cut[n] && !m.w.cut[m.id] {
			out[n] = k.HandleQuery(q)
		}
	}
	return out
}

func (m member) Get(context.Context, string) (store.Row, error) {
	if m.w.down[m.id] {
		return store.Row{}, store.ErrUnavailable.New("down")
	}
	if m.w.row.Version == 0 {
		return store.Row{}, store.ErrNotFound.New("row")
	}
	return m.w.row, nil
}

func (m member) List(context.Context, string, uint64) ([]store.Row, error) { return nil, nil }

func (m member) Put(_ context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	w := m.w
	if w.down[m.id] {
		return 0, store.ErrUnavailable.New("down")
	}
	apply := func() bool {
		if w.row.Version != ifVersion {
			return false
		}
		w.row = store.Row{Key: key, Version: ifVersion + 1, Value: slices.Clone(value)}
		return true
	}
	lose := w.lose
	w.lose = ""
	switch lose {
	case "before":
		return 0, store.ErrUnknownOutcome.New("lost")
	case "late":
		w.late = func() { apply() }
		return 0, store.ErrUnknownOutcome.New("lost")
	}
	if !apply() {
		return 0, store.ErrConflict.New("row")
	}
	if lose == "after" {
		return 0, store.ErrUnknownOutcome.New("lost")
	}
	return ifVersion + 1, nil
}

func newWorld(t *testing.T, nodes ...string) *world {
	w := &world{t: t, now: time.Hour, nodes: nodes, down: map[string]bool{}, views: map[string][]string{},
		cut: map[string]bool{}, keepers: map[string]*lease.Elector{}}
	for _, n := range nodes {
		w.start(n)
	}
	return w
}

func (w *world) start(id string) *lease.Elector {
	w.inc++
	m := member{w, id}
	w.keepers[id] = lease.New(lease.Config{Node: id, Incarnation: w.inc, DataCentre: "dudley", Table: m, MemberClient: m, Clock: m})
	return w.keepers[id]
}

func (w *world) step(ids ...string) {
	for _, id := range ids {
		w.keepers[id].Step(context.Background())
	}
}

func (w *world) lending(id string) bool { return w.keepers[id].Status().Lending }

// hear makes the nodes exchange a report with the holder: they hear it, and it
// learns that they did.
func (w *world) hear(holder string, ids ...string) {
	for _, id := range ids {
		epoch := w.keepers[holder].Status().Epoch
		w.keepers[id].ObserveEpoch(epoch, holder)
		w.keepers[id].ObserveHolder(epoch)
		if w.keepers[id].MayEcho(epoch) {
			w.keepers[holder].RecordEcho(id, epoch, w.now)
		}
	}
}

// settled returns a world in which a is the holder and everybody has read the row.
func settled(t *testing.T) *world {
	w := newWorld(t, "a", "b", "c")
	w.step("a", "b", "c", "a")
	w.hear("a", "b", "c")
	assert.Assert(t, w.lending("a"))
	assert.Assert(t, !w.lending("b") && !w.lending("c"))
	return w
}

// Guards against a first holder that waits for leases that nobody can have.
func TestFirstHolderLendsAtOnce(t *testing.T) {
	w := newWorld(t, "a")
	w.step("a")
	assert.Assert(t, w.lending("a"))
	assert.Assert(t, w.keepers["a"].Status().LoansAllowed)
}

// Guards against a holder that goes on lending without platform and majority,
// or that stops although it has one of them.
func TestHolderStaysInOfficeOnlyWithContact(t *testing.T) {
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
			w := settled(t)
			w.down["a"] = !tc.platform
			for range 10 {
				w.now += lease.StepInterval
				w.step("a")
				w.hear("a", tc.heard...)
			}
			assert.Equal(t, w.lending("a"), tc.lending)
		})
	}
}

// Guards against one-way contact: a member's message proves that the member
// heard the holder only as of the answer that it echoes.
func TestContactCountsFromTheEchoedAnswer(t *testing.T) {
	w := settled(t)
	w.down["a"] = true
	w.now += lease.FenceTime + time.Second
	w.keepers["a"].RecordEcho("b", 1, w.now-lease.FenceTime)
	assert.Assert(t, !w.lending("a"))
}

// Guards against two holders at a takeover, whatever the old one still hears.
func TestTakeoverFencesAndWaits(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(w *world)
		fence bool // whether the successor ever lends
	}{
		{"holder dead", func(w *world) { w.cut["a"] = true }, true},
		{"answer to the write lost", func(w *world) { w.cut["a"] = true; w.lose = "after" }, true},
		{"write lost", func(w *world) { w.cut["a"] = true; w.lose = "before" }, true},
		{"successor believes that it is alone", func(w *world) { w.cut["a"] = true; w.views["b"] = []string{"b"} }, true},
		{"majority lost", func(w *world) { w.cut["a"], w.cut["c"] = true, true }, false},
		{"majority lost, and the successor believes that it is alone", func(w *world) {
			w.cut["a"], w.cut["c"] = true, true
			w.views["b"] = []string{"b"}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := settled(t)
			w.now += lease.FenceTime
			tc.setup(w)
			w.step("b")
			w.step("b") // after an unknown outcome the row is read again
			begin := w.now
			for w.now < begin+lease.TakeoverWait-time.Millisecond {
				assert.Assert(t, !w.lending("b"), "lends %s after the takeover", w.now-begin)
				w.now += 100 * time.Millisecond
				w.step("b")
			}
			w.now += 200 * time.Millisecond
			w.step("b")
			assert.Equal(t, w.lending("b"), tc.fence)
			assert.Assert(t, !w.keepers["b"].Status().LoansAllowed, "an earlier holder's loans may still run")
			w.now += lease.LoanWait
			w.step("b")
			assert.Equal(t, w.keepers["b"].Status().LoansAllowed, tc.fence)
		})
	}
}

// Guards against members that keep the old holder in office after the new one
// counts them as fenced, also after a restart.
func TestFencedMembersDoNotWitness(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%v", restart), func(t *testing.T) {
			w := settled(t)
			w.down["a"], w.cut["a"] = true, true // a learns of b from nobody
			w.now += lease.FenceTime
			w.step("b") // takes over and fences c
			w.hear("a", "c")
			if restart {
				w.start("c")
				w.down["c"], w.cut["c"] = true, true // it learns of no epoch but the one it is told
				w.step("c")
			}
			for range 12 {
				w.now += lease.StepInterval
				w.hear("a", "c")
				w.step("b", "c")
			}
			assert.Assert(t, w.lending("b"))
			assert.Assert(t, !w.lending("a"))
		})
	}
}

// Guards against a second successor that overlooks the witnesses of a holder
// whom the first successor never fenced.
func TestUnfencedSetsAreInherited(t *testing.T) {
	w := settled(t)
	w.now += lease.FenceTime
	w.views["b"] = []string{"b"}
	w.fencesLost = true
	w.step("b") // b's own witness set is {b}, and it does not get through to c with the fence
	w.start("b")
	for range 30 {
		w.now += lease.StepInterval
		w.step("b")
	}
	assert.Equal(t, w.keepers["b"].Status().Epoch, uint64(3))
	assert.Assert(t, !w.lending("b"), "no majority of a's witnesses is fenced")
	w.fencesLost = false
	for range 30 {
		w.now += lease.StepInterval
		w.step("b")
	}
	assert.Assert(t, w.lending("b"))
}

// Guards against relying on one of two witness sets while it is unknown which
// of them the row holds, also if the write takes effect late.
func TestUnknownWitnessUpdateNeedsBothMajorities(t *testing.T) {
	w := settled(t)
	w.nodes = []string{"a", "d", "e"}
	w.start("d")
	w.start("e")
	w.step("d", "e")
	w.hear("a", "d", "e")
	w.lose = "late"
	w.now += lease.StepInterval
	w.step("a")
	w.down["a"] = true
	w.late()
	for range 6 {
		w.now += lease.StepInterval
		w.hear("a", "b", "c") // a majority of the old set only
	}
	assert.Assert(t, !w.lending("a"))
	w.hear("a", "d", "e")
	assert.Assert(t, w.lending("a"))
}

// Guards against a planned stop that loses the entitlement for the time of a
// takeover, or that starts a successor without the state.
func TestPlannedStop(t *testing.T) {
	for _, tc := range []struct {
		name     string
		handover bool
		received bool
		lose     string
		wait     time.Duration
	}{
		{"handed over", true, true, "", 0},
		{"handed over, answer to the write lost", true, true, "after", 0},
		{"handed over without the state", true, false, "", lease.TakeoverWait},
		{"released", false, false, "", lease.NodeLease + lease.GuardTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := settled(t)
			a, b := w.keepers["a"], w.keepers["b"]
			a.Stop()
			assert.Assert(t, !w.lending("a"))
			if tc.received {
				b.ReceiveHandover("h1")
			}
			w.lose = tc.lose
			if tc.handover {
				assert.NilError(t, a.HandOver(context.Background(), "b", 2, "h1"))
			} else {
				assert.NilError(t, a.Release(context.Background()))
			}
			w.now += lease.FenceTime // b notices that it hears nothing
			w.step("b")
			if tc.wait > 0 {
				assert.Assert(t, !w.lending("b"))
				w.now += tc.wait
				w.step("b")
			}
			assert.Assert(t, w.lending("b"))
			assert.Equal(t, b.Status().HandedOver, tc.received)
		})
	}
}

// Guards against a data centre that can never lend again after the loss of a
// majority of its witnesses.
func TestRetire(t *testing.T) {
	w := settled(t)
	w.cut["a"], w.cut["c"] = true, true
	w.nodes = []string{"b"}
	assert.NilError(t, lease.Retire(context.Background(), member{w, "operator"}, "dudley", []string{"a", "c"}))
	for range 20 {
		w.now += lease.StepInterval
		w.step("b")
	}
	assert.Assert(t, w.lending("b"))
}

// Guards against a data centre whose only node cannot take its own row again.
func TestSingleNodeRestarts(t *testing.T) {
	w := newWorld(t, "a")
	w.step("a")
	w.start("a")
	for range 20 {
		w.now += lease.StepInterval
		w.step("a")
	}
	assert.Assert(t, w.lending("a"))
}

func ExampleElector() {
	w := newWorld(nil, "node-1")
	m := member{w, "node-1"}
	k := lease.New(lease.Config{Node: "node-1", Incarnation: 1, DataCentre: "dudley", Table: m, MemberClient: m})
	k.Step(context.Background()) // Run does this until its context ends
	fmt.Println(k.Status().Lending)
	// Output: true
}
