package directory_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/directory"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// startMember starts the directory of a node that answers other nodes, and announces it.
func (f *fleet) startMember(node string) *directory.Directory {
	f.t.Helper()
	d := f.start(node)
	e := endpoint(node, balancer.Serving)
	e.PeerAddress = newPeer(f.t, d.Handler())
	d.Announce(e)
	return d
}

// awaitStored waits until the store has the rows of all nodes.
func (f *fleet) awaitStored(nodes ...string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, node := range nodes {
			if !f.standIn.Has("dotterel", directory.RowPrefix+node) {
				return poll.Continue("the store has no row of %s", node)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// serving returns the states of nodes that all serve.
func serving(nodes ...string) map[string]balancer.State {
	states := map[string]balancer.State{}
	for _, node := range nodes {
		states[node] = balancer.Serving
	}
	return states
}

// Guards against a second restore that finds the nodes before they have recovered from the
// first one, or after it.
func TestRowsOutlastTwoRestores(t *testing.T) {
	for name, recovered := range map[string]bool{"recovered": true, "not recovered": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			a, b := f.startMember("a"), f.startMember("b")
			awaitStates(t, b, serving("a", "b"))
			copied := f.standIn.Ver()
			c := f.startMember("c")
			awaitStates(t, a, serving("a", "b", "c"))
			f.standIn.Restore(copied)
			if recovered {
				f.awaitStored("c")
			}
			f.standIn.Restore(copied)
			f.awaitStored("a", "b", "c")
			for _, d := range []*directory.Directory{a, b, c} {
				awaitStates(t, d, serving("a", "b", "c"))
			}
		})
	}
}

// Guards against a node that starts during a restore and does not learn of nodes whose rows were
// lost, or whose own row stays lost.
func TestNodeStartedDuringRestoreIsKnown(t *testing.T) {
	f := newFleet(t)
	a, b := f.startMember("a"), f.startMember("b")
	awaitStates(t, a, serving("a", "b"))
	copied := f.standIn.Ver()
	c := f.startMember("c")
	awaitStates(t, a, serving("a", "b", "c"))
	awaitStates(t, b, serving("a", "b", "c"))
	f.standIn.SetFaults(standin.PlatformFaults{Away: true})
	d := f.startMember("d")
	f.standIn.Restore(copied)
	f.standIn.SetFaults(standin.PlatformFaults{})
	f.awaitStored("a", "b", "c", "d")
	for _, one := range []*directory.Directory{a, b, c, d} {
		awaitStates(t, one, serving("a", "b", "c", "d"))
		_, members := one.Members()
		assert.Equal(t, len(members), 4)
	}
}

// Guards against a new node that divides the limits of workspaces among the rows of a copy,
// before the others have written theirs again.
func TestNewNodeLearnsWhatTheStoreLost(t *testing.T) {
	f := newFleet(t)
	a := f.startMember("a")
	f.awaitStored("a")
	copied := f.standIn.Ver()
	// The directory of b does not run after it has written its row, so it is not written again.
	b := directory.New(directory.Config{Node: "b", Table: f.table(), Log: logr.Discard(), Client: http.DefaultClient})
	stop := run(b)
	e := endpoint("b", balancer.Serving)
	e.PeerAddress = newPeer(t, b.Handler())
	b.Announce(e)
	awaitStates(t, a, serving("a", "b"))
	stop()
	f.standIn.Restore(copied)
	f.awaitStored("a")
	c := f.start("c")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, members := c.Members(); len(members) != 0 {
			return poll.Success()
		}
		return poll.Continue("c knows no members")
	}, poll.WithTimeout(20*time.Second))
	_, members := c.Members()
	assert.Equal(t, len(members), 2)
}

