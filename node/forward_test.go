package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

const announceInterval = 500 * time.Millisecond

// startHandler starts a backend server with the given handler and announces it to a
// node.
func (f *fleet) startHandler(h *host, service string, handler http.HandlerFunc) {
	f.t.Helper()
	srv := httptest.NewServer(handler)
	f.t.Cleanup(srv.CloseClientConnections)
	f.announce(h, edge.Announcement{Service: service, Address: srv.Listener.Addr().String(), Slots: 64, Connections: 128, State: "serving"})
}

// announce announces a backend server to a node, and again until the test ends so that
// the announcement does not expire.
func (f *fleet) announce(h *host, a edge.Announcement) {
	f.t.Helper()
	body, err := json.Marshal(a)
	assert.NilError(f.t, err)
	resp, _ := do(f.t, newRequest(f.t, "POST", h.local+"/v1/announce", body))
	assert.Equal(f.t, resp.StatusCode, http.StatusNoContent)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() {
		tick := time.NewTicker(announceInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			resp, err := http.Post(h.local+"/v1/announce", "application/json", bytes.NewReader(body))
			if err != nil {
				return // the test has stopped the node
			}
			_ = resp.Body.Close()
		}
	}()
}

// Guards the headers and trailers that nodes forward: no key and no forged internal
// header may reach a backend server, and no internal header of a backend server may
// reach a caller.
func TestForwardedHeaders(t *testing.T) {
	f := newFleet(t, "stock")
	entry, dest := f.startHost("a", "", standin.BackendBehaviour{}), f.startHost("b", "", standin.BackendBehaviour{})
	var mu sync.Mutex
	var received, receivedTrailer http.Header
	f.startHandler(dest, "stock", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		received, receivedTrailer = r.Header.Clone(), r.Trailer.Clone()
		mu.Unlock()
		h := w.Header()
		h.Set("Trailer", "X-Sum, Dotterel-Hop-Result")
		h.Set("Dotterel-Refusal", "overload")
		h.Set("Dotterel-Hop-Result", "AAAA")
		h.Set("Connection", "X-Private")
		h.Set("X-Private", "1")
		h.Set("X-Kept", "1")
		_, _ = io.WriteString(w, "answer")
		h.Set("X-Sum", "42")
		h.Set("Dotterel-Hop-Result", "AAAA")
	})
	for _, h := range []*host{entry, dest} {
		for _, size := range []int{10, 200_000} { // a fully buffered body and a streamed one
			req := newRequest(t, "PUT", h.url+"/stock/files/1?a=%2Fb", nil)
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), -1
			req.Trailer = http.Header{"Dotterel-Key": {testKey}, "X-Digest": {"7"}}
			for _, name := range []string{headerContext, headerWorkspace, headerDeadline, headerNotRun, peer.HeaderHop, peer.HeaderToken, "Dotterel-Anything"} {
				req.Header[strings.ToLower(name)] = []string{"forged"}
			}
			req.Header.Set(headerKey, testKey)
			req.Header.Set(headerRequestID, "r-1")
			req.Header.Set("Connection", "X-Secret")
			req.Header.Set("X-Secret", "1")
			req.Header.Set("X-Other", "1")
			resp, body := do(t, req)
			assert.Equal(t, resp.StatusCode, 200, "%s", body)
			assert.Equal(t, string(body), "answer")
			assert.Equal(t, resp.Trailer.Get("X-Sum"), "42")
			assert.Equal(t, resp.Header.Get("X-Kept"), "1")
			for _, all := range []http.Header{resp.Header, resp.Trailer} {
				for name := range all {
					assert.Assert(t, !strings.HasPrefix(name, "Dotterel-") && name != "X-Private", name)
				}
			}
			mu.Lock()
			for name, values := range received {
				switch name {
				case headerContext, headerDeadline:
					assert.Assert(t, len(values) == 1 && values[0] != "forged", name)
				default:
					assert.Assert(t, !strings.HasPrefix(name, "Dotterel-") || name == headerWorkspace || name == headerRequestID, name)
				}
			}
			assert.DeepEqual(t, received[headerWorkspace], []string{"farm"})
			assert.DeepEqual(t, received[headerRequestID], []string{"r-1"})
			assert.Equal(t, received.Get("X-Other")+received.Get("X-Secret"), "1")
			assert.DeepEqual(t, receivedTrailer, http.Header{"X-Digest": {"7"}})
			mu.Unlock()
		}
	}
}

