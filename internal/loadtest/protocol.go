package loadtest

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Headers of the protocol between callers, nodes and backend servers.
const (
	headerWorkspace = "Load-Workspace"
	headerTimeout   = "Load-Timeout-Ms" // remaining time, milliseconds
	headerRateLimit = "Rate-Limit"
	headerNotRun    = "Load-Not-Run"
)

// workspace is the workspace of all callers.
const workspace = "farm"

// protocol is a protocol whose calls of backend servers carry no context, as on the
// users' platform.
type protocol struct{}

// ParseRequest implements edge.Protocol.
func (protocol) ParseRequest(r *http.Request, s *config.Snapshot) (edge.ParsedRequest, *refusal.Refusal) {
	route, ok := s.MatchHost(r.Host, r.URL.Path)
	if !ok {
		return edge.ParsedRequest{}, refusal.New(refusal.NoRoute, "no route for host %q", r.Host)
	}
	left, err := strconv.Atoi(r.Header.Get(headerTimeout))
	if err != nil {
		return edge.ParsedRequest{}, refusal.New(refusal.BadRequest, "%v", err)
	}
	return edge.ParsedRequest{
		Service: route.PickService(), URL: *r.URL, Route: &route.Route, Workspace: r.Header.Get(headerWorkspace),
		Onward:     r.Header.Get(headerWorkspace) == "",
		Importance: route.Route.Importance, Timeout: time.Duration(left) * time.Millisecond,
	}, nil
}

// ConsumesHeader implements edge.Protocol.
func (protocol) ConsumesHeader(header string) bool {
	return header == headerWorkspace || header == headerTimeout
}

// ContextHeaders implements edge.Protocol.
func (protocol) ContextHeaders(d *edge.Delivery) []edge.HeaderField {
	return []edge.HeaderField{{Name: headerTimeout, Value: strconv.FormatInt(d.Remaining.Milliseconds(), 10)}}
}

// ClassifyResponse implements edge.Protocol.
func (protocol) ClassifyResponse(resp *http.Response, _ *edge.Delivery) edge.ResponseClass {
	if resp.Header.Get(headerNotRun) != "" {
		return edge.NotRun
	}
	return edge.ValidResponse
}

// Signals implements edge.Protocol.
func (protocol) Signals(resp *http.Response) edge.Signals {
	return edge.ReadSignals(resp.Header.Get(headerRateLimit), "")
}

// WriteRefusal implements edge.Protocol.
func (protocol) WriteRefusal(w http.ResponseWriter, r *refusal.Refusal) { refusal.Write(w, r) }

// PropagatesContext implements edge.Protocol.
func (protocol) PropagatesContext() bool { return false }