// Guards against a node that was cut off during a restore: while its row is missing it gets no
// requests and keeps its part of the limits, and when it is back it writes its row again.
func TestCutOffNodeLearnsOfRestoreLate(t *testing.T) {
	f := newFleet(t)
	a := f.startMember("a")
	f.awaitStored("a")
	copied := f.standIn.Ver()
	var cut atomic.Bool
	link := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		f.standIn.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(link.CloseClientConnections)
	c := (&fleet{t: t, standIn: f.standIn, url: link.URL}).startMember("c")
	awaitStates(t, a, serving("a", "c"))
	cut.Store(true)
	link.CloseClientConnections()
	f.standIn.Restore(copied)
	awaitStates(t, a, serving("a"))
	_, members := a.Members()
	assert.Equal(t, len(members), 2, "c may go on using its part of the limits")
	cut.Store(false)
	f.awaitStored("c")
	awaitStates(t, a, serving("a", "c"))
	awaitStates(t, c, serving("a", "c"))
}

// Guards against nodes that write more than their own row, or more than once, when the store
// has come back from a copy.
func TestRestoreCostsOneWriteANode(t *testing.T) {
	f := newFleet(t)
	nodes := []string{"a", "b", "c", "d", "e", "f"}
	var directories []*directory.Directory
	for _, node := range nodes {
		directories = append(directories, f.startMember(node))
	}
	for _, d := range directories {
		awaitStates(t, d, serving(nodes...))
	}
	_, before := f.standIn.Calls()
	f.standIn.Restore(0)
	f.awaitStored(nodes...)
	for _, d := range directories {
		awaitStates(t, d, serving(nodes...))
		assert.NilError(t, d.Flush(context.Background()))
	}
	_, after := f.standIn.Calls()
	assert.Equal(t, int(after-before), len(nodes))
}

// Guards against a departure that counts as stored because it was written over the row of a
// copy, without what the store has lost.
func TestDepartureOutlastsUnnoticedRestore(t *testing.T) {
	f := newFleet(t)
	c := directory.New(directory.Config{Node: "c", Table: f.table(), Log: logr.Discard()})
	stop := run(c)
	ctx := context.Background()
	c.Announce(endpoint("c", balancer.Serving))
	assert.NilError(t, c.Flush(ctx))
	copied := f.standIn.Ver()
	first := edge.Departures{Newest: edge.Departure{Instance: "i1", Started: 7, Withdrawn: true}}
	c.Remember(first)
	assert.NilError(t, c.Flush(ctx))
	f.standIn.Restore(copied)
	both := first
	both.Others = []edge.Departure{{Instance: "i2", Withdrawn: true, Received: 9}}
	c.Remember(both)
	assert.NilError(t, c.Flush(ctx))
	stop()
	got, err := f.start("c").Recall(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, both)
}

// Guards against bad input of another node that counts as departures or takes a node down.
func TestMalformedDeparturesAreRefused(t *testing.T) {
	f := newFleet(t)
	handler := f.start("a").Handler()
	for _, query := range []string{"", "node=b", "node=b&departures=*", "node=b&departures=gA", "departures=oA", "node=b&departures=" + strings.Repeat("g", 5000)} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, directory.EndpointsPath+"?"+query, nil))
		assert.Equal(t, w.Code, http.StatusBadRequest, query)
	}
}

// Guards against a row that is written twice because it was written before the era of the store
// was known: if another node takes over the address meanwhile, the second write would make the
// older node the newer one.
func TestFirstWriteIsNotRepeated(t *testing.T) {
	f := newFleet(t)
	written := make(chan struct{})
	var once sync.Once
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			<-written
		}
		f.standIn.Handler().ServeHTTP(w, r)
		once.Do(func() { close(written) })
	}))
	t.Cleanup(srv.CloseClientConnections)
	f.url = srv.URL
	a := f.start("a")
	a.Announce(endpoint("a", balancer.Serving))
	assert.NilError(t, a.Flush(context.Background()))
	_, writes := f.standIn.Calls()
	assert.Equal(t, int(writes), 1)
}

// Guards against a node without any other that asks for ever what earlier processes have stored,
// although no announcement from before its start can arrive any more.
func TestRecallEndsWithoutOtherNodes(t *testing.T) {
	f := newFleet(t)
	f.storeDepartures("c")
	f.standIn.Restore(f.standIn.Ver())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	got, err := f.start("c").Recall(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, departed)
}