// Guards against hops that are accepted without the cluster token.
func TestHopNeedsClusterToken(t *testing.T) {
	f := newFleet(t, "stock")
	dest := f.startHost("b", "stock", standin.BackendBehaviour{})
	hop, err := peer.EncodeHeader(&peer.Hop{CallID: "c", Service: "stock", Attempts: 1, RemainingMicros: 1e6})
	assert.NilError(t, err)
	for token, status := range map[string]int{"": 403, "wrong": 403, testSecret: 200} {
		req := newRequest(t, "GET", dest.peers+"/items/1", nil)
		req.Header.Set(peer.HeaderHop, hop)
		req.Header.Set(peer.HeaderToken, token)
		resp, _ := do(t, req)
		assert.Equal(t, resp.StatusCode, status, token)
	}
	assert.Equal(t, dest.backend.Stats().Runs, int64(1))
}

// endlessBody is an endless body of zeros that records the largest heap while it is
// read.
type endlessBody struct {
	count int64
	heap  *atomic.Uint64
}

func (z *endlessBody) Read(p []byte) (int, error) {
	z.count += int64(len(p))
	if z.count%(4<<20) < int64(len(p)) {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		z.heap.Store(max(z.heap.Load(), m.HeapAlloc))
	}
	clear(p)
	return len(p), nil
}

// Guards against nodes that buffer a whole large request body.
func TestLargeUploadIsStreamed(t *testing.T) {
	const size, allowed = 64 << 20, 16 << 20 // bytes; allowed covers both nodes and the backend server, which run in this process
	f := newFleet(t, "stock")
	entry, dest := f.startHost("a", "", standin.BackendBehaviour{}), f.startHost("b", "", standin.BackendBehaviour{})
	f.startHandler(dest, "stock", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var heap atomic.Uint64
	for _, declared := range []int64{size, -1} {
		req := newKeyedRequest(t, "PUT", entry.url+"/stock/files/1", nil)
		req.Body, req.ContentLength = io.NopCloser(io.LimitReader(&endlessBody{heap: &heap}, size)), declared
		resp, body := do(t, req)
		assert.Equal(t, resp.StatusCode, 200)
		assert.Equal(t, string(body), fmt.Sprint(size))
	}
	assert.Assert(t, heap.Load() < before.HeapAlloc+allowed, "heap grew to %d bytes", heap.Load())
}

// Guards requirement R1 in docs/design.md with real nodes: the attempts of a call tree
// stay bounded with fan-out, failures, retries of the nodes and retries that the
// backend servers make themselves.
func TestCallTreeStaysWithinAttempts(t *testing.T) {
	const attempts = 8 // of GET /items/{id}
	item := func(s string) []string { return []string{"GET /" + s + "/items/1", "GET /" + s + "/items/2"} }
	for _, tc := range []struct {
		name string
		a, b standin.BackendBehaviour
		c    standin.BackendBehaviour
	}{
		{name: "healthy", a: standin.BackendBehaviour{Calls: item("b")[:1]}, b: standin.BackendBehaviour{Calls: item("c")}},
		{name: "last fails after", a: standin.BackendBehaviour{Calls: item("b"), RetryCalls: 3}, b: standin.BackendBehaviour{Calls: item("c"), RetryCalls: 3}, c: standin.BackendBehaviour{FailAfter: true}},
		{name: "parallel, last fails before", a: standin.BackendBehaviour{Calls: item("b"), RetryCalls: 2, Parallel: true}, b: standin.BackendBehaviour{Calls: item("c"), RetryCalls: 5, Parallel: true}, c: standin.BackendBehaviour{FailBefore: true}},
		{name: "all shed", a: standin.BackendBehaviour{Calls: item("b"), RetryCalls: 3}, b: standin.BackendBehaviour{Shed: true}},
		{name: "loop", a: standin.BackendBehaviour{Calls: item("a"), RetryCalls: 1}, b: standin.BackendBehaviour{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c")
			var hosts []*host
			for i, v := range []standin.BackendBehaviour{tc.a, tc.b, tc.c} {
				service := string("abc"[i])
				hosts = append(hosts, f.startHost(service+"1", service, v), f.startHost(service+"2", service, v))
			}
			for i := range 10 {
				req := newKeyedRequest(t, "GET", hosts[i%6].url+"/a/items/1", nil)
				req.Header.Set(headerRequestID, fmt.Sprint(i))
				resp, body := do(t, req)
				assert.Equal(t, resp.StatusCode == 200, tc.name == "healthy", "%s", body)
			}
			sum, charged := map[string]int{}, int64(0)
			for _, h := range hosts {
				stats := h.backend.Stats()
				assert.Assert(t, !stats.KeyReceived)
				charged += h.quota.charged.Load()
				for id, n := range stats.RunsByRequest {
					sum[id] += n
				}
				waitFor(t, func() bool { return h.node.calls.Len() == 0 })
			}
			assert.Equal(t, charged, int64(10))
			for id, n := range sum {
				assert.Assert(t, n <= attempts, "request %s ran %d times", id, n)
				assert.Assert(t, tc.name != "healthy" || n == 4)
			}
		})
	}
}

// Guards against onward calls that belong to no call in flight: they would have no
// attempts and no workspace.
func TestOnwardCallNeedsContext(t *testing.T) {
	f := newFleet(t, "a", "b")
	h := f.startHost("a", "a", standin.BackendBehaviour{Calls: []string{"GET /b/items/1"}, DropContext: true})
	other := f.startHost("b", "b", standin.BackendBehaviour{})
	resp, body := do(t, newKeyedRequest(t, "GET", h.url+"/a/items/1", nil))
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, string(body), "onward call failed\n")
	for _, token := range []string{"", "forged-token-0000000000x"} {
		req := newKeyedRequest(t, "GET", h.local+"/b/items/1", nil)
		req.Header.Set(headerContext, token)
		resp, body = do(t, req)
		expectRefusal(t, resp, body, refusal.NoContext, refusal.RanNo)
	}
	assert.Equal(t, other.backend.Stats().Runs, int64(0))
}

