package sidecar

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/directory"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// newLeavingHost returns a host whose backend server has announced its start, beside another
// host of the same service.
func newLeavingHost(t *testing.T) *host {
	f := newFleet(t)
	h := f.host("shop-1", "shop")
	f.host("shop-2", "shop")
	f.configure(4, farm)
	h.born = time.Now().UnixMilli()
	h.announce("ready")
	h.awaitServing("read.example")
	return h
}

// Guards against a backend server that has left and is in use again, because its node was
// killed right after the acknowledgement and an earlier announcement arrives late at the
// new process.
func TestLeavingOutlastsRestart(t *testing.T) {
	for name, leave := range map[string]func(h *host) int{
		"deregistered":      (*host).deregister,
		"draining":          func(h *host) int { return h.sendHeartbeat(h.sequence.Add(1), "draining") },
		"second restart":    func(h *host) int { status := h.deregister(); h.stop(); h.start(); return status },
		"after a restart":   func(h *host) int { h.stop(); h.start(); return h.deregister() },
		"and a start since": func(h *host) int { h.deregister(); h.born++; h.announce("ready"); return h.deregister() },
	} {
		t.Run(name, func(t *testing.T) {
			leaving := newLeavingHost(t)
			late := leaving.sequence.Load()
			assert.Equal(t, leave(leaving), http.StatusOK)
			leaving.stop()
			leaving.start()
			leaving.requireLeft(late)
			leaving.born += 2
			leaving.requireUsed()
		})
	}
}

// requireLeft sends an earlier announcement once more, and fails the test if the backend
// server is used again.
func (h *host) requireLeft(sequence int64) {
	t := h.fleet.t
	t.Helper()
	assert.Equal(t, h.sendHeartbeat(sequence, "ready"), http.StatusOK)
	h.awaitServing("read.example")
	for range 20 {
		assert.Equal(t, h.call("GET", "read.example", "k1").body, "shop-2GET/x")
	}
}

// requireUsed announces a new start and waits until it is in use.
func (h *host) requireUsed() {
	h.fleet.t.Helper()
	h.announce("ready")
	waitUntil(h.fleet.t, func() string {
		if body := h.call("GET", "read.example", "k1").body; body != "shop-1GET/x" {
			return "the new start is not in use: " + body
		}
		return ""
	})
}

// Guards against a backend server that is used again after a late announcement, because the
// call that said that it leaves named no start, and the process that acknowledged it had
// not heard of it.
func TestLeavingWithoutStart(t *testing.T) {
	for name, tc := range map[string]struct{ restartBefore, restartAfter bool }{
		"known": {}, "known, then a restart": {restartAfter: true},
		"unknown": {restartBefore: true}, "unknown, then a restart": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			leaving := newLeavingHost(t)
			late := leaving.sequence.Load()
			if tc.restartBefore {
				leaving.stop()
				leaving.start()
			}
			assert.Equal(t, leaving.sendControl("Deregister", ""), http.StatusOK)
			if tc.restartAfter {
				leaving.stop()
				leaving.start()
			}
			leaving.requireLeft(late)
			leaving.born = time.Now().UnixMilli() + 1
			leaving.requireUsed()
		})
	}
}

// Guards against an acknowledgement that the node cannot keep, because the store does not
// answer, and against a leaving that is not in force meanwhile.
func TestLeavingWithoutStore(t *testing.T) {
	leaving := newLeavingHost(t)
	f, late := leaving.fleet, leaving.sequence.Load()
	leaving.awaitEndpoints("shop", 2)
	f.standIn.SetFaults(standin.PlatformFaults{Down: true})
	assert.Equal(t, leaving.deregister(), http.StatusServiceUnavailable)
	for range 5 {
		assert.Equal(t, leaving.call("GET", "read.example", "k1").body, "shop-2GET/x")
	}
	leaving.stop()
	leaving.start()
	assert.Equal(t, leaving.sendHeartbeat(late, "ready"), http.StatusServiceUnavailable)
	f.standIn.SetFaults(standin.PlatformFaults{})
	// The leaving was not acknowledged, and the held announcement is applied.
	waitUntil(t, func() string {
		for _, e := range leaving.sidecar.directory.Endpoints("shop") {
			if e.Node == "shop-1" && e.State == balancer.Serving && e.PeerAddress == leaving.sidecar.settings.Addresses.Advertised() {
				return ""
			}
		}
		return "the announcement is not in force"
	})
}

// Guards against a departure that is stored already and that waits for a store that is away,
// each time the server says it again.
func TestRepeatedLeavingNeedsNoStore(t *testing.T) {
	for name, leave := range map[string]func(h *host) int{
		"deregistered": (*host).deregister,
		"draining":     func(h *host) int { return h.sendHeartbeat(h.sequence.Add(1), "draining") },
	} {
		t.Run(name, func(t *testing.T) {
			leaving := newLeavingHost(t)
			assert.Equal(t, leave(leaving), http.StatusOK)
			leaving.fleet.standIn.SetFaults(standin.PlatformFaults{Down: true})
			assert.Equal(t, leave(leaving), http.StatusOK)
		})
	}
}

