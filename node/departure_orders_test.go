package node

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/fleetview"
	"github.com/dotterelseam/dotterelseam/store"
)

// TestDepartureInEveryOrder plays each order of exhaustiveSteps of the first steps, of
// exhaustiveWithRestores of all, and randomOrders longer ones of each.
const (
	exhaustiveSteps        = 5
	exhaustiveWithRestores = 4
	randomSteps            = 14
	randomOrders           = 50_000
	randomSeed             = 44
)

// steps are what can happen to a backend server, the node beside it and the store.
var steps = []struct {
	name string
	do   func(*orderModel)
}{
	{"announce", (*orderModel).announce},
	{"send late", (*orderModel).sendLate},
	{"late arrives", (*orderModel).deliverLate},
	{"drain", func(m *orderModel) {
		m.leave(func(ctx context.Context) error { return m.node.Announce(ctx, m.next("draining")) })
	}},
	{"withdraw", func(m *orderModel) { m.leave(func(ctx context.Context) error { return m.node.Withdraw(ctx, "i1", 0) }) }},
	{"withdraw, store back", (*orderModel).withdrawUntilStoreIsBack},
	{"new start", func(m *orderModel) { m.started, m.sequence, m.left = m.now.UnixMilli(), 0, false }},
	{"restart node", (*orderModel).restart},
	{"store away or back", func(m *orderModel) { m.setStore(!m.away) }},
	{"recall times out", (*orderModel).timeOut},
	{"copy", func(m *orderModel) { m.copied, m.copiedRevision = m.stored, m.revision }},
	{"restore", (*orderModel).restore},
	{"restore, restart node", func(m *orderModel) { m.restore(); m.restart() }},
	{"node reads store", (*orderModel).readStore},
	{"other node reads store", (*orderModel).readStoreElsewhere},
	{"restart other node", func(m *orderModel) { m.other = fleetview.New("n2", logr.Discard()); m.readStoreElsewhere() }},
}

// stepsWithoutRestores are the first steps, in which the store loses nothing.
const stepsWithoutRestores = 10

// orderModel is one backend server with a node whose decisions are those of the product. The
// store has the row of the node, and loses what was written since a copy in a restore. Another
// node reads it, and is told of departures.
type orderModel struct {
	now  time.Time
	node *Node
	kept edge.Departures // what the node has to store
	away bool            // the store

	stored, copied           *fleetview.Row // row of the node; nil: none
	revision, copiedRevision uint64
	era                      store.Era
	written                  store.Era // in which this process of the node has last read or written its row
	recall                   fleetview.Recall
	own, other               *fleetview.View // of this process of the node, and of the other node

	started      int64 // of the server
	sequence     uint64
	left         bool           // the server has said so
	acknowledged map[int64]bool // starts whose leaving was acknowledged
	late         []lateAnnouncement
	problem      string
}

type lateAnnouncement struct {
	edge.Announcement
	sent time.Time
}

func newOrderModel() *orderModel {
	m := &orderModel{now: time.Now(), acknowledged: map[int64]bool{}, era: store.FirstEra, other: fleetview.New("n2", logr.Discard())}
	m.started = m.now.UnixMilli()
	m.restart()
	m.announce()
	m.writeRow()
	m.readStoreElsewhere()
	m.copied, m.copiedRevision = m.stored, m.revision
	return m
}

// Recall, Remember and Flush implement BackendStore.
func (m *orderModel) Recall(context.Context) (edge.Departures, error) {
	if !m.recall.Complete() {
		return edge.Departures{}, context.Canceled
	}
	return m.recall.Departures(), nil
}

func (m *orderModel) Remember(d edge.Departures) { m.kept = d }

func (m *orderModel) Flush(context.Context) error {
	if m.away {
		return context.Canceled
	}
	m.other.NoteDepartures("n1", m.kept)
	m.writeRow()
	return nil
}

