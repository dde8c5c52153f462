package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/standin"
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

// Guards against a node that forgets, when it is restarted, the limit that its backend
// server has named, and against a server that inherits the limit of another start.
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
