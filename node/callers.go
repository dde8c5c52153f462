package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/dotterelseam/dotterelseam/attempt"
	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/pipeline"
	"github.com/dotterelseam/dotterelseam/ledger"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/report"
)

// refusedBodyTimeout is how long the refusal of a request with a short body waits for
// the body. If the connection were closed instead, the caller would need a new one for
// each refused request.
const refusedBodyTimeout = 20 * time.Millisecond

// Refusals of requests that are not parsed, shared by all of them.
var (
	errStopping = refusal.New(refusal.Draining, "the node is stopping")
	errFull     = refusal.New(refusal.Overload, "the node has too many requests in flight").WithRetryAfter(100 * time.Millisecond)
)

// serveCallers handles a request on the callers listener.
func (n *Node) serveCallers(w http.ResponseWriter, r *http.Request) {
	n.metrics.requests.Inc(1)
	if !n.inFlight.begin() {
		n.rejectEarly(w, r, errStopping)
		return
	}
	defer n.inFlight.end()
	if n.inFlight.count() > n.cfg.MaxRequests {
		n.rejectEarly(w, r, errFull)
		return
	}
	c, parsed, refused := n.accept(r)
	if refused != nil {
		if n.versions != nil && (refused.Reason == refusal.UnknownKey || refused.Reason == refusal.NoRoute) {
			n.versions.CheckForUpdate()
		}
		n.burn.record(routeSeries(parsed.Service, parsed.Route), report.RefusalOutcome(refused, false), n.now())
		n.refuseUnaccepted(w, r, &parsed, refused)
		return
	}
	if refused := n.charge(r.Context(), c); refused != nil {
		n.refuse(w, r, c, refused)
		return
	}
	n.serveCall(w, r, c)
}

// rejectEarly refuses a request before it is parsed.
func (n *Node) rejectEarly(w http.ResponseWriter, r *http.Request, refused *refusal.Refusal) {
	n.burn.record(seriesKey{}, report.RefusalOutcome(refused, false), n.now())
	n.refuseUnaccepted(w, r, &edge.ParsedRequest{}, refused)
}

// accept parses a caller's request, maps its key to a workspace and finds its route.
// With a refusal it returns what is known about the request.
func (n *Node) accept(r *http.Request) (*call, edge.ParsedRequest, *refusal.Refusal) {
	if !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0 a truncated response of unknown length looks complete.
		return nil, edge.ParsedRequest{}, refusal.New(refusal.BadRequest, "HTTP/1.1 is required")
	}
	if headerBytes(r.Header)+len(r.RequestURI) > n.cfg.MaxHeaderBytes {
		return nil, edge.ParsedRequest{}, refusal.New(refusal.HeadersTooLarge, "the headers are longer than %d bytes", n.cfg.MaxHeaderBytes)
	}
	snapshot := n.cfg.Configuration.Current()
	parsed, refused := n.cfg.Protocol.ParseRequest(r, snapshot)
	if refused != nil {
		return nil, parsed, refused
	}
	route := parsed.Route
	to := target{service: parsed.Service, url: parsed.URL}
	c := n.newCall(r, to, route, min(route.Timeout, orDefault(parsed.Timeout, route.Timeout)))
	c.info = attempt.Info{
		CallID: newCallID(), RequestID: parsed.RequestID, Workspace: parsed.Workspace,
		Importance: parsed.Importance, Deadline: c.req.deadline,
	}
	c.onward = parsed.Onward
	c.budget = attempt.NewBudget(route.Attempts)
	if w, known := snapshot.Workspace(parsed.Workspace); known {
		n.burn.recordDemand(w, c.arrived)
	}
	return c, parsed, nil
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// newCall returns a call whose info and budget still have to be set.
func (n *Node) newCall(r *http.Request, to target, route *config.Route, timeout time.Duration) *call {
	now := n.now()
	return &call{node: n, route: route, dest: n.destination(to.service), arrived: now, req: &inboundRequest{
		method: r.Method, host: r.Host, target: to, header: n.callerHeader(r.Header), deadline: now.Add(timeout),
	}}
}