// Guards requirement R7 in docs/design.md along the whole path: a repeated order must
// not run again, and must not run at all while the platform is unavailable.
func TestAtMostOnce(t *testing.T) {
	f := newFleet(t, "stock")
	hosts := []*host{f.startHost("a", "", standin.BackendBehaviour{}), f.startHost("b", "stock", standin.BackendBehaviour{})}
	dest := hosts[1]
	order := func(h *host, id, body string) (*http.Response, []byte) {
		req := newKeyedRequest(t, "POST", h.url+"/stock/once", []byte(body))
		req.Header.Set(headerRequestID, id)
		return do(t, req)
	}
	dest.backend.SetBehaviour(standin.BackendBehaviour{Shed: true})
	resp, body := order(hosts[0], "1", "order")
	expectRefusal(t, resp, body, refusal.Overload, refusal.RanNo)
	dest.backend.SetBehaviour(standin.BackendBehaviour{})
	resp, body = order(hosts[0], "1", "order")
	assert.Equal(t, resp.StatusCode, 200, "%s", body)
	assert.NilError(t, f.ledger.Close(context.Background()))
	for _, h := range hosts {
		resp, body = order(h, "1", "order")
		assert.Equal(t, string(body), "order")
		assert.Equal(t, resp.Header.Get(headerReplayed), "true")
		resp, body = order(h, "1", "another order")
		expectRefusal(t, resp, body, refusal.BadRequest, refusal.RanNo)
	}
	dest.backend.SetBehaviour(standin.BackendBehaviour{FailAfter: true})
	resp, body = order(hosts[0], "2", "order")
	expectRefusal(t, resp, body, refusal.BackendFailed, refusal.RanMaybe)
	resp, body = order(hosts[1], "2", "order")
	expectRefusal(t, resp, body, refusal.Duplicate, refusal.RanMaybe)
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	resp, body = order(hosts[0], "3", "order")
	expectRefusal(t, resp, body, refusal.LedgerUnavailable, refusal.RanNo)
	assert.DeepEqual(t, dest.backend.Stats().RunsByRequest, map[string]int{"1": 1, "2": 1})
}