// writeRow lets the node write its row in the era of the store.
func (m *orderModel) writeRow() {
	if m.stored != nil {
		m.recall.NoteStored(m.stored, m.era) // a row is read before it is replaced
	}
	row := fleetview.NewRow(balancer.Endpoint{Node: "n1", PeerAddress: "n1:1", Service: "shop"}, m.recall.Departures().Merge(m.kept), m.era)
	m.revision++
	m.stored, m.written = &row, m.era
}

// restore lets the store come back from the copy.
func (m *orderModel) restore() {
	m.stored, m.revision = m.copied, m.copiedRevision
	m.era++
}

// readStore lets the node read its row. It learns what an earlier process has stored, and
// writes the row again if the store has come back from a copy.
func (m *orderModel) readStore() {
	if m.away {
		return
	}
	if m.written != 0 && m.written < m.era {
		m.writeRow()
	}
	m.own.ApplySnapshot(m.snapshot(), m.now)
	m.noteAll(&m.recall)
	if m.recall.Complete() {
		m.node.recall(context.Background())
	}
}

// noteAll records what the store and both nodes say.
func (m *orderModel) noteAll(recall *fleetview.Recall) {
	recall.NoteStored(m.stored, m.era)
	if !recall.Complete() {
		recall.NoteAnswers([]fleetview.Known{m.other.Known(m.now), m.own.Known(m.now)}, "n1")
	}
}

// readStoreElsewhere lets the other node read all rows.
func (m *orderModel) readStoreElsewhere() {
	if !m.away {
		m.other.ApplySnapshot(m.snapshot(), m.now)
	}
}

// snapshot returns all rows of the store.
func (m *orderModel) snapshot() store.Changes {
	snapshot := store.Changes{Position: store.Position{Era: m.era, Revision: m.revision}}
	if m.stored != nil {
		value, err := cbor.Marshal(m.stored)
		if err != nil {
			panic(err) // a row always marshals
		}
		snapshot.Rows = []store.Row{{Key: fleetview.RowPrefix + "n1", Revision: m.revision, Era: m.era, Value: value}}
	}
	return snapshot
}

// Endpoints, Watch and Announce implement Directory.
func (m *orderModel) Endpoints(string) []balancer.Endpoint { return nil }
func (m *orderModel) Watch(func(string))                   {}
func (m *orderModel) Announce(*balancer.Endpoint)          {}

// restart ends the process of the node and starts the next one.
func (m *orderModel) restart() {
	m.kept, m.recall, m.written = edge.Departures{}, fleetview.Recall{}, 0
	m.own = fleetview.New("n1", logr.Discard())
	n := &Node{store: m, log: newEventLog(logr.Discard(), func() time.Time { return m.now })}
	n.cfg = Config{Directory: m, Clock: func() time.Time { return m.now }, AnnouncementLifetime: time.Hour}
	n.recalled.done = make(chan struct{})
	n.backend.lifetime, n.backend.epoch = time.Hour, m.now
	m.node = n
	m.setStore(m.away)
}

// setStore takes the store away or brings it back, when the node learns what is stored.
func (m *orderModel) setStore(away bool) {
	m.away = away
	m.readStore()
}

// timeOut lets the recall time out. What was sent before the node started and arrives after
// that is later than an announcement may be.
func (m *orderModel) timeOut() {
	m.late = nil
	m.node.applyRecalled(m.recall.Departures())
	m.node.recalled.open(m.node.applyHeldDrain)
}

func (m *orderModel) next(state string) edge.Announcement {
	m.sequence++
	return announcement(m.started, m.sequence, state)
}

// announce lets the server announce that it serves. One that has left says nothing more.
func (m *orderModel) announce() {
	if m.left {
		return
	}
	if m.node.Announce(canceledContext(), m.next("serving")) == nil && !m.used(m.started) {
		m.problem = "a server that lives is not used"
	}
}

