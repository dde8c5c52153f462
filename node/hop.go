package node

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	// hopGrace is how long a node waits after the deadline for the refusal of the
	// destination node, which knows better whether the request ran.
	hopGrace = 10 * time.Millisecond
	// maxRefusalBody limits what is read of a refusal's body.
	maxRefusalBody = 4 << 10 // bytes
)

// hopExchange is the exchange of one request with a destination node.
type hopExchange struct {
	node *Node
	req  *inboundRequest
	ctx  context.Context
	sent bool
}

// forward sends a request to the node of an endpoint. It returns the response, which
// must be closed, or the failure. ctx should end hopGrace after the deadline.
func (n *Node) forward(ctx context.Context, e balancer.Endpoint, hop *peer.Hop, req *inboundRequest) (*response, *failure) {
	x := &hopExchange{node: n, req: req, ctx: ctx}
	encoded, err := peer.EncodeHeader(hop)
	if err != nil {
		return nil, x.fail(&failure{refusal: refusal.New(refusal.Internal, "%v", err)}, hop)
	}
	resp, sent, err := n.hops.roundTrip(x.ctx, &outboundRequest{
		method: req.method, address: e.PeerAddress, host: req.host, url: &req.target.url, header: req.header,
		extraHeaders: []edge.HeaderField{{Name: peer.HeaderHop, Value: encoded}, {Name: peer.HeaderToken, Value: n.cfg.ClusterSecret}}, body: req.body, chunked: true,
	})
	x.sent = sent
	if err != nil {
		if sent && ctx.Err() == nil {
			n.hops.closeIdle(e.PeerAddress)
		}
		return nil, x.fail(x.exchangeFailure(err), hop)
	}
	return x.parseResponse(resp, hop)
}

// fail completes a failure: all attempts of an unsent request are unused.
func (x *hopExchange) fail(f *failure, hop *peer.Hop) *failure {
	if !x.sent {
		f.result.AttemptsUnused = hop.Attempts
	}
	return f
}

// exchangeFailure returns the failure for an exchange without a response.
func (x *hopExchange) exchangeFailure(err error) *failure {
	f := &failure{outcome: balancer.Failed}
	ran := refusal.RanNo
	if x.sent {
		ran = refusal.RanMaybe
	}
	if x.ctx.Err() != nil {
		f.outcome = balancer.Cancelled
	}
	if f.refusal = cutOffRefusal(x.ctx, ran); f.refusal != nil {
		return f
	}
	switch cause := x.req.senderFailure(x.ctx); {
	case cause != nil:
		f.outcome = balancer.Cancelled
		f.refusal = refusal.NewRan(cause.Reason, ran, "%s", cause.Message)
	case x.req.pastDeadline(x.node.now()):
		f.refusal = refusal.NewRan(refusal.Deadline, ran, "no answer came in time")
	case x.sent:
		f.refusal = refusal.NewRan(refusal.BackendFailed, ran, "the connection to the destination node failed")
	default:
		f.refusal = refusal.New(refusal.BackendFailed, "no connection to the destination node")
		f.unreachable = true
	}
	return f
}

// parseResponse returns the backend server's response that the destination node has
// forwarded, or the failure if the destination node refused the request or sent an
// invalid response.
func (x *hopExchange) parseResponse(resp *http.Response, hop *peer.Hop) (*response, *failure) {
	if resp.Header.Get(refusal.HeaderReason) != "" {
		return nil, x.parseRefusal(resp, hop)
	}
	inHeader := resp.Header.Get(peer.TrailerHopResult)
	if _, announced := resp.Trailer[peer.TrailerHopResult]; !announced && inHeader == "" {
		_ = resp.Body.Close()
		f := &failure{outcome: balancer.Failed, refusal: refusal.NewRan(refusal.Internal, refusal.RanMaybe, "the destination node gave an unknown answer")}
		if resp.StatusCode == http.StatusForbidden {
			x.sent = false // the node checks the cluster token before anything else
			f.refusal = refusal.New(refusal.Internal, "the destination node refused the cluster token")
		}
		return nil, x.fail(f, hop)
	}
	res := newResponse(resp, x.req.method, declaredLength(resp))
	res.finish = func(bool) (peer.HopResult, bool) {
		_ = resp.Body.Close()
		if v := resp.Trailer.Get(peer.TrailerHopResult); v != "" {
			return decodeResult(v)
		}
		return decodeResult(inHeader)
	}
	return res, nil
}

// parseRefusal returns the failure for a refusal of the destination node.
func (x *hopExchange) parseRefusal(resp *http.Response, hop *peer.Hop) *failure {
	r, _ := refusal.Parse(resp.Header, readShortBody(resp))
	if r.Ran != refusal.RanNo && r.Ran != refusal.RanYes {
		r.Ran = refusal.RanMaybe
	}
	f := &failure{refusal: r, outcome: balancerOutcome(r)}
	f.unreachable = resp.StatusCode == http.StatusMisdirectedRequest
	result, ok := decodeResult(resp.Header.Get(peer.TrailerHopResult))
	f.result, f.resultReceived = result, ok
	if result.ShedByBackend {
		f.outcome = balancer.Refused // the node answered, so the endpoint is not ejected
	}
	return x.fail(f, hop)
}

func decodeResult(v string) (result peer.HopResult, ok bool) {
	if v == "" || peer.DecodeHeader(v, &result) != nil {
		return peer.HopResult{}, false
	}
	return result, true
}

// declaredLength returns the length in bytes that the backend server declared for its
// response, or -1 if it is unknown or malformed.
func declaredLength(resp *http.Response) int64 {
	v := resp.Header.Get(headerAnswerLength)
	if v == "" {
		return resp.ContentLength
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}
