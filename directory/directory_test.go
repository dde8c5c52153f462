package directory_test

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/directory"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/store"
)

// fleet starts directories of nodes that share one stand-in of the platform.
type fleet struct {
	t       *testing.T
	standIn *standin.Platform
	url     string
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, standIn: standin.NewPlatform()}
	srv := httptest.NewServer(f.standIn.Handler())
	t.Cleanup(srv.CloseClientConnections)
	f.url = srv.URL
	return f
}

func (f *fleet) table() store.Table {
	return platform.New(platform.Config{URL: f.url, BackoffBase: time.Millisecond, BreakerPause: time.Millisecond})
}

// start runs the directory of a node and stops it at the end of the test.
func (f *fleet) start(node string) *directory.Directory {
	f.t.Helper()
	d := directory.New(directory.Config{Node: node, Table: f.table(), Log: logr.Discard(), Client: http.DefaultClient})
	f.t.Cleanup(run(d))
	return d
}

// run runs a directory until the returned function is called, which may be called twice.
func run(d *directory.Directory) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	return func() { cancel(); <-done }
}

func endpoint(node string, state balancer.State) *balancer.Endpoint {
	return &balancer.Endpoint{Node: node, Incarnation: 1, PeerAddress: node + ":1", Service: "stockroom", Slots: 4, State: state}
}

