package node

import (
	"net/http"

	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// servePeers handles data hops. Everything else on the peers listener goes to
// the handler of control messages.
func (n *Node) servePeers(w http.ResponseWriter, r *http.Request) {
	encoded := r.Header.Get(peer.HeaderHop)
	if encoded == "" {
		if n.cfg.Control != nil {
			n.cfg.Control.ServeHTTP(w, r)
			return
		}
		http.NotFound(w, r)
		return
	}
	if !n.tokenMatches(r) {
		n.log.sampled("hop_refused", "remote", r.RemoteAddr, "error", "cluster token does not match")
		http.Error(w, "cluster token does not match", http.StatusForbidden)
		return
	}
	n.hopsInFlight.Add(1)
	defer n.hopsInFlight.Add(-1)
	var hop peer.Hop
	if err := peer.DecodeHeader(encoded, &hop); err != nil || hop.Attempts < 0 || hop.DeadlineMicros < 0 {
		n.refuseHop(w, nil, &failure{refusal: refusal.New(refusal.BadRequest, "the hop header is malformed")})
		return
	}
	if hop.Target != "" && hop.Target != n.cfg.ID {
		n.refuseHop(w, nil, &failure{
			refusal: refusal.New(refusal.WrongNode, "the address belongs to node %s", n.cfg.ID), result: peer.HopResult{AttemptsUnused: hop.Attempts},
		})
		return
	}
	n.heard(hop.Version, hop.From)
	n.serveHop(w, r, &hop)
}

// tokenMatches reports whether a hop comes from a node of the fleet. Without a
// secret the network alone keeps others out.
func (n *Node) tokenMatches(r *http.Request) bool {
	if n.cfg.ClusterSecret == "" {
		return true
	}
	return peer.TokenEqual(r.Header.Get(peer.HeaderToken), n.cfg.ClusterSecret)
}

func (n *Node) serveHop(w http.ResponseWriter, r *http.Request, hop *peer.Hop) {
	deadline := n.now().Add(hop.Deadline())
	body, refused := newUpload(w, r, hop.ContentLength, maxHopBody, hopPatience*n.cfg.BodyIdleTimeout, deadline)
	defer body.finish()
	if refused != nil {
		n.refuseHop(w, body, &failure{refusal: refused, result: peer.HopResult{AttemptsUnused: hop.Attempts, Threshold: n.threshold()}})
		return
	}
	in := &incoming{
		method: r.Method, host: r.Host, header: forwardable(r.Header, 0), body: body, deadline: deadline,
		target: target{service: hop.Service, url: *r.URL},
	}
	a, f := n.deliver(r.Context(), hop, in)
	if f == nil {
		if err := a.readAhead(false); err != nil {
			f = n.brokenHop(in, a)
		}
	}
	if f != nil {
		n.refuseHop(w, body, f)
		return
	}
	defer a.release()
	n.relayHop(w, in, a)
}

// hopPatience makes the destination node wait longer for a slow sender than the
// entry node, which knows the sender and refuses the request.
const hopPatience = 2

// maxHopBody is no limit: the entry node has checked the route's limit.
const maxHopBody = 1<<63 - 1

// brokenHop turns an answer that broke off before any of it was passed on
// into a failure.
func (n *Node) brokenHop(in *incoming, a *answer) *failure {
	a.close(false)
	defer a.release()
	reason := refusal.AnswerIncomplete
	if in.late(n.now()) {
		reason = refusal.Deadline
	}
	return &failure{refusal: refusal.NewRan(reason, refusal.RanMaybe, "the answer of the backend server broke off"), result: a.result}
}

// refuseHop answers a hop with a refusal; its result travels as a header.
func (n *Node) refuseHop(w http.ResponseWriter, body *upload, f *failure) {
	n.metrics.hopRefused(f.refusal)
	if encoded, err := peer.EncodeHeader(&f.result); err == nil {
		w.Header()[peer.TrailerHopResult] = []string{encoded}
	}
	if body != nil && !body.complete.Load() {
		w.Header().Set("Connection", "close")
	}
	refusal.Write(w, f.refusal)
}

// relayHop passes an answer on to the entry node, with the result as a trailer
// or, if there is no body, as a header.
func (n *Node) relayHop(w http.ResponseWriter, in *incoming, a *answer) {
	h := w.Header()
	names := a.trailerNames()
	a.setHeaders(h, true, len(names) > 0)
	if !in.body.complete.Load() {
		h["Connection"] = []string{"close"}
	}
	if a.noBody {
		a.close(true)
		n.setResult(h, a)
		w.WriteHeader(a.status)
		return
	}
	h["Trailer"] = append(names, peer.TrailerHopResult)
	if err := a.writeTo(w, in.deadline.Add(hopGrace)); err != nil {
		n.metrics.aborted.Inc(1)
	}
	a.setTrailers(h, names)
	n.setResult(h, a)
}

func (n *Node) setResult(h http.Header, a *answer) {
	if encoded, err := peer.EncodeHeader(&a.result); err == nil {
		h[peer.TrailerHopResult] = []string{encoded}
	}
}
