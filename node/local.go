package node

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/dotterelseam/dotterelseam/attempt"
	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/report"
)

const (
	announcePath        = "/v1/announce"
	maxAnnouncementBody = 4 << 10 // bytes
)

// serveLocal handles announcements and onward calls of the backend server on the local
// listener.
func (n *Node) serveLocal(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == announcePath {
		n.serveAnnounce(w, r)
		return
	}
	n.metrics.onward.Inc(1)
	parent, c, refused := n.acceptOnward(r)
	if refused != nil {
		if parent != nil {
			parent.MarkRetried()
		}
		if c == nil {
			n.burn.record(seriesKey{onward: true}, report.RefusalOutcome(refused, false), n.now())
			n.refuseUnaccepted(w, r, &edge.ParsedRequest{}, refused)
			return
		}
		n.refuse(w, r, c, refused)
		return
	}
	n.serveOnward(w, r, parent, c)
}

// acceptOnward parses an onward call, finds the call in flight that it belongs to (its
// parent) and takes its attempts from the parent's budget. With a refusal it returns
// the parent and the call as far as they are known.
func (n *Node) acceptOnward(r *http.Request) (*attempt.Call, *call, *refusal.Refusal) {
	token, refused := singleValue(r.Header, headerContext)
	if refused != nil {
		return nil, nil, refused
	}
	parent, ok := n.calls.Lookup(token)
	if !ok {
		return nil, nil, refusal.New(refusal.NoContext, "the request carries no %s of a call in flight", headerContext)
	}
	to, refused := splitTarget(r)
	if refused != nil {
		return parent, nil, refused
	}
	snapshot := n.cfg.Configuration.Current()
	if snapshot == nil {
		return parent, nil, refusal.New(refusal.NoConfiguration, "the node has no configuration yet")
	}
	route, ok := snapshot.Match(to.service, r.Method, to.url.Path)
	if !ok {
		return parent, nil, refusal.New(refusal.NoRoute, "service %q has no route for %s %s", to.service, r.Method, to.url.Path)
	}
	c := n.newCall(r, to, route, min(route.Timeout, parent.Deadline.Sub(n.now())))
	c.admitted, c.parent = true, parent
	c.info = parent.Info
	c.info.Depth++
	c.info.Deadline = c.req.deadline
	given := parent.Budget.Split(route.Attempts)
	if given == 0 {
		return parent, c, refusal.New(refusal.AttemptsExhausted, "the call tree has used all its attempts")
	}
	c.budget = attempt.NewBudget(given)
	return parent, c, nil
}

// serveOnward runs an onward call. It is cancelled when its parent ends.
func (n *Node) serveOnward(w http.ResponseWriter, r *http.Request, parent *attempt.Call, c *call) {
	defer c.returnBudget()
	body, refused := newRequestBody(w, r, r.ContentLength, c.route.MaxBody, n.cfg.BodyIdleTimeout, c.req.deadline)
	c.req.body = body
	defer body.finish()
	ctx, cancel := context.WithDeadline(r.Context(), c.req.deadline.Add(hopGrace))
	defer cancel()
	defer context.AfterFunc(parent.Context(), cancel)()
	var res *response
	if refused == nil && parent.Overloaded(c.req.target.service) {
		refused = refusal.New(refusal.Overload, "an earlier call of this request to the service was refused for overload")
	}
	if refused == nil {
		res, refused = c.run(ctx)
	}
	if refused != nil {
		// This node is directly above the failure in the call tree and has decided
		// about retries, so the nodes further up must not retry.
		parent.MarkRetried()
		if refused.Reason == refusal.Overload {
			parent.MarkOverloaded(c.req.target.service)
		}
		n.refuse(w, r, c, refused)
		return
	}
	defer res.release()
	if res.status >= http.StatusInternalServerError {
		parent.MarkRetried()
	}
	n.relay(w, r, c, res, func() { c.settleResponse(ctx, res) })
}

// serveAnnounce handles POST /v1/announce.
func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		refusal.Write(w, refusal.New(refusal.BadRequest, "announcements are posted"))
		return
	}
	var a edge.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		refusal.Write(w, refusal.New(refusal.BadRequest, "announcement: %v", err))
		return
	}
	if err := n.Announce(r.Context(), a); err != nil {
		refusal.Write(w, refusal.FromError(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// publish announces the backend server on this host to the directory if its endpoint
// has changed since the last time.
func (n *Node) publish() {
	n.publishMu.Lock()
	defer n.publishMu.Unlock()
	e := n.ownEndpoint()
	if e == n.published {
		return
	}
	n.published = e
	if e == (balancer.Endpoint{}) {
		n.cfg.Directory.Announce(nil)
		return
	}
	n.cfg.Directory.Announce(&e)
}

// ownEndpoint returns the endpoint of this host. Without a backend server it is one that
// serves nothing if the directory has to store which start has left, and the zero value
// otherwise.
func (n *Node) ownEndpoint() balancer.Endpoint {
	e := balancer.Endpoint{
		Node: n.cfg.ID, Incarnation: n.cfg.Incarnation, PeerAddress: n.cfg.PeerAddress,
		DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, Service: n.cfg.Service, State: balancer.Starting,
	}
	b := n.backend.current.Load()
	switch {
	case b == nil && n.store != nil && n.recalled.isOpen() && !n.backend.departures().IsZero():
		return e
	case b == nil:
		return balancer.Endpoint{}
	}
	e.Service, e.Slots, e.Connections, e.State, e.ColdStart = b.Service, b.Slots, b.Connections, b.state, b.ColdStart()
	if n.draining.Load() || n.backend.draining(b, n.now()) {
		e.State = balancer.Draining
	}
	return e
}
