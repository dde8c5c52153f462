package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/peer"
)

// signallingServer is a backend server that sends signal, a header field, with its first
// response. It holds each later request until release is closed.
type signallingServer struct {
	signal   edge.HeaderField
	received chan struct{} // one value for each request
	release  chan struct{}
}

func newSignallingServer(signal edge.HeaderField) *signallingServer {
	return &signallingServer{signal: signal, received: make(chan struct{}, 10), release: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *signallingServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.received <- struct{}{}
	if s.signal.Name == "" {
		<-s.release
		return
	}
	w.Header().Set(s.signal.Name, s.signal.Value)
	s.signal = edge.HeaderField{}
}

// startSignallingServer starts s beside the host h as a server of stock, and returns its
// announcement.
func (f *fleet) startSignallingServer(h *host, s *signallingServer) edge.Announcement {
	f.t.Helper()
	srv := httptest.NewServer(s)
	f.t.Cleanup(srv.CloseClientConnections)
	a := edge.Announcement{
		Service: "stock", Address: srv.Listener.Addr().String(), Slots: 8, Connections: 8, State: "serving",
		Instance: "i-1", Started: 1,
	}
	f.announce(h, a)
	return a
}

// Guards against a node that forgets, when it is restarted, the limit that its backend server has named, and against a server that inherits the limit of another start.
func TestRestartedNodeLearnsLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		started int64
		want    float64
	}{
		"same server":   {1, 100},
		"started anew":  {2, edge.NoRateLimit},
		"start unknown": {0, edge.NoRateLimit},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "stock")
			entry, before := f.startHost("a", "", standin.BackendBehaviour{}), f.startHost("b", "", standin.BackendBehaviour{})
			s := newSignallingServer(edge.HeaderField{Name: headerRateLimit, Value: "100"})
			a := f.startSignallingServer(before, s)
			resp, _ := do(t, newKeyedRequest(t, "GET", entry.url+"/stock/items/1", nil))
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			<-s.received
			assert.Equal(t, before.node.backend.rateLimit(), 100.0)

			before.node.close()
			after := f.startHost("b", "", standin.BackendBehaviour{})
			a.Started = tc.started
			f.announce(after, a)
			assert.Equal(t, after.node.backend.rateLimit(), edge.NoRateLimit)
			done := make(chan struct{})
			go func() {
				defer close(done)
				do(t, newKeyedRequest(t, "GET", entry.url+"/stock/items/1", nil))
			}()
			<-s.received
			assert.Equal(t, after.node.backend.rateLimit(), tc.want)
			close(s.release)
			<-done
		})
	}
}

// Guards against new requests to a backend server that says only in its responses that it leaves: while its announcements say serving, after they were late, and after a restart of the node beside it.
func TestLeavingNamedInResponses(t *testing.T) {
	again := func(_ *fleet, h *host, a *edge.Announcement) *host { return h }
	for name, tc := range map[string]struct {
		then    func(f *fleet, h *host, a *edge.Announcement) *host // returns the host on which the server is announced again
		leaving bool
	}{
		"announced as serving again": {again, true},
		"late announcements": {func(_ *fleet, h *host, _ *edge.Announcement) *host {
			h.node.backend.expire(h.node.now().Add(time.Hour))
			return h
		}, true},
		"node restarted": {func(f *fleet, h *host, _ *edge.Announcement) *host {
			h.node.close()
			return f.startHost("b", "", standin.BackendBehaviour{})
		}, true},
		"other server at the address": {func(_ *fleet, h *host, a *edge.Announcement) *host {
			a.Instance, a.Started = "i-2", a.Started+1
			return h
		}, false},
		"started anew": {func(_ *fleet, h *host, a *edge.Announcement) *host {
			a.Started++
			return h
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "stock")
			entry, h := f.startHost("a", "", standin.BackendBehaviour{}), f.startHost("b", "", standin.BackendBehaviour{})
			s := newSignallingServer(edge.HeaderField{Name: headerLeaving, Value: "1"})
			close(s.release)
			a := f.startSignallingServer(h, s)
			resp, _ := do(t, newKeyedRequest(t, "GET", entry.url+"/stock/items/1", nil))
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			<-s.received
			waitFor(t, func() bool { return f.directory.Endpoints("stock")[0].State == balancer.Draining })

			h = tc.then(f, h, &a)
			f.announce(h, a)
			hop := &peer.Hop{CallID: "c", Service: "stock", Attempts: 1, RemainingMicros: 1e6, Backend: entry.node.reports.get("b")}
			encoded, err := peer.EncodeHeader(hop)
			assert.NilError(t, err)
			req := newRequest(t, "GET", h.peers+"/items/1", nil)
			req.Header.Set(peer.HeaderHop, encoded)
			req.Header.Set(peer.HeaderToken, testSecret)
			do(t, req)
			assert.Equal(t, len(s.received) == 0, tc.leaving)
		})
	}
}

// Guards against a report about a backend server that is deleted when its node refuses a request: a node that is restarted next would not learn that its server leaves.
func TestReportSurvivesRefusal(t *testing.T) {
	f := newFleet(t, "stock")
	entry, h := f.startHost("a", "", standin.BackendBehaviour{}), f.startHost("b", "", standin.BackendBehaviour{})
	s := newSignallingServer(edge.HeaderField{Name: headerLeaving, Value: "1"})
	close(s.release)
	f.startSignallingServer(h, s)
	for range 3 {
		do(t, newKeyedRequest(t, "GET", entry.url+"/stock/items/1", nil))
	}
	assert.Equal(t, len(s.received), 1)
	assert.Assert(t, entry.node.reports.get("b").Leaving)
}

// Guards against reports of hosts that are gone and fill the memory.
func TestReportsExpire(t *testing.T) {
	var reports backendReports
	now := time.Now()
	result := &peer.HopResult{Threshold: peer.Threshold{Limit: 1}, Backend: &peer.BackendReport{Leaving: true}}
	reports.record("gone", result, now)
	now = now.Add(backendReportLifetime / 2)
	reports.record("in use", result, now)
	assert.Assert(t, reports.get("gone") != nil)
	now = now.Add(backendReportLifetime/2 + time.Second)
	reports.record("new", result, now)
	assert.Assert(t, reports.get("gone") == nil)
	assert.Assert(t, reports.get("in use") != nil && reports.get("new") != nil)
}
