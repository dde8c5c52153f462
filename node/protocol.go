package node

import (
	"net/http"
	"strconv"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// nativeProtocol implements edge.Protocol for the project's own protocol.
type nativeProtocol struct{ keys KeyLookup }

// ParseRequest implements edge.Protocol.
func (p nativeProtocol) ParseRequest(r *http.Request, s *config.Snapshot) (edge.ParsedRequest, *refusal.Refusal) {
	headers, refused := parseCallerHeaders(r.Header)
	if refused != nil {
		return edge.ParsedRequest{}, refused
	}
	to, refused := splitTarget(r)
	if refused != nil {
		return edge.ParsedRequest{}, refused
	}
	if s == nil {
		return edge.ParsedRequest{}, refusal.New(refusal.NoConfiguration, "the node has no configuration yet")
	}
	parsed := edge.ParsedRequest{Service: to.service, URL: to.url, RequestID: headers.requestID, Timeout: headers.timeout}
	route, ok := s.Match(to.service, r.Method, to.url.Path)
	parsed.Route = route
	if parsed.Workspace, refused = p.workspace(s, route, headers.key); refused != nil {
		return parsed, refused
	}
	if !ok {
		return parsed, refusal.New(refusal.NoRoute, "service %q has no route for %s %s", to.service, r.Method, to.url.Path)
	}
	parsed.Importance = route.Importance
	return parsed, nil
}

// workspace returns the workspace of a key, or "" on a route open to all, which
// ignores the key. route is nil when no route matches.
func (p nativeProtocol) workspace(snapshot *config.Snapshot, route *config.Route, key string) (string, *refusal.Refusal) {
	if route != nil && route.Open {
		return "", nil
	}
	if key == "" {
		return "", refusal.New(refusal.NoKey, "the request has no %s header", headerKey)
	}
	name, err := p.keys.Lookup(key)
	if err != nil {
		return "", refusal.FromError(err)
	}
	if _, ok := snapshot.Workspace(name); !ok {
		return "", refusal.New(refusal.UnknownKey, "the key's workspace is not configured")
	}
	return name, nil
}

// ConsumesHeader implements edge.Protocol. The node never forwards headers of this
// protocol, so none has to be named here.
func (nativeProtocol) ConsumesHeader(string) bool { return false }

// ContextHeaders implements edge.Protocol.
func (nativeProtocol) ContextHeaders(d *edge.Delivery) []edge.HeaderField {
	id := d.RequestID
	if id == "" {
		id = d.CallID
	}
	fields := []edge.HeaderField{
		{Name: headerContext, Value: d.Token}, {Name: headerRequestID, Value: id},
		{Name: headerDeadline, Value: strconv.FormatInt(max(d.Remaining.Milliseconds(), 1), 10)}, {Name: headerWorkspace, Value: d.Workspace},
	}
	if d.Workspace == "" {
		return fields[:3]
	}
	return fields
}

// ClassifyResponse implements edge.Protocol.
func (nativeProtocol) ClassifyResponse(resp *http.Response, _ *edge.Delivery) edge.ResponseClass {
	switch {
	case resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerNotRun) != "true":
		return edge.ValidResponse
	case resp.Header.Get(headerDraining) == "true":
		return edge.NotRunDraining
	}
	return edge.NotRun
}

// Signals implements edge.Protocol.
func (nativeProtocol) Signals(resp *http.Response) edge.Signals {
	return edge.ReadSignals(resp.Header.Get(headerRateLimit), resp.Header.Get(headerLeaving))
}

// WriteRefusal implements edge.Protocol.
func (nativeProtocol) WriteRefusal(w http.ResponseWriter, r *refusal.Refusal) { refusal.Write(w, r) }

// PropagatesContext implements edge.Protocol.
func (nativeProtocol) PropagatesContext() bool { return true }