// callerHeader returns the headers of a request that are forwarded to the backend
// server.
func (n *Node) callerHeader(h http.Header) http.Header {
	out := forwardable(h, 0)
	for name := range out {
		if n.cfg.Protocol.ConsumesHeader(name) {
			delete(out, name)
		}
	}
	return out
}

// charge checks whether the destination admits the call and charges the quota of its
// workspace. Requests on open routes belong to no workspace and are not charged.
func (n *Node) charge(ctx context.Context, c *call) *refusal.Refusal {
	if !c.dest.balancer.Admits(c.pickInfo()) {
		pick, err := c.dest.balancer.Pick(c.pickInfo())
		if err != nil {
			return refusal.FromError(err)
		}
		pick.Done(balancer.Result{Outcome: balancer.Cancelled}) // an endpoint became available in the meantime
	}
	if c.info.Workspace == "" {
		return nil
	}
	if !c.dest.admitRatios.admits(c.route.Pattern, c.info.Importance, c.arrived) {
		return c.throttled()
	}
	charge, err := n.cfg.Quota.Charge(ctx, c.info.Workspace)
	if err != nil {
		return refusal.FromError(err)
	}
	c.charge = newHeldCharge(charge)
	return nil
}

// serveCall reads the body, consults the ledger and runs the call.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request, c *call) {
	body, refused := newRequestBody(w, r, r.ContentLength, c.route.MaxBody, n.cfg.BodyIdleTimeout, c.req.deadline)
	c.req.body = body
	defer body.finish()
	if refused != nil {
		n.refuse(w, r, c, refused)
		return
	}
	if !c.usesLedger() {
		n.runCall(w, r, c, nil)
		return
	}
	entry, recorded, err := n.cfg.Ledger.Begin(r.Context(), ledger.Request{
		Workspace: c.info.Workspace, RequestID: c.info.RequestID, Digest: c.digest(),
	})
	switch {
	case err != nil:
		n.refuse(w, r, c, refusal.FromError(err))
	case recorded != nil:
		c.charge.sent()
		writeReplay(w, recorded)
		c.recordResponse(r.Context(), recorded.Status, true)
	default:
		n.runCall(w, r, c, entry)
	}
}

// runCall runs a call and sends its response or refusal. entry is nil unless the
// ledger is used.
func (n *Node) runCall(w http.ResponseWriter, r *http.Request, c *call, entry *ledger.Entry) {
	ctx, cancel := context.WithDeadline(r.Context(), c.req.deadline.Add(hopGrace))
	defer cancel()
	res, refused := c.run(ctx)
	if refused != nil {
		recordLedgerRefusal(entry, refused)
		n.refuse(w, r, c, refused)
		return
	}
	defer res.release()
	c.charge.sent()
	n.relay(w, r, c, res, func() {
		c.settleResponse(ctx, res)
		recordLedgerResponse(entry, res)
	})
}

// recordLedgerRefusal releases the request ID of a request that certainly did not run,
// so that the caller may repeat it. It does so even if the caller has disconnected,
// and therefore does not use the context of the request.
func recordLedgerRefusal(entry *ledger.Entry, refused *refusal.Refusal) {
	switch {
	case entry == nil:
	case refused.Ran == refusal.RanNo:
		entry.Abandon(context.Background())
	default:
		entry.KeepStarted()
	}
}

// recordLedgerResponse records a closed response in the ledger.
func recordLedgerResponse(entry *ledger.Entry, res *response) {
	switch {
	case entry == nil:
	case !res.result.Complete:
		entry.KeepStarted()
	case !res.fullyBuffered:
		entry.Done(ledger.Answer{Status: res.status, Omitted: true})
	default:
		entry.Done(ledger.Answer{Status: res.status, ContentType: res.httpResp.Header.Get("Content-Type"), Body: slices.Clone(res.buffered)})
	}
}