// awaitStates waits until d has exactly the wanted nodes of the service, by state.
func awaitStates(t *testing.T, d *directory.Directory, want map[string]balancer.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := map[string]balancer.State{}
		for _, e := range d.Endpoints("stockroom") {
			got[e.Node] = e.State
		}
		if len(got) != len(want) {
			return poll.Continue("has %v, not %v", got, want)
		}
		for node, state := range want {
			if s, ok := got[node]; !ok || s != state {
				return poll.Continue("has %v, not %v", got, want)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// Guards against announcements, drains and removals that do not reach the other nodes.
func TestEndpointsReachAllNodes(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	a.Announce(endpoint("a", balancer.Serving))
	b.Announce(endpoint("b", balancer.Serving))
	both := map[string]balancer.State{"a": balancer.Serving, "b": balancer.Serving}
	awaitStates(t, a, both)
	awaitStates(t, b, both)
	_, members := a.Members()
	assert.Equal(t, len(members), 2)

	a.Announce(endpoint("a", balancer.Draining))
	awaitStates(t, b, map[string]balancer.State{"a": balancer.Draining, "b": balancer.Serving})
	a.Announce(nil)
	awaitStates(t, b, map[string]balancer.State{"a": balancer.Starting, "b": balancer.Serving})

	assert.NilError(t, a.Deregister(context.Background()))
	awaitStates(t, b, map[string]balancer.State{"b": balancer.Serving})
	// A node that starts later reads the existing rows.
	awaitStates(t, f.start("c"), map[string]balancer.State{"b": balancer.Serving})
}

// Guards against endpoints that are dropped during an outage of the store, and
// against changes that are missed because the store compacted its history.
func TestOutageAndCompaction(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	a.Announce(endpoint("a", balancer.Serving))
	awaitStates(t, b, map[string]balancer.State{"a": balancer.Serving})
	f.standIn.SetFaults(standin.PlatformFaults{Down: true})
	a.Announce(endpoint("a", balancer.Draining))
	awaitStates(t, a, map[string]balancer.State{"a": balancer.Draining}) // the local view does not wait for the store
	awaitStates(t, b, map[string]balancer.State{"a": balancer.Serving})
	f.standIn.SetFaults(standin.PlatformFaults{Compacted: true})
	awaitStates(t, b, map[string]balancer.State{"a": balancer.Draining})
}

// Guards against a row that stays outdated because the response to its write was lost.
func TestLostWriteResponses(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	f.standIn.SetFaults(standin.PlatformFaults{DropAnswers: 2, DropRequests: 2})
	a.Announce(endpoint("a", balancer.Serving))
	a.Announce(endpoint("a", balancer.Draining))
	awaitStates(t, b, map[string]balancer.State{"a": balancer.Draining})
}

// Guards against one odd row of another writer that stops the directory, takes the node
// down, is used as an endpoint or replaces the row of a node.
func TestOddRows(t *testing.T) {
	odd := func(change func(*balancer.Endpoint)) []byte {
		e := endpoint("odd", balancer.Serving)
		change(e)
		raw, err := cbor.Marshal(e)
		assert.NilError(t, err)
		return raw
	}
	fields := func(v any) []byte {
		raw, err := cbor.Marshal(map[int]any{1: "odd", 3: "odd:1", 6: "stockroom", 8: v, 9: 1})
		assert.NilError(t, err)
		return raw
	}
	for name, value := range map[string][]byte{
		"empty":                    {},
		"text":                     []byte("not an endpoint"),
		"deeply nested":            bytes.Repeat([]byte{0x81}, 60_000),
		"nested maps":              bytes.Repeat([]byte{0xa1, 0x01}, 30_000),
		"long array without data":  {0x9a, 0xff, 0xff, 0xff, 0xff},
		"number too large":         fields(uint64(math.MaxUint64)),
		"number with a fraction":   fields(1.5),
		"number as text":           fields("7"),
		"port out of range":        odd(func(e *balancer.Endpoint) { e.PeerAddress = "odd:65536" }),
		"port 0":                   odd(func(e *balancer.Endpoint) { e.PeerAddress = "odd:0" }),
		"no port":                  odd(func(e *balancer.Endpoint) { e.PeerAddress = "odd" }),
		"no address":               odd(func(e *balancer.Endpoint) { e.PeerAddress = "" }),
		"the name of another node": odd(func(e *balancer.Endpoint) { e.Node = "a"; e.PeerAddress = "a:1" }),
		"unknown state":            odd(func(e *balancer.Endpoint) { e.State = 77 }),
		"negative slots":           odd(func(e *balancer.Endpoint) { e.Slots = -1 }),
		"too many slots":           odd(func(e *balancer.Endpoint) { e.Slots = math.MaxInt }),
		"too many connections":     odd(func(e *balancer.Endpoint) { e.Connections = math.MaxInt }),
		"negative cold start":      odd(func(e *balancer.Endpoint) { e.ColdStart = -1 }),
		"endless cold start":       odd(func(e *balancer.Endpoint) { e.ColdStart = math.MaxInt64 }),
		"endless name":             odd(func(e *balancer.Endpoint) { e.Service = strings.Repeat("x", 10_000) }),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			a, b := f.start("a"), f.start("b")
			a.Announce(endpoint("a", balancer.Serving))
			awaitStates(t, b, map[string]balancer.State{"a": balancer.Serving})
			_, err := f.table().Put(context.Background(), directory.RowPrefix+"odd", 0, value)
			assert.NilError(t, err)
			a.Announce(endpoint("a", balancer.Draining))
			awaitStates(t, b, map[string]balancer.State{"a": balancer.Draining})
			awaitStates(t, f.start("c"), map[string]balancer.State{"a": balancer.Draining})
			for _, d := range []*directory.Directory{a, b} {
				_, members := d.Members()
				assert.Equal(t, len(members), 1)
			}
		})
	}
}

// Guards against a removed host that stays in use because another host has taken
// over its address and answers there.
func TestAddressTakenOver(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	old, next := endpoint("old", balancer.Serving), endpoint("next", balancer.Serving)
	next.PeerAddress = old.PeerAddress
	f.start("old").Announce(old)
	awaitStates(t, a, map[string]balancer.State{"old": balancer.Serving})
	f.start("next").Announce(next)
	awaitStates(t, a, map[string]balancer.State{"next": balancer.Serving})
	_, members := a.Members()
	assert.Equal(t, len(members), 1)
}

// Guards against a node that starts while the store rejects its calls and finds no
// endpoints: it has to fetch the rows from a node that contacts it. Until then it must
// report no members, so that it does not act as the only node of the fleet.
func TestLearnsFromOtherNodes(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	a.Announce(endpoint("a", balancer.Serving))
	b.Announce(endpoint("b", balancer.Serving))
	both := map[string]balancer.State{"a": balancer.Serving, "b": balancer.Serving}
	other := f.start("other") // has read the rows of a and b from the store
	awaitStates(t, other, both)
	peers := httptest.NewServer(other.Handler())
	t.Cleanup(peers.Close)

	outage := newFleet(t)
	outage.standIn.SetFaults(standin.PlatformFaults{Down: true})
	c := outage.start("c")
	c.Announce(endpoint("c", balancer.Serving))
	_, members := c.Members()
	assert.Equal(t, len(members), 0)
	unloaded := httptest.NewServer(c.Handler())
	t.Cleanup(unloaded.Close)
	resp, err := http.Get(unloaded.URL)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)

	c.ObservePeer(strings.TrimPrefix(peers.URL, "http://"))
	awaitStates(t, c, map[string]balancer.State{"a": balancer.Serving, "b": balancer.Serving, "c": balancer.Serving})
	_, members = c.Members()
	assert.Equal(t, len(members), 3)
}

