package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/peer"
)

// fakeNetwork delivers messages between stores in one process, synchronously.
type fakeNetwork struct{ transports map[string]*fakeTransport }

type fakeTransport struct {
	network  *fakeNetwork
	id       peer.Identity
	handlers map[string]peer.Handler
}

func (p *fakeTransport) Identity() peer.Identity            { return p.id }
func (p *fakeTransport) Handle(kind string, h peer.Handler) { p.handlers[kind] = h }

func (p *fakeTransport) Call(ctx context.Context, node, kind string, req, resp any) error {
	to, ok := p.network.transports[node]
	if !ok {
		return peer.ErrUnreachable.New("%s", node)
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	result, err := to.handlers[kind](ctx, p.id, payload)
	if err != nil {
		return peer.ErrRemote.Wrap(err)
	}
	reply, err := cbor.Marshal(result)
	if err != nil || resp == nil {
		return err
	}
	return peer.Unmarshal(reply, resp)
}

func (p *fakeTransport) CallAddress(ctx context.Context, addr, kind string, req, resp any) (peer.Identity, error) {
	return p.network.transports[addr].id, p.Call(ctx, addr, kind, req, resp)
}

func (p *fakeTransport) Send(ctx context.Context, node, kind string, msg any) error {
	return p.Call(ctx, node, kind, msg, nil)
}

// fakeClock is a clock that tests set.
type fakeClock struct{ t time.Time }

func (c *fakeClock) now() time.Time { return c.t }

func newFakeNetwork() *fakeNetwork { return &fakeNetwork{transports: map[string]*fakeTransport{}} }

func (b *fakeNetwork) store(node, dc string, c *fakeClock) *Store {
	p := &fakeTransport{network: b, id: peer.Identity{Node: node, Incarnation: 1, DataCentre: dc}, handlers: map[string]peer.Handler{}}
	b.transports[node] = p
	return New(Config{Transport: p, Now: c.now})
}

func newFakeClock() *fakeClock { return &fakeClock{time.Unix(1_000_000, 0)} }

// staticTopology is a Topology that does not change.
type staticTopology struct {
	local   []string
	remote  map[string][]string
	gateway bool
}

func (f staticTopology) Local() []string             { return f.local }
func (f staticTopology) Remote() map[string][]string { return f.remote }
func (f staticTopology) IsGateway() bool             { return f.gateway }

// Guards against merges whose result depends on the order of records or on
// repetitions.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	var records []Record
	for key := range 3 {
		for version := range 3 {
			for _, origin := range []string{"", "a", "b"} {
				for _, value := range []string{"x", "y"} {
					records = append(records, Record{
						Key: fmt.Sprintf("key/%d", key), Version: uint64(version + 1), Origin: origin, Value: []byte(value),
					})
				}
			}
		}
	}
	c := newFakeClock()
	want := newFakeNetwork().store("w", "dudley", c)
	want.mergeAll(records, peer.Identity{})
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		s := newFakeNetwork().store("s", "dudley", c)
		for range 2 {
			rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			s.mergeAll(records, peer.Identity{Node: "p"})
		}
		assert.DeepEqual(t, s.Prefix(""), want.Prefix(""))
		assert.Equal(t, s.rootHashes(), want.rootHashes())
	}
}

// Guards against stores that still differ after a sync, especially when records
// are spread over many buckets and messages, and against local records that
// reach another data centre.
func TestSyncConverges(t *testing.T) {
	b, c := newFakeNetwork(), newFakeClock()
	a1, a2, b1 := b.store("a1", "dudley", c), b.store("a2", "dudley", c), b.store("b1", "walsall", c)
	for i, s := range []*Store{a1, a2, b1} {
		for k := range 300 {
			s.Set(fmt.Sprintf("key/%d", k), uint64(1+(k+i)%3), []byte(strings.Repeat("v", 40*(k%30))))
			s.Set(fmt.Sprintf("node/%d-%d", i, k%10), 1, []byte("n"))
		}
	}
	ctx := context.Background()
	assert.NilError(t, a1.Sync(ctx, "a2"))
	assert.Assert(t, reflect.DeepEqual(a1.Prefix(""), a2.Prefix("")))
	_, err := a1.SyncAddress(ctx, "b1")
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(a1.Prefix("key/"), b1.Prefix("key/")))
	assert.Equal(t, len(a1.Prefix("node/")), 20)
	assert.Equal(t, len(b1.Prefix("node/")), 10)
}

