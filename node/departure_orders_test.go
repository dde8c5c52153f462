package node

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
)

// TestDepartureInEveryOrder plays each order of exhaustiveSteps steps, and randomOrders
// longer ones.
const (
	exhaustiveSteps = 5
	randomSteps     = 14
	randomOrders    = 50_000
	randomSeed      = 44
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
}

// orderModel is one backend server with a node whose decisions are those of the product. The
// store keeps what the node has remembered if it is not away.
type orderModel struct {
	now          time.Time
	node         *Node
	stored, kept edge.Departures
	away         bool

	started      int64 // of the server
	sequence     uint64
	left         bool           // the server has said so
	acknowledged map[int64]bool // starts whose leaving was acknowledged
	late         []edge.Announcement
	problem      string
}

func newOrderModel() *orderModel {
	m := &orderModel{now: time.Now(), acknowledged: map[int64]bool{}}
	m.started = m.now.UnixMilli()
	m.restart()
	m.announce()
	return m
}

// Recall, Remember and Flush implement BackendStore.
func (m *orderModel) Recall(context.Context) (edge.Departures, error) {
	if m.away {
		return edge.Departures{}, context.Canceled
	}
	return m.stored, nil
}

func (m *orderModel) Remember(d edge.Departures) { m.kept = d }

func (m *orderModel) Flush(context.Context) error {
	if m.away {
		return context.Canceled
	}
	m.stored = m.kept
	return nil
}

// Endpoints, Watch and Announce implement Directory.
func (m *orderModel) Endpoints(string) []balancer.Endpoint { return nil }
func (m *orderModel) Watch(func(string))                   {}
func (m *orderModel) Announce(*balancer.Endpoint)          {}

// restart ends the process of the node and starts the next one.
func (m *orderModel) restart() {
	m.kept = edge.Departures{}
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
	if !away {
		m.node.recall(context.Background())
	}
}

// timeOut lets the recall time out. What was sent before the node started and arrives after
// that is later than an announcement may be.
func (m *orderModel) timeOut() {
	m.late = nil
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
		m.late = append(m.late, m.next("serving"))
	}
}

func (m *orderModel) deliverLate() {
	if len(m.late) == 0 {
		return
	}
	a := m.late[0]
	m.late = m.late[1:]
	_ = m.node.Announce(canceledContext(), a) // nobody waits for the answer
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
	ctx, done := newWaitingContext(), make(chan error, 1)
	go func() { done <- m.node.Withdraw(ctx, "i1", 0) }()
	<-ctx.waiting
	m.setStore(false)
	if <-done == nil {
		m.acknowledged[m.started] = true
	}
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
	orders := int(math.Pow(float64(len(steps)), exhaustiveSteps))
	order := make([]int, exhaustiveSteps)
	for number := range orders {
		for i := range order {
			order[i] = number % len(steps)
			number /= len(steps)
		}
		requireHeld(t, order)
	}
	random := rand.New(rand.NewPCG(randomSeed, 0))
	order = make([]int, randomSteps)
	for range randomOrders {
		for i := range order {
			order[i] = random.IntN(len(steps))
		}
		requireHeld(t, order)
	}
	t.Logf("%d orders of %d steps, %d of %d", orders, exhaustiveSteps, randomOrders, randomSteps)
}
