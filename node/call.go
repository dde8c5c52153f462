package node

import (
	"context"
	"net/http"
	"time"

	"github.com/dotterelseam/dotterelseam/attempt"
	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/retry"
)

// maxTries bounds the tries of one call. It applies even if no try uses up an attempt
// because every destination refuses the request.
const maxTries = 8

// call is a caller's request on its entry node, or an onward call on the node of the
// backend server that makes it. It is delivered in one or more tries. Its budget
// counts the attempts, that is the deliveries to backend servers, of the whole call
// tree below it.
type call struct {
	node     *Node
	info     attempt.Info
	route    *config.Route
	req      *inboundRequest
	budget   *attempt.Budget
	onward   bool          // taken for a call of a backend server
	admitted bool          // part of a call tree that has already been admitted (an onward call)
	parent   *attempt.Call // nil for a caller's request

	charge        *heldCharge // nil if no quota was charged
	dest          *destination
	excludedNodes []string
	triedNodes    []string    // IDs of the nodes in the order of the tries
	worstRan      refusal.Ran // strongest claim of any failed try that the request ran
	tries         int
	attemptsGiven int       // attempts passed along with the latest try
	fallback      *response // complete response of an earlier try, returned if no later try gives one
	lastRefusal   *refusal.Refusal
	arrived       time.Time
	shed          bool // the backend server itself refused the latest delivery
	// backendNotReached reports that the latest try reached no backend server.
	backendNotReached bool
}

// run makes tries until one gives a response or no further try is allowed. It returns
// the response, which must be closed and released, or a refusal.
func (c *call) run(ctx context.Context) (*response, *refusal.Refusal) {
	c.worstRan = refusal.RanNo
	c.dest.retries.RecordCall()
	for {
		c.tries++
		res, f := c.try(ctx)
		if f == nil && !(c.mayRetryResponse(res) && c.waitBeforeRetry(ctx, responseRefusal(res), res.result.Retried)) {
			c.setFallback(nil)
			return res, nil
		}
		if f == nil {
			c.noteRan(refusal.RanYes)
			c.settleRetriedResponse(res)
			c.setFallback(res)
			continue
		}
		c.noteRan(f.refusal.Ran)
		if !f.notTried {
			c.shed = f.result.ShedByBackend
		}
		c.backendNotReached = f.result.AttemptsUnused >= c.attemptsGiven
		if f.notTried || !c.waitBeforeRetry(ctx, f.refusal, f.result.Retried) {
			if c.fallback != nil {
				return c.fallback, nil
			}
			return nil, c.finalRefusal(f)
		}
	}
}

// setFallback keeps a complete response in case no later try gives another one, and
// releases the one kept before.
func (c *call) setFallback(res *response) {
	if c.fallback != nil {
		c.fallback.release()
	}
	c.fallback = res
}

// noteRan raises worstRan to ran if that claims more.
func (c *call) noteRan(ran refusal.Ran) {
	if ran == refusal.RanYes || (ran == refusal.RanMaybe && c.worstRan == refusal.RanNo) {
		c.worstRan = ran
	}
}

// finalRefusal returns the refusal for the caller, whose Ran covers all tries. If the
// last try was not made for lack of an endpoint or attempt, it is based on the refusal
// of the try before, which says more.
func (c *call) finalRefusal(f *failure) *refusal.Refusal {
	r := f.refusal
	if f.notTried && c.lastRefusal != nil {
		r = c.lastRefusal
	}
	if r.Reason == refusal.BackendLimited {
		r = c.noCapacity(r)
	}
	if c.worstRan == r.Ran {
		return r
	}
	out := *r
	out.Ran = c.worstRan
	return &out
}

// noCapacity returns the refusal of a call for which every backend server that it tried
// has reached its rate limit. Only now it is a sign of overload.
func (c *call) noCapacity(r *refusal.Refusal) *refusal.Refusal {
	if !c.node.cfg.Protocol.PropagatesContext() && c.info.Workspace == "" {
		c.node.onward.recordRefusal(c.node.now())
	}
	out := *r
	out.Reason = refusal.Overload
	return &out
}

// try delivers the call once, to an endpoint picked by the balancer.
func (c *call) try(ctx context.Context) (*response, *failure) {
	pick, err := c.dest.balancer.Pick(c.pickInfo())
	if err != nil {
		return nil, &failure{refusal: refusal.FromError(err), notTried: true}
	}
	started := c.node.now()
	attempts := c.budget.Split(c.attemptsForTry())
	c.attemptsGiven = attempts
	if attempts == 0 {
		pick.Done(balancer.Result{Outcome: balancer.Cancelled})
		return nil, &failure{refusal: refusal.New(refusal.AttemptsExhausted, "the call tree has used all its attempts"), notTried: true}
	}
	c.triedNodes = append(c.triedNodes, pick.Endpoint().Node)
	res, f := c.send(ctx, pick.Endpoint(), attempts, started)
	if f == nil {
		if err := res.readAhead(c.retryableStatus(res) || c.usesLedger()); err == nil {
			res.latency, res.pick = c.node.now().Sub(started), &pick
			return res, nil
		}
		f = c.incompleteFailure(ctx, res)
	}
	c.node.observePeer(f.result.Version, pick.Endpoint().PeerAddress)
	c.settleFailure(pick, f, c.node.now().Sub(started))
	c.excludedNodes = append(c.excludedNodes, pick.Endpoint().Node)
	return nil, f
}

