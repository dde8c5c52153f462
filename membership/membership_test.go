package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/peer"
)

// fakeMesh is a mesh on which only the calls listed in answers succeed.
type fakeMesh struct {
	id       peer.Identity
	answers  map[string]any // reply or error by "node kind"
	handlers map[string]peer.Handler
}

func (m *fakeMesh) Identity() peer.Identity                { return m.id }
func (m *fakeMesh) Handle(kind string, h peer.Handler)     { m.handlers[kind] = h }
func (m *fakeMesh) SetResolve(func(string) (string, bool)) {}

func (m *fakeMesh) Call(_ context.Context, node, kind string, _, resp any) error {
	reply, ok := m.answers[node+" "+kind]
	if !ok {
		return peer.ErrUnreachable.New("%s", node)
	}
	if err, failed := reply.(error); failed {
		return err
	}
	b, err := cbor.Marshal(reply)
	if err != nil || resp == nil {
		return err
	}
	return peer.Unmarshal(b, resp)
}

func (m *fakeMesh) CallAddress(ctx context.Context, addr, kind string, req, resp any) (peer.Identity, error) {
	return peer.Identity{}, m.Call(ctx, addr, kind, req, resp)
}

func (m *fakeMesh) Send(ctx context.Context, node, kind string, msg any) error {
	return m.Call(ctx, node, kind, msg, nil)
}

type fixture struct {
	*Membership
	mesh  *fakeMesh
	store *gossip.Store
	now   time.Time
}

// newFixture returns the membership of node "self" with live members.
func newFixture(members ...string) *fixture {
	f := &fixture{
		mesh: &fakeMesh{
			id:      peer.Identity{Node: "self", Incarnation: 100, DataCentre: "dudley"},
			answers: map[string]any{}, handlers: map[string]peer.Handler{},
		},
		now: time.Unix(1_000_000, 0),
	}
	clock := func() time.Time { return f.now }
	f.store = gossip.New(gossip.Config{Transport: f.mesh, Now: clock})
	f.Membership = New(Config{Mesh: f.mesh, Store: f.store, Region: "midlands", PeerAddress: "self:1", Now: clock})
	for _, id := range members {
		f.set(id, 10, nodeValue{Incarnation: 9, PeerAddress: id + ":1", Endpoint: &endpointValue{Service: "stockroom", Slots: 5}})
	}
	return f
}

func (f *fixture) set(id string, version uint64, v nodeValue) {
	f.store.Set(nodePrefix+id, version, mustMarshal(v))
}

// Guards against probing that stops at dead successors and so never probes the
// nodes behind them, and against declaring a node dead before maxMissedProbes
// consecutive misses.
func TestRing(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "f"}
	r := &ring{misses: map[string]int{}}
	first := r.targets("dudley", "self", nodes)
	assert.Equal(t, len(first), successorCount)
	for i := 1; i <= maxMissedProbes; i++ {
		for _, id := range first {
			assert.Equal(t, r.recordProbe(id, false), i == maxMissedProbes)
		}
	}
	more := r.targets("dudley", "self", nodes)
	assert.Equal(t, len(more), 2*successorCount, "the probes must reach two nodes behind the two that do not answer")
	assert.Assert(t, !r.recordProbe(first[0], true))
	assert.Assert(t, !r.recordProbe(first[0], false), "misses must be consecutive")

	// Every node is probed by successorCount others.
	probers := map[string]int{}
	for i, self := range nodes {
		others := slices.Delete(slices.Clone(nodes), i, i+1)
		fresh := &ring{misses: map[string]int{}}
		for _, id := range fresh.targets("dudley", self, others) {
			probers[id]++
		}
	}
	for _, id := range nodes {
		assert.Equal(t, probers[id], successorCount, id)
	}
}

