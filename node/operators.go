package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

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
	mux.HandleFunc("GET /metrics", n.serveMetricsText)
	mux.Handle("GET "+report.Path, report.Handler(n.BurnReport))
	if n.cfg.OperatorsFallback != nil {
		mux.Handle("/", n.cfg.OperatorsFallback)
	}
	return mux
}

// serveHealth answers 200 while the node takes new requests and 503 otherwise.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	code := http.StatusOK
	state := n.state()
	if !n.Serving() {
		code = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(map[string]status.State{"state": state}) // a write error means that the client has disconnected
}

// Serving reports whether the node takes new requests and connections.
func (n *Node) Serving() bool { return n.state() == status.Serving && n.callers.Accepting() }

func (n *Node) state() status.State {
	switch {
	case n.draining.Load():
		return status.Draining
	case n.cfg.Configuration.Current() == nil:
		return status.Starting
	}
	return status.Serving
}

// Status returns the status of this node. It is safe for concurrent use.
func (n *Node) Status() status.Node {
	s := status.Node{
		Node: n.cfg.ID, Incarnation: n.cfg.Incarnation, DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, State: n.state(),
		Endpoints: []status.Endpoint{}, Workspaces: []status.WorkspaceShare{}, Thresholds: []status.Threshold{},
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
	if n.cfg.ExtendStatus != nil {
		n.cfg.ExtendStatus(&s)
	}
	return s
}

// serveMetricsText serves one line for each counter and gauge, and five for each
// histogram: count, mean, p50, p90 and p99.
func (n *Node) serveMetricsText(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	n.metrics.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			h := m.Snapshot()
			quantiles := h.Percentiles([]float64{0.5, 0.9, 0.99})
			lines = append(lines,
				fmt.Sprintf("%s.count %d", name, h.Count()), fmt.Sprintf("%s.mean %.0f", name, h.Mean()),
				fmt.Sprintf("%s.p50 %.0f", name, quantiles[0]), fmt.Sprintf("%s.p90 %.0f", name, quantiles[1]),
				fmt.Sprintf("%s.p99 %.0f", name, quantiles[2]))
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n") // a write error means that the client has disconnected
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.metrics.registry, w)
}