// departed is what an earlier process of a node has stored.
var departed = edge.Departures{
	Newest: edge.Departure{Instance: "i1", Started: 7, Withdrawn: true},
	Others: []edge.Departure{{Instance: "i2", Withdrawn: true, Received: 9}},
}

// storeDepartures lets a process of a node store departures and ends it.
func (f *fleet) storeDepartures(node string) {
	f.t.Helper()
	d := directory.New(directory.Config{Node: node, Table: f.table(), Log: logr.Discard()})
	stop := run(d)
	d.Remember(departed)
	d.Announce(endpoint(node, balancer.Serving))
	assert.NilError(f.t, d.Flush(context.Background()))
	stop()
}

// newPeer returns the peers address of a node that serves h.
func newPeer(t *testing.T, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// startWithoutStore runs the directory of a node to which the store does not answer.
func startWithoutStore(t *testing.T, node string) *directory.Directory {
	outage := newFleet(t)
	outage.standIn.SetFaults(standin.PlatformFaults{Down: true})
	return outage.start(node)
}

// Guards against a copy of the own row from another node, which may be older than the last
// departure, that counts as what an earlier process has stored.
func TestCopyOfOwnRowIsNotRecalled(t *testing.T) {
	f := newFleet(t)
	f.start("a").Announce(endpoint("a", balancer.Serving))
	f.start("c").Announce(endpoint("c", balancer.Serving))
	other := f.start("other")
	awaitStates(t, other, map[string]balancer.State{"a": balancer.Serving, "c": balancer.Serving})
	peer := newPeer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // the other node does not reach the store either
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		other.Handler().ServeHTTP(w, r)
	}))
	c := startWithoutStore(t, "c")
	c.ObservePeer(peer)
	awaitStates(t, c, map[string]balancer.State{"a": balancer.Serving, "c": balancer.Serving})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Recall(ctx)
	assert.Assert(t, directory.Error.Has(err), "the copy was recalled: %v", err)
}

// Guards against a node to which the store does not answer, and which therefore does not
// learn what its earlier process has stored, although other nodes reach the store.
func TestOwnRowIsReadThroughOtherNode(t *testing.T) {
	f := newFleet(t)
	f.storeDepartures("c")
	for node, want := range map[string]edge.Departures{"c": departed, "without a row": {}} {
		t.Run(node, func(t *testing.T) {
			c := startWithoutStore(t, node)
			other := f.start("other")
			awaitStates(t, other, map[string]balancer.State{"c": balancer.Serving})
			c.ObservePeer(newPeer(t, other.Handler()))
			got, err := c.Recall(context.Background())
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		})
	}
}

// Guards against a departure that is lost because a new process of the node overwrites the
// row of the earlier one before it has read it, or while it knows of none.
func TestDeparturesStayInOverwrittenRow(t *testing.T) {
	f := newFleet(t)
	f.storeDepartures("c")
	second := f.start("c")
	second.Announce(endpoint("c", balancer.Starting))
	assert.NilError(t, second.Flush(context.Background()))
	got, err := second.Recall(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, departed)
	got, err = f.start("c").Recall(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, departed)
}
