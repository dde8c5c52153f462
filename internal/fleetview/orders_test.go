package fleetview_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/fleetview"
	"github.com/dotterelseam/dotterelseam/store"
)

// TestMembersInEveryOrder plays each order of exhaustiveSteps steps, and randomOrders longer
// ones.
const (
	exhaustiveSteps = 4
	randomSteps     = 12
	randomOrders    = 6_000
	randomSeed      = 50
)

// nodes of the model; c joins later than the others.
var nodes = []string{"a", "b", "c"}

// steps are what can happen to the nodes and their store.
var steps = []struct {
	name string
	do   func(*fleetModel)
}{
	{"a reads", func(m *fleetModel) { m.read("a") }},
	{"b reads", func(m *fleetModel) { m.read("b") }},
	{"c reads", func(m *fleetModel) { m.read("c") }},
	{"a writes", func(m *fleetModel) { m.write("a") }},
	{"c writes", func(m *fleetModel) { m.write("c") }},
	{"c joins", func(m *fleetModel) { m.start("c") }},
	{"a is killed and starts", func(m *fleetModel) { m.start("a") }},
	{"c is killed and starts", func(m *fleetModel) { m.restart("c") }},
	{"a is cut off or back", func(m *fleetModel) { m.cut["a"] = !m.cut["a"] }},
	{"c is cut off or back", func(m *fleetModel) { m.cut["c"] = !m.cut["c"] }},
	{"copy", func(m *fleetModel) { m.copied = m.rows.clone() }},
	{"restore", (*fleetModel).restore},
	{"b ends its recovery", func(m *fleetModel) { m.endRecovery("b") }},
}

// tableModel is the content of the store.
type tableModel struct {
	rows     map[string]store.Row // by node
	revision uint64
}

func (t tableModel) clone() tableModel {
	rows := make(map[string]store.Row, len(t.rows))
	for node, row := range t.rows {
		rows[node] = row
	}
	return tableModel{rows, t.revision}
}

// process is the process of a node.
type process struct {
	view    *fleetview.View
	unsaved bool // the row has to be written
	read    bool // all rows were read once
}

// fleetModel is a fleet whose nodes decide with the product's code.
type fleetModel struct {
	now       time.Time
	rows      tableModel
	copied    tableModel
	era       store.Era
	processes map[string]*process // that run
	cut       map[string]bool     // nodes that do not reach the store
	problem   string
}

func newFleetModel() *fleetModel {
	m := &fleetModel{
		now: time.Now(), rows: tableModel{rows: map[string]store.Row{}}, era: store.FirstEra,
		processes: map[string]*process{}, cut: map[string]bool{},
	}
	m.start("a")
	m.start("b")
	m.read("a")
	m.copied = m.rows.clone()
	return m
}

// start ends the process of a node and starts the next one, which reads all rows, asks the
// other nodes if the store has come back from a copy, and writes its row.
func (m *fleetModel) start(node string) {
	p := &process{view: fleetview.New(node, logr.Discard()), unsaved: true}
	p.view.SetOwn(balancer.Endpoint{Node: node, PeerAddress: node + ":1", Service: "shop", State: balancer.Serving})
	m.processes[node] = p
	m.read(node)
	m.write(node)
}

func (m *fleetModel) restart(node string) {
	if m.processes[node] != nil {
		m.start(node)
	}
}

// read lets a node read all rows.
func (m *fleetModel) read(node string) {
	p := m.processes[node]
	if p == nil || m.cut[node] {
		return
	}
	snapshot := store.Changes{Position: store.Position{Era: m.era, Revision: m.rows.revision}}
	for _, row := range m.rows.rows {
		row.Era = m.era
		snapshot.Rows = append(snapshot.Rows, row)
	}
	if p.view.ApplySnapshot(snapshot, m.now) {
		p.unsaved = true
	}
	if m.era.IsLater() && !p.read {
		for other, q := range m.processes {
			if other != node && q.read {
				known := q.view.Known(m.now)
				p.view.ApplyKnown(&known)
			}
		}
	}
	p.read = true
}

