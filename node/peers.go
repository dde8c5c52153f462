package node

import (
	"net/http"

	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// servePeers handles hops, the requests forwarded by other nodes. All other requests
// on the peers listener go to the handler of control messages.
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
	if err := peer.DecodeHeader(encoded, &hop); err != nil || hop.Attempts < 0 || hop.RemainingMicros < 0 {
		n.refuseHop(w, nil, &failure{refusal: refusal.New(refusal.BadRequest, "the hop header is malformed")})
		return
	}
	if hop.Target != "" && hop.Target != n.cfg.ID {
		n.refuseHop(w, nil, &failure{
			refusal: refusal.New(refusal.WrongNode, "the address belongs to node %s", n.cfg.ID), result: peer.HopResult{AttemptsUnused: hop.Attempts},
		})
		return
	}
	n.observePeer(hop.Version, hop.SenderAddress)
	n.serveHop(w, r, &hop)
}

// tokenMatches reports whether a hop has the cluster token. Without a cluster secret,
// only the network restricts access.
func (n *Node) tokenMatches(r *http.Request) bool {
	if n.cfg.ClusterSecret == "" {
		return true
	}
	return peer.TokenEqual(r.Header.Get(peer.HeaderToken), n.cfg.ClusterSecret)
}

func (n *Node) serveHop(w http.ResponseWriter, r *http.Request, hop *peer.Hop) {
	deadline := n.now().Add(hop.Remaining())
	body, refused := newRequestBody(w, r, hop.ContentLength, maxHopBody, hopBodyIdleFactor*n.cfg.BodyIdleTimeout, deadline)
	defer body.finish()
	if refused != nil {
		n.refuseHop(w, body, &failure{refusal: refused, result: peer.HopResult{AttemptsUnused: hop.Attempts, Threshold: n.threshold()}})
		return
	}
	req := &inboundRequest{
		method: r.Method, host: r.Host, header: forwardable(r.Header, 0), body: body, deadline: deadline,
		target: target{service: hop.Service, url: *r.URL},
	}
	res, f := n.deliver(r.Context(), hop, req)
	if f == nil {
		if err := res.readAhead(false); err != nil {
			f = n.incompleteHop(req, res)
		}
	}
	if f != nil {
		n.refuseHop(w, body, f)
		return
	}
	defer res.release()
	n.relayHop(w, req, res)
}

// hopBodyIdleFactor makes the destination node wait longer for a slow sender than the
// entry node, so that the entry node, to which the sender is connected, refuses the
// request.
const hopBodyIdleFactor = 2

// maxHopBody disables the limit, because the entry node has already checked the
// route's limit.
const maxHopBody = 1<<63 - 1

// incompleteHop closes and releases a response that broke off before any of it was
// forwarded, and returns the failure.
func (n *Node) incompleteHop(req *inboundRequest, res *response) *failure {
	res.close(false)
	defer res.release()
	reason := refusal.AnswerIncomplete
	if req.pastDeadline(n.now()) {
		reason = refusal.Deadline
	}
	return &failure{refusal: refusal.NewRan(reason, refusal.RanMaybe, "the answer of the backend server broke off"), result: res.result}
}

// refuseHop refuses a hop. The result is sent in a header.
func (n *Node) refuseHop(w http.ResponseWriter, body *requestBody, f *failure) {
	n.metrics.countHopRefusal(f.refusal)
	if encoded, err := peer.EncodeHeader(&f.result); err == nil {
		w.Header()[peer.TrailerHopResult] = []string{encoded}
	}
	if body != nil && !body.complete.Load() {
		w.Header().Set("Connection", "close")
	}
	refusal.Write(w, f.refusal)
}

// relayHop forwards a response to the entry node. The result is sent in a trailer or,
// if there is no body, in a header.
func (n *Node) relayHop(w http.ResponseWriter, req *inboundRequest, res *response) {
	h := w.Header()
	names := res.trailerNames()
	res.setHeaders(h, true, len(names) > 0)
	if !req.body.complete.Load() {
		h["Connection"] = []string{"close"}
	}
	if res.noBody {
		res.close(true)
		n.setResult(h, res)
		w.WriteHeader(res.status)
		return
	}
	h["Trailer"] = append(names, peer.TrailerHopResult)
	if err := res.writeTo(w, req.deadline.Add(hopGrace)); err != nil {
		n.metrics.aborted.Inc(1)
	}
	res.setTrailers(h, names)
	n.setResult(h, res)
}

func (n *Node) setResult(h http.Header, res *response) {
	if encoded, err := peer.EncodeHeader(&res.result); err == nil {
		h[peer.TrailerHopResult] = []string{encoded}
	}
}
