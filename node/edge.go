package node

import (
	"net/http"
	"strconv"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// ownEdge is the project's own protocol.
type ownEdge struct{ keys KeyLookup }

// Accept implements Edge.
func (o ownEdge) Accept(r *http.Request, s *config.Snapshot) (edge.Accepted, *refusal.Refusal) {
	from, refused := parseCallerHeaders(r.Header)
	if refused != nil {
		return edge.Accepted{}, refused
	}
	to, refused := splitTarget(r)
	if refused != nil {
		return edge.Accepted{}, refused
	}
	if s == nil {
		return edge.Accepted{}, refusal.New(refusal.NoConfiguration, "the node has no configuration yet")
	}
	a := edge.Accepted{Service: to.service, URL: to.url, RequestID: from.requestID, Timeout: from.timeout}
	route, ok := s.Match(to.service, r.Method, to.url.Path)
	a.Route = route
	if a.Workspace, refused = o.workspace(s, route, from.key); refused != nil {
		return a, refused
	}
	if !ok {
		return a, refusal.New(refusal.NoRoute, "service %q has no route for %s %s", to.service, r.Method, to.url.Path)
	}
	a.Importance = route.Importance
	return a, nil
}

// workspace returns the workspace of a key; routes open to all need none and
// ignore the key. route is nil when no route matches.
func (o ownEdge) workspace(snapshot *config.Snapshot, route *config.Route, key string) (string, *refusal.Refusal) {
	if route != nil && route.Open {
		return "", nil
	}
	if key == "" {
		return "", refusal.New(refusal.NoKey, "the request has no %s header", headerKey)
	}
	name, err := o.keys.Lookup(key)
	if err != nil {
		return "", refusal.From(err)
	}
	if _, ok := snapshot.Workspace(name); !ok {
		return "", refusal.New(refusal.UnknownKey, "the key's workspace is not configured")
	}
	return name, nil
}

// Private implements Edge. The headers of the project never leave a node anyway.
func (ownEdge) Private(string) bool { return false }

// Context implements Edge.
func (ownEdge) Context(d *edge.Delivery) []edge.Field {
	id := d.RequestID
	if id == "" {
		id = d.CallID
	}
	fields := []edge.Field{
		{Name: headerContext, Value: d.Token}, {Name: headerRequestID, Value: id},
		{Name: headerDeadline, Value: strconv.FormatInt(max(d.Left.Milliseconds(), 1), 10)}, {Name: headerWorkspace, Value: d.Workspace},
	}
	if d.Workspace == "" {
		return fields[:3]
	}
	return fields
}

// Inspect implements Edge.
func (ownEdge) Inspect(resp *http.Response, _ *edge.Delivery) edge.Inspection {
	switch {
	case resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerNotRun) != "true":
		return edge.Genuine
	case resp.Header.Get(headerDraining) == "true":
		return edge.NotRunLeaving
	}
	return edge.NotRun
}

// Refuse implements Edge.
func (ownEdge) Refuse(w http.ResponseWriter, r *refusal.Refusal) { refusal.Write(w, r) }

// Contextual implements Edge.
func (ownEdge) Contextual() bool { return true }