// Guards against a push that skips a data centre, returns a record to the peer
// that sent it, sends local records to other data centres, or omits large values.
func TestPushPlan(t *testing.T) {
	b, c := newFakeNetwork(), newFakeClock()
	sender := b.store("a1", "dudley", c)
	receivers := map[string]*Store{
		"a2": b.store("a2", "dudley", c), "b1": b.store("b1", "walsall", c), "c1": b.store("c1", "oldbury", c),
	}
	sender.SetTopology(staticTopology{[]string{"a2"}, map[string][]string{"walsall": {"b1"}, "oldbury": {"c1"}}, true})
	sender.Set("node/a1", 1, []byte("n"))
	sender.Set("dc/dudley", 1, make([]byte, 4*maxInlineBytes))
	sender.merge(&Record{Key: "config", Version: 5, Value: []byte("c")}, peer.Identity{Node: "b1", DataCentre: "walsall"})

	var local, global []*entry
	for _, key := range sender.pusher.takeKeys() {
		e := sender.entry(key)
		local = append(local, e)
		if sender.scopeOf(key) == scopeGlobal {
			global = append(global, e)
		}
	}
	for _, p := range sender.planPushes(local, global) {
		for _, e := range p.entries {
			assert.Assert(t, e.from.Node != p.peer.Node, "a record must not return to its sender")
		}
		sender.sendEntries(context.Background(), p)
	}
	assert.Equal(t, len(receivers["a2"].Prefix("")), 3)
	for _, name := range []string{"b1", "c1"} {
		r, ok := receivers[name].Get("dc/dudley")
		assert.Assert(t, ok && len(r.Value) == 4*maxInlineBytes, name)
		assert.Equal(t, len(receivers[name].Prefix("node/")), 0)
	}
	_, relayed := receivers["c1"].Get("config")
	assert.Assert(t, relayed, "a record from walsall must be relayed to oldbury")
}

// Guards against a dropped record that returns with an old version from a peer
// that was partitioned, and against tombstones that are never removed.
func TestDroppedRecordsStayDropped(t *testing.T) {
	b, c := newFakeNetwork(), newFakeClock()
	s, partitioned := b.store("a1", "dudley", c), b.store("a2", "dudley", c)
	ctx := context.Background()
	s.Set("node/x", 3, []byte("alive"))
	assert.NilError(t, s.Sync(ctx, "a2"))
	s.SetExpiring("node/x", 4, []byte("dead"), c.t.Add(time.Minute))
	c.t = c.t.Add(2 * time.Minute)
	changed := 0
	s.Watch("node/", func(string) { changed++ })
	s.Sweep()
	assert.Equal(t, changed, 1)
	assert.Equal(t, s.Len(), 0)
	assert.Equal(t, s.Version("node/x"), uint64(4))

	assert.NilError(t, partitioned.Sync(ctx, "a1"))
	assert.Equal(t, s.Len(), 0)
	assert.Equal(t, partitioned.Len(), 0, "the partitioned peer must drop it too")
	assert.Assert(t, s.Set("node/x", 5, []byte("alive again")))
	c.t = c.t.Add(2 * tombstoneTTL)
	s.SetExpiring("node/x", 6, nil, c.t)
	s.Sweep()
	c.t = c.t.Add(2 * tombstoneTTL)
	s.Sweep()
	assert.Equal(t, s.Version("node/x"), uint64(0))
}

// Guards against messages that crash a store, make it grow without bound, or
// insert local records from another data centre.
func TestBadMessages(t *testing.T) {
	b, c := newFakeNetwork(), newFakeClock()
	s := b.store("a1", "dudley", c)
	other := b.store("b1", "walsall", c).cfg.Transport
	ctx := context.Background()
	huge := Record{Key: "big", Version: 1, Value: make([]byte, maxValueBytes+1)}
	for name, m := range map[string]struct {
		kind string
		msg  any
	}{
		"not a message":       {kindPush, "text"},
		"no key":              {kindPush, pushMessage{Records: []Record{{Version: 9}}}},
		"long key":            {kindPush, pushMessage{Records: []Record{{Key: strings.Repeat("k", 300), Version: 9}}}},
		"large value":         {kindPush, pushMessage{Records: []Record{huge}}},
		"local record":        {kindPush, pushMessage{Records: []Record{{Key: "node/x", Version: 9}}}},
		"expired record":      {kindPush, pushMessage{Records: []Record{{Key: "x", Version: 9, Expires: 1}}}},
		"too few scopes":      {kindDelta, deltaRequest{Buckets: [][]int{{1}}}},
		"bucket out of range": {kindDelta, deltaRequest{Buckets: [][]int{{-1, 99}, {-5, 1 << 20}}}},
		"unknown keys":        {kindFetch, fetchMessage{[]string{"a", "", "node/x"}}},
		"digest of nothing":   {kindDigest, digestRequest{}},
	} {
		t.Run(name, func(t *testing.T) {
			_ = other.Call(ctx, "a1", m.kind, m.msg, nil) // an error is allowed, a record is not
			assert.Equal(t, s.Len(), 0)
		})
	}
}

// Guards against a large record that is never fetched because the peer that
// announced it first stopped before the fetch.
func TestLostFetchIsRepeated(t *testing.T) {
	b, c := newFakeNetwork(), newFakeClock()
	a, s := b.store("a1", "dudley", c), b.store("a2", "dudley", c)
	a.Set("dc/dudley", 1, make([]byte, 2*maxInlineBytes))
	e := a.entry("dc/dudley")
	announcement := pushMessage{Announced: []recordVersion{{Key: e.Key, Version: 1, Hash: e.hash}}}
	stopped := &fakeTransport{network: b, id: peer.Identity{Node: "gone", DataCentre: "dudley"}}
	assert.Assert(t, stopped.Call(context.Background(), "a2", kindPush, announcement, nil) != nil)
	assert.NilError(t, a.cfg.Transport.Call(context.Background(), "a2", kindPush, announcement, nil))
	assert.Equal(t, s.Len(), 1)
}