func (m *orderModel) sendLate() {
	if !m.left {
		m.late = append(m.late, lateAnnouncement{m.next("serving"), m.now})
	}
}

func (m *orderModel) deliverLate() {
	if len(m.late) == 0 {
		return
	}
	a := m.late[0]
	m.late = m.late[1:]
	if m.era.IsLater() && m.now.Sub(a.sent) > edge.MaxAnnouncementDelay {
		return // that a restore was so long ago is a reason to apply announcements
	}
	_ = m.node.Announce(canceledContext(), a.Announcement) // nobody waits for the answer
}

func (m *orderModel) leave(call func(context.Context) error) {
	m.left = true
	ctx := context.Background()
	if !m.node.recalled.isOpen() {
		ctx = canceledContext() // nothing opens it while the call waits
	}
	if call(ctx) == nil {
		m.acknowledged[m.started] = true
	}
}

// withdrawUntilStoreIsBack plays a call that waits while the store comes back.
func (m *orderModel) withdrawUntilStoreIsBack() {
	if m.node.recalled.isOpen() {
		m.setStore(false)
		m.leave(func(ctx context.Context) error { return m.node.Withdraw(ctx, "i1", 0) })
		return
	}
	m.left = true
	if !m.opensWithStore() {
		return
	}
	ctx, done := newWaitingContext(), make(chan error, 1)
	go func() { done <- m.node.Withdraw(ctx, "i1", 0) }()
	<-ctx.waiting
	m.setStore(false)
	if <-done == nil {
		m.acknowledged[m.started] = true
	}
}

// opensWithStore reports whether the node applies announcements as soon as the store is back.
func (m *orderModel) opensWithStore() bool {
	recall := m.recall
	m.noteAll(&recall)
	return recall.Complete()
}

func (m *orderModel) used(started int64) bool {
	b, _ := m.node.backend.usable("shop", m.now)
	return b != nil && b.Started == started
}

// play plays one order and returns what went wrong, or "".
func play(order []int) string {
	m := newOrderModel()
	for _, step := range order {
		m.now = m.now.Add(time.Second)
		steps[step].do(m)
		for started := range m.acknowledged {
			if m.used(started) {
				m.problem = "a server is used after its leaving was acknowledged"
			}
		}
		if m.problem != "" {
			return m.problem
		}
	}
	return ""
}

// requireHeld fails the test if the order ends with a problem.
func requireHeld(t *testing.T, order []int) {
	t.Helper()
	if problem := play(order); problem != "" {
		var names []string
		for _, step := range order {
			names = append(names, steps[step].name)
		}
		t.Fatalf("%s: %q", problem, names)
	}
}

// Guards against an order of announcements, departures, restarts and outages of the store in
// which a backend server is used after its leaving was acknowledged, or a living one is not.
func TestDepartureInEveryOrder(t *testing.T) {
	playAll(t, stepsWithoutRestores, exhaustiveSteps)
	playAll(t, len(steps), exhaustiveWithRestores)
	playRandom(t, stepsWithoutRestores)
	playRandom(t, len(steps))
}

// playAll plays each order of length steps out of the first ones.
func playAll(t *testing.T, first, length int) {
	t.Helper()
	orders := int(math.Pow(float64(first), float64(length)))
	order := make([]int, length)
	for number := range orders {
		for i := range order {
			order[i] = number % first
			number /= first
		}
		requireHeld(t, order)
	}
	t.Logf("%d orders of %d steps", orders, length)
}

// playRandom plays random orders of the first steps.
func playRandom(t *testing.T, first int) {
	t.Helper()
	random := rand.New(rand.NewPCG(randomSeed, 0))
	order := make([]int, randomSteps)
	for range randomOrders {
		for i := range order {
			order[i] = random.IntN(first)
		}
		requireHeld(t, order)
	}
	t.Logf("%d orders of %d steps", randomOrders, randomSteps)
}