// attemptsForTry returns the number of attempts to pass along with a try. They are
// lost if the destination node fails, so the first try of a call that may be repeated
// holds one back if the call tree below is known to need fewer than are left.
func (c *call) attemptsForTry() int {
	left := c.budget.Left()
	if !c.node.cfg.Protocol.PropagatesContext() {
		return min(left, 1)
	}
	if need := c.dest.maxAttemptsUsed(c.route); c.route.Idempotent && c.tries == 1 && need > 0 && left > need {
		return left - 1
	}
	return left
}

func (c *call) pickInfo() balancer.PickInfo {
	return balancer.PickInfo{Exclude: c.excludedNodes, Importance: c.info.Importance, Admitted: c.admitted}
}

// send makes one try at the endpoint e, on this node or by a hop to another one.
func (c *call) send(ctx context.Context, e balancer.Endpoint, attempts int, now time.Time) (*response, *failure) {
	left := c.info.Deadline.Sub(now)
	if left <= 0 {
		return nil, &failure{refusal: refusal.New(refusal.Deadline, "the deadline has passed"), outcome: balancer.Cancelled, result: peer.HopResult{AttemptsUnused: attempts}}
	}
	hop := newHop(c.info, c.req.target.service, c.route, c.admitted, left, attempts, c.req.body.declaredLength)
	hop.Origin, hop.Target = c.node.cfg.Service, e.Node
	if c.node.versions != nil {
		hop.Version, hop.SenderAddress = c.node.version(), c.node.cfg.PeerAddress
	}
	hop.Backend = c.node.reports.get(e.Node)
	hop.NoRateWait = c.dest.balancer.HasRoom(c.pickInfo(), e.Node)
	hop.MaxQueueWaitMicros = c.maxQueueWait().Microseconds()
	if e.Node == c.node.cfg.ID {
		return c.node.deliver(ctx, hop, c.req)
	}
	return c.node.forward(ctx, e, hop, c.req)
}

// Fractions of the latency objective that a request may wait in the admission queue. A
// refusal after a longer wait costs the caller noticeably more time than an immediate
// one. A call of a backend server may wait longer, because its refusal wastes all the
// work on the request that it belongs to.
const (
	queueWaitFraction         = 1.0 / 8
	queueWaitFractionCritical = 1.0 / 4
	queueWaitFractionOnward   = 1.0
)

// maxQueueWait returns the longest time in the admission queue, or 0 for the default.
func (c *call) maxQueueWait() time.Duration {
	if c.node.cfg.Protocol.PropagatesContext() {
		return 0
	}
	fraction := queueWaitFraction
	switch {
	case c.onward:
		fraction = queueWaitFractionOnward
	case c.info.Importance == config.Critical:
		fraction = queueWaitFractionCritical
	}
	return time.Duration(fraction * float64(c.route.Objective.Latency))
}

// incompleteFailure closes and releases a response that broke off before any of it was
// forwarded, and returns the failure.
func (c *call) incompleteFailure(ctx context.Context, res *response) *failure {
	res.close(false)
	f := &failure{result: res.result, resultReceived: !res.resultLost, outcome: balancer.Failed}
	f.refusal = refusal.NewRan(refusal.AnswerIncomplete, refusal.RanMaybe, "the answer broke off")
	if ctx.Err() != nil {
		f.outcome = balancer.Cancelled
	}
	if c.req.pastDeadline(c.node.now()) {
		f.refusal = refusal.NewRan(refusal.Deadline, refusal.RanMaybe, "the answer was not complete in time")
	}
	res.release()
	return f
}

// retryableStatus reports whether a response has a status for which another backend
// server may be tried.
func (c *call) retryableStatus(res *response) bool {
	if !c.route.Idempotent {
		return false
	}
	return res.status == http.StatusBadGateway || res.status == http.StatusServiceUnavailable || res.status == http.StatusGatewayTimeout
}

// mayRetryResponse reports whether a response may be replaced by that of another try,
// and if so returns its unused attempts. The retry policy is consulted separately.
func (c *call) mayRetryResponse(res *response) bool {
	if !c.retryableStatus(res) || !res.fullyBuffered {
		return false
	}
	c.returnUnusedAttempts(res)
	return true
}

func responseRefusal(res *response) *refusal.Refusal {
	return refusal.NewRan(refusal.BackendFailed, refusal.RanYes, "the backend server answered %d", res.status)
}

// waitBeforeRetry consults the retry policy and waits for the backoff. It returns
// false if no further try may follow. r is why the latest try failed; retried reports
// that a node further down the call tree has already decided about retries.
func (c *call) waitBeforeRetry(ctx context.Context, r *refusal.Refusal, retried bool) bool {
	if c.tries >= maxTries || ctx.Err() != nil {
		return false
	}
	wait, ok := c.dest.retries.Allow(retry.Try{
		Number: c.tries, Importance: c.info.Importance, Reason: r.Reason, Ran: r.Ran, Idempotent: c.route.Idempotent, RetriedOnward: retried,
		BodyReplayable: c.req.body.replayable(), OtherEndpointAdmits: c.dest.balancer.Admits(c.pickInfo()),
		OtherEndpointHasRoom: r.Reason == refusal.BackendLimited && c.dest.balancer.HasRoom(c.pickInfo(), ""),
		BackendNotReached:    c.backendNotReached, RetryAfter: r.RetryAfter, AttemptsLeft: c.budget.Left(), Deadline: c.info.Deadline,
	})
	if !ok {
		return false
	}
	c.lastRefusal = r
	c.node.metrics.retries.Inc(1)
	c.logRetry(r, wait)
	return pause.For(ctx, wait)
}