// Guards against marking a live node dead because one other node cannot reach
// it, and against not marking a node that no member reaches.
func TestProbeDecision(t *testing.T) {
	for name, tc := range map[string]struct {
		answers map[string]any
		dead    bool
	}{
		"no node reaches it":                   {map[string]any{"b ProbeFor": probeForReply{false}}, true},
		"another node reaches it":              {map[string]any{"b ProbeFor": probeForReply{true}}, false},
		"it answers":                           {map[string]any{"a Probe": probeMessage{}}, false},
		"it replies that it is busy":           {map[string]any{"a Probe": peer.ErrBusy.Wrap(peer.ErrRemote.New("busy"))}, false},
		"no other node answers":                {nil, true},
		"the local queue to it is full":        {map[string]any{"a Probe": peer.ErrBusy.New("full")}, true},
		"the other node replies with an error": {map[string]any{"b ProbeFor": peer.ErrRemote.New("x")}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture("a", "b")
			f.mesh.answers = tc.answers
			for i := range maxMissedProbes {
				assert.Equal(t, len(f.Members()), 3, "before probe %d", i)
				f.probe(context.Background(), "a")
			}
			_, known := f.Resolve("a")
			assert.Equal(t, known, !tc.dead)
			assert.Equal(t, len(f.Endpoints("stockroom")) == 1, tc.dead)
		})
	}
}