// Guards against a backend server that is never used again because another writer has put
// a start far in the future into the row of its node.
func TestOddDepartureIsIgnored(t *testing.T) {
	for name, departure := range map[int]any{
		20: edge.Departure{Started: math.MaxInt64, Withdrawn: true},
		21: []edge.Departure{
			{Instance: "shop-1", Received: time.Now().Add(24 * time.Hour).UnixMilli(), Withdrawn: true},
		},
	} {
		t.Run(fmt.Sprint("field ", name), func(t *testing.T) {
			f := newFleet(t)
			f.configure(4, farm)
			shop := f.host("shop-1", "shop")
			shop.stop()
			raw, err := cbor.Marshal(map[int]any{1: "shop-1", 3: "127.0.0.1:9", 6: "shop", 9: balancer.Starting, name: departure})
			assert.NilError(t, err)
			f.standIn.Write("dotterel", directory.RowPrefix+"shop-1", append([]byte{7: 1}, raw...))
			shop.start()
			shop.born = time.Now().UnixMilli()
			shop.announce("ready")
			shop.awaitServing("read.example")
		})
	}
}

// refusingStore passes requests on to the store, or answers 503 while it refuses.
type refusingStore struct {
	store   http.Handler
	refuses atomic.Bool
}

func (s *refusingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuses.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.store.ServeHTTP(w, r)
}

// refusableHost starts a host whose node reaches the store through a refusingStore.
func (f *fleet) refusableHost(name, service string) (*host, *refusingStore) {
	s := &refusingStore{store: f.standIn.Handler()}
	srv := httptest.NewServer(s)
	f.t.Cleanup(srv.CloseClientConnections)
	store := f.url
	f.url = srv.URL
	defer func() { f.url = store }()
	return f.host(name, service), s
}

// Guards against a backend server that has left and is in use again, because its node was
// restarted while the store was away and took an old copy of its row, from another node,
// for what it had stored; and against the row being replaced by one without the departure.
func TestLeavingOutlastsOldCopy(t *testing.T) {
	f := newFleet(t)
	leaving, store := f.refusableHost("shop-1", "shop")
	other, storeOfOther := f.refusableHost("shop-2", "shop")
	f.configure(4, farm)
	leaving.born = time.Now().UnixMilli()
	leaving.announce("ready")
	for _, h := range []*host{leaving, other} {
		h.awaitServing("read.example")
		h.awaitEndpoints("shop", 2)
	}
	late := leaving.sequence.Load()

	storeOfOther.refuses.Store(true)
	waitUntil(t, func() string {
		if other.sidecar.config.Reachable() {
			return "the other node has not noticed that the store refuses"
		}
		return ""
	})
	assert.Equal(t, leaving.deregister(), http.StatusOK)
	leaving.stop()
	store.refuses.Store(true)
	leaving.start()
	leaving.sidecar.directory.ObservePeer(other.sidecar.settings.Addresses.Advertised())
	leaving.awaitEndpoints("shop", 2) // an old copy of both rows
	assert.Equal(t, leaving.sendHeartbeat(late, "ready"), http.StatusServiceUnavailable)

	store.refuses.Store(false)
	storeOfOther.refuses.Store(false)
	waitUntil(t, func() string {
		if status := leaving.sendHeartbeat(late, "ready"); status != http.StatusOK {
			return fmt.Sprintf("status %d", status)
		}
		return ""
	})
	leaving.requireLeft(late)
	leaving.stop()
	leaving.start()
	leaving.requireLeft(late)
	leaving.born++
	leaving.requireUsed()
}

// Guards against new requests to a draining backend server, and against one that is
// used again after a late announcement.
func TestDrain(t *testing.T) {
	f := newFleet(t)
	leaving, staying, entry := f.host("shop-1", "shop"), f.host("shop-2", "shop"), f.host("other-1", "other")
	f.configure(4, farm)
	entry.awaitServing("read.example")
	leaving.awaitServing("read.example")
	leaving.awaitEndpoints("shop", 2)
	entry.awaitEndpoints("shop", 2)
	leaving.announce("draining")
	before := len(leaving.requests())
	leaving.sequence.Store(0)
	leaving.announce("ready") // with a sequence number that was used before
	for range 20 {
		assert.Equal(t, entry.call("GET", "read.example", "k1").body, "shop-2GET/x")
		assert.Equal(t, leaving.call("GET", "read.example", "k1").body, "shop-2GET/x")
	}
	assert.Equal(t, len(leaving.requests()), before)
	assert.Assert(t, len(staying.requests()) >= 40)
}
