package node

import (
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"github.com/dotterelseam/dotterelseam/report"
	"github.com/dotterelseam/dotterelseam/status"
)

// operators returns the handler of the operators listener.
func (n *Node) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", n.serveHealth)
	mux.Handle("GET "+status.Path, status.Handler(n.Status))
	mux.HandleFunc("GET /v1/metrics", n.serveMetrics)
	mux.Handle("GET "+report.Path, report.Handler(n.Burn))
	if n.cfg.OperatorsExtra != nil {
		mux.Handle("/", n.cfg.OperatorsExtra)
	}
	return mux
}

// serveHealth answers 200 while the node takes new requests and 503 otherwise.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	code := http.StatusOK
	state := n.state()
	if state != status.Serving {
		code = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(map[string]status.State{"state": state}) // a write error means that the client is gone
}

// Serving reports whether the node takes new requests.
func (n *Node) Serving() bool { return n.state() == status.Serving }

func (n *Node) state() status.State {
	switch {
	case n.leaving.Load():
		return status.Draining
	case n.cfg.Configuration.Current() == nil:
		return status.Starting
	}
	return status.Serving
}

// Status returns the report of this node.
func (n *Node) Status() status.Node {
	s := status.Node{
		Node: n.cfg.ID, Incarnation: n.cfg.Incarnation, DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, State: n.state(),
		Endpoints: []status.Endpoint{}, Workspaces: []status.Workspace{}, Thresholds: []status.Threshold{},
	}
	snapshot := n.cfg.Configuration.Current()
	s.SetSnapshot(snapshot)
	if snapshot != nil {
		for _, service := range snapshot.Document.Services {
			for _, e := range n.cfg.Directory.Endpoints(service.Name) {
				s.Endpoints = append(s.Endpoints, status.FromEndpoint(e))
			}
		}
	}
	if b := n.backend.current.Load(); b != nil {
		s.Thresholds = append(s.Thresholds, status.FromThreshold(b.Service, n.cfg.ID, b.admission.Threshold()))
	}
	if n.cfg.Report != nil {
		n.cfg.Report(&s)
	}
	return s
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.metrics.registry, w)
}