// Guards against a live node that others regard as dead for good. Its record may
// be a mark as dead by another node, the record of an earlier process, or an
// expired record with a higher version.
func TestRefutation(t *testing.T) {
	for name, mark := range map[string]func(f *fixture){
		"marked dead":                  func(f *fixture) { f.set("self", 500, nodeValue{Incarnation: 100, State: Dead}) },
		"record of an earlier process": func(f *fixture) { f.set("self", 500, nodeValue{Incarnation: 400}) },
		"expired dead record": func(f *fixture) {
			f.store.SetExpiring("node/self", 500, nil, f.now.Add(-time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture("a")
			mark(f)
			f.refute()
			r, ok := f.store.Get("node/self")
			var v nodeValue
			assert.Assert(t, ok && r.Version > 500)
			assert.NilError(t, peer.Unmarshal(r.Value, &v))
			assert.Equal(t, v.State, Alive)
			assert.Equal(t, v.Incarnation, uint64(100))
		})
	}
	f := newFixture("a")
	f.Depart(context.Background())
	f.set("self", 500, nodeValue{Incarnation: 100, State: Dead})
	assert.Assert(t, !f.refuting, "a node that departed must not refute its dead record")
}

// Guards against endpoints that are wrongly kept or removed when nodes and data
// centres change state.
func TestEndpoints(t *testing.T) {
	remote := func(f *fixture, version uint64) {
		v := dcValue{Region: "north", Gateways: []nodeRef{{ID: "r1", PeerAddress: "r1:1"}}}
		for _, id := range []string{"r1", "r2"} {
			v.Endpoints = append(v.Endpoints, remoteEndpoint{
				Node: nodeRef{ID: id, PeerAddress: id + ":1"}, Endpoint: endpointValue{Service: "stockroom", Slots: 7}, NodeLeaving: id == "r2",
			})
		}
		f.store.Set("dc/leeds", version, mustMarshal(v))
	}
	f := newFixture("a", "b")
	changes := 0
	f.Watch(func(service string) { assert.Equal(t, service, "stockroom"); changes++ })
	// states lists data centre/node/state, where 0 is starting, 1 serving and 2
	// draining.
	states := func() (out string) {
		for _, e := range f.Endpoints("stockroom") {
			out += fmt.Sprintf("%s/%s/%d ", e.DataCentre, e.Node, e.State)
		}
		return out
	}
	serving := &balancer.Endpoint{Service: "stockroom", Slots: 3, State: balancer.Serving}
	for _, step := range []struct {
		name string
		do   func()
		want string
	}{
		{"start", func() {}, "dudley/a/0 dudley/b/0 "},
		{"own backend server", func() { f.Announce(serving) }, "dudley/a/0 dudley/b/0 dudley/self/1 "},
		{"the same again", func() { f.Announce(serving) }, "dudley/a/0 dudley/b/0 dudley/self/1 "},
		{"a leaves", func() {
			f.set("a", 11, nodeValue{Incarnation: 9, State: Leaving, Endpoint: &endpointValue{Service: "stockroom", State: balancer.Serving}})
		}, "dudley/a/2 dudley/b/0 dudley/self/1 "},
		{"a departs", func() { f.set("a", 12, nodeValue{Incarnation: 9, State: Dead}) }, "dudley/b/0 dudley/self/1 "},
		{"an old record of a", func() { f.set("a", 11, nodeValue{Incarnation: 9}) }, "dudley/b/0 dudley/self/1 "},
		{"another data centre", func() { remote(f, 1) }, "dudley/b/0 dudley/self/1 leeds/r1/0 leeds/r2/2 "},
		{"no heartbeat for too long", func() { f.now = f.now.Add(contactTimeout + time.Second); f.expireContacts() }, "dudley/b/0 dudley/self/1 "},
		{"a heartbeat", func() { f.store.Set("beat/leeds", 1, mustMarshal(Heartbeat{-1})) }, "dudley/b/0 dudley/self/1 leeds/r1/0 leeds/r2/2 "},
		{"garbage", func() { f.store.Set("node/b", 99, []byte("garbage")) }, "dudley/self/1 leeds/r1/0 leeds/r2/2 "},
		{"own withdrawal", func() { f.Announce(nil) }, "leeds/r1/0 leeds/r2/2 "},
	} {
		step.do()
		assert.Equal(t, states(), step.want, step.name)
	}
	assert.Equal(t, changes, 8)
	assert.Equal(t, len(f.Gateways("leeds")), 1)
	assert.Equal(t, f.Endpoints("stockroom")[0].Region, "north")
	assert.DeepEqual(t, f.DataCentres(), []string{"dudley", "leeds"})
	f.cfg.DataCentres = func() []string { return []string{"york"} }
	f.now = f.now.Add(contactTimeout + time.Second)
	f.expireContacts()
	assert.DeepEqual(t, f.DataCentres(), []string{"dudley", "york"}) // the contact with leeds has expired
}

// Guards against gateways that stop publishing the heartbeat, that both publish
// it all the time, or that hide the platform contact of one of them.
func TestHeartbeat(t *testing.T) {
	f := newFixture("a", "b", "c")
	key := HeartbeatPrefix + "dudley"
	contact := time.Time{}
	f.cfg.PlatformContact = func() time.Time { return contact }
	for f.gatewayRank() != 1 { // remove members until this node is the second gateway
		first := f.view.Load().gateways[0]
		if f.gatewayRank() == 0 {
			t.Skip("this node has the lowest hash")
		}
		f.set(first, 50, nodeValue{State: Dead})
	}
	heartbeat := func() (b Heartbeat) {
		r, _ := f.store.Get(key)
		assert.NilError(t, peer.Unmarshal(r.Value, &b))
		return b
	}
	step := func(d time.Duration) uint64 {
		f.now = f.now.Add(d)
		f.publishHeartbeat()
		return f.store.Version(key)
	}
	v := step(0)
	assert.Assert(t, v > 0, "the first heartbeat is due at once")
	assert.Equal(t, heartbeat().PlatformAgeMS, int64(-1))
	assert.Equal(t, step(heartbeatInterval), v, "the second gateway must wait for the first")
	assert.Assert(t, step(secondGatewayDelay) > v, "the first gateway is late")

	f.store.Set(key, f.store.Version(key)+1, mustMarshal(Heartbeat{-1})) // from the first gateway
	v = f.store.Version(key)
	contact = f.now
	assert.Assert(t, step(time.Second) > v, "only this gateway reads the platform")
	assert.Equal(t, heartbeat().PlatformAgeMS, int64(1000))
	f.store.Set(key, f.store.Version(key)+1, mustMarshal(Heartbeat{0}))
	v = f.store.Version(key)
	contact = f.now
	assert.Equal(t, step(time.Second), v, "the first gateway reads it as well")
}