// write lets a node write its row if it has to.
func (m *fleetModel) write(node string) {
	p := m.processes[node]
	if p == nil || m.cut[node] || !p.unsaved {
		return
	}
	e := balancer.Endpoint{Node: node, PeerAddress: node + ":1", Service: "shop", State: balancer.Serving}
	row := fleetview.NewRow(e, edge.Departures{}, m.era)
	value, err := cbor.Marshal(&row)
	if err != nil {
		panic(err) // a row always marshals
	}
	m.rows.revision++
	m.rows.rows[node] = store.Row{Key: fleetview.RowPrefix + node, Revision: m.rows.revision, Value: value}
	p.view.NoteWritten(m.era)
	p.unsaved = false
}

func (m *fleetModel) restore() {
	m.rows = m.copied.clone()
	m.era++
}

func (m *fleetModel) endRecovery(node string) {
	if !m.cut[node] {
		m.processes[node].view.EndRecovery()
	}
}

// members returns the nodes among which a node divides the limits.
func (m *fleetModel) members(node string) []string {
	endpoints, _ := m.processes[node].view.Fleet()
	var names []string
	for _, e := range endpoints {
		names = append(names, e.Node)
	}
	slices.Sort(names)
	return names
}

// running returns the nodes that run, in order.
func (m *fleetModel) running() []string {
	var names []string
	for _, node := range nodes {
		if m.processes[node] != nil {
			names = append(names, node)
		}
	}
	return names
}

// step plays one step. No process may forget a node that runs.
func (m *fleetModel) step(do func(*fleetModel)) {
	type belief struct {
		process *process
		members []string
	}
	before := map[string]belief{}
	for _, node := range m.running() {
		before[node] = belief{m.processes[node], m.members(node)}
	}
	do(m)
	for node, b := range before {
		if m.processes[node] != b.process {
			continue
		}
		now := m.members(node)
		for _, other := range b.members {
			if !slices.Contains(now, other) {
				m.problem = node + " forgets " + other
			}
		}
	}
}

// settle lets all nodes reach the store, read and write until nothing changes any more. They
// then divide the limits among the same nodes, and send requests to all that run.
func (m *fleetModel) settle() {
	clear(m.cut)
	for _, node := range m.running() {
		m.read(node)
		m.write(node)
	}
	for _, node := range m.running() {
		m.read(node)
		m.endRecovery(node)
	}
	for _, node := range m.running() {
		_, byService := m.processes[node].view.Fleet()
		if !slices.Equal(m.members(node), m.running()) {
			m.problem = node + " divides the limits among other nodes than run"
		}
		if len(byService["shop"]) != len(m.running()) {
			m.problem = node + " sends requests to other nodes than run"
		}
	}
}

// requireMembers plays an order and fails the test if it ends with a problem.
func requireMembers(t *testing.T, order []int) {
	t.Helper()
	m := newFleetModel()
	for _, step := range order {
		m.now = m.now.Add(time.Second)
		m.step(steps[step].do)
	}
	m.settle()
	if m.problem != "" {
		var names []string
		for _, step := range order {
			names = append(names, steps[step].name)
		}
		t.Fatalf("%s: %q", m.problem, names)
	}
}

// Guards against an order of copies, restores, kills, cuts and new nodes after which nodes divide
// the limits of workspaces among different nodes, or in which one forgets another that runs.
func TestMembersInEveryOrder(t *testing.T) {
	order := make([]int, exhaustiveSteps)
	orders := 1
	for range order {
		orders *= len(steps)
	}
	for number := range orders {
		for i := range order {
			order[i] = number % len(steps)
			number /= len(steps)
		}
		requireMembers(t, order)
	}
	random := rand.New(rand.NewPCG(randomSeed, 0))
	order = make([]int, randomSteps)
	for range randomOrders {
		for i := range order {
			order[i] = random.IntN(len(steps))
		}
		requireMembers(t, order)
	}
	t.Logf("%d orders of %d steps, %d of %d", orders, exhaustiveSteps, randomOrders, randomSteps)
}