// relay forwards a response to the caller. If the caller cannot receive all of it, its
// connection is aborted. ended is called when the exchange has ended, which is before
// the caller sees the end of the response.
func (n *Node) relay(w http.ResponseWriter, r *http.Request, c *call, res *response, ended func()) {
	h := w.Header()
	names := res.trailerNames()
	res.setHeaders(h, false, len(names) > 0)
	if len(names) > 0 {
		h["Trailer"] = names
	}
	if !c.req.body.complete.Load() {
		h["Connection"] = []string{"close"}
	}
	res.setOnEnd(ended)
	if err := res.writeTo(w, c.req.deadline.Add(hopGrace)); err != nil {
		n.metrics.aborted.Inc(1)
		c.recordResponse(r.Context(), res.status, false)
		c.logResponse(res.status, false)
		panic(http.ErrAbortHandler)
	}
	res.setTrailers(h, names)
	n.metrics.answered.Inc(1)
	n.metrics.recordLatency(c.req.target.service, n.now().Sub(c.arrived))
	c.logResponse(res.status, true)
	c.recordResponse(r.Context(), res.status, true)
}

func (c *call) usesLedger() bool {
	return c.route.AtMostOnce && c.info.RequestID != ""
}

// digest returns a hash that identifies the content of a request. Only the length of a
// body that is not fully buffered is included.
func (c *call) digest() (digest [sha256.Size]byte) {
	sum := sha256.New()
	for _, part := range []string{c.req.method, c.req.target.service, c.req.target.url.RequestURI(), strconv.FormatInt(c.req.body.declaredLength, 10)} {
		_, _ = sum.Write([]byte(part + "\n"))
	}
	if c.req.body.fullyBuffered {
		_, _ = sum.Write(c.req.body.buffered)
	}
	sum.Sum(digest[:0])
	return digest
}

func writeReplay(w http.ResponseWriter, recorded *ledger.Answer) {
	h := w.Header()
	if recorded.ContentType != "" {
		h["Content-Type"] = []string{recorded.ContentType}
	}
	h.Set(headerReplayed, "true")
	h.Set("Content-Length", strconv.Itoa(len(recorded.Body)))
	w.WriteHeader(recorded.Status)
	_, _ = w.Write(recorded.Body) // a write error means that the caller has disconnected
}

// logID returns the ID under which the call appears in logs.
func (c *call) logID() string {
	if c.info.RequestID != "" {
		return c.info.RequestID
	}
	return c.info.CallID
}

// newCallID returns a random ID. It needs to be unique, not secret.
func newCallID() string {
	var b [16]byte
	hi, lo := rand.Uint64(), rand.Uint64()
	for i := range 8 {
		b[i], b[8+i] = byte(hi>>(8*i)), byte(lo>>(8*i))
	}
	return hex.EncodeToString(b[:])
}

// refuse ends a call with a refusal.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, c *call, refused *refusal.Refusal) {
	n.metrics.countRefusal(refused)
	c.charge.refused(refused)
	c.recordRefusal(r.Context(), refused)
	c.logRefusal(r.Context(), refused)
	n.writeRefusal(w, r, c, refused)
}

// refuseUnaccepted sends the refusal of a request that was not accepted as a call.
func (n *Node) refuseUnaccepted(w http.ResponseWriter, r *http.Request, parsed *edge.ParsedRequest, refused *refusal.Refusal) {
	n.metrics.countRefusal(refused)
	n.log.unaccepted(parsed.RequestID, parsed.Service, n.version(), refused)
	n.writeRefusal(w, r, nil, refused)
}

// writeRefusal sends a refusal; c is nil when the request was not accepted.
func (n *Node) writeRefusal(w http.ResponseWriter, r *http.Request, c *call, refused *refusal.Refusal) {
	// A refusal during a stop closes the connection so that the caller turns to another
	// node, unless that would cut off answers to later requests of the connection.
	if !bodyConsumed(w, r, c) || n.stopping.Load() && pipeline.EndAfterAnswer(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	n.cfg.Protocol.WriteRefusal(w, refused)
}

// bodyConsumed reports whether the body of a refused request has been read, so that
// the connection can be reused. A body of at most maxReplayBody bytes is read here;
// the refusal does not wait for a longer one.
func bodyConsumed(w http.ResponseWriter, r *http.Request, c *call) bool {
	if c != nil && c.req.body != nil {
		return c.req.body.complete.Load()
	}
	if r.ContentLength == 0 {
		return true
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // otherwise net/http would wait for the body
	if r.ContentLength < 0 || r.ContentLength > maxReplayBody {
		return false
	}
	_ = control.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	_, err := io.Copy(io.Discard, r.Body)
	_ = control.SetReadDeadline(time.Time{})
	return err == nil
}
