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

// maxTries bounds the tries of one call also when none of them costs an
// attempt, because every destination refuses.
const maxTries = 8

// call is a caller's request on its entry node, or an onward call on the node
// of the backend server that makes it.
type call struct {
	node     *Node
	info     attempt.Info
	route    *config.Route
	in       *incoming
	budget   *attempt.Budget
	admitted bool
	parent   *attempt.Call // nil for a caller's request

	charge  *heldCharge // nil without quota
	to      *destination
	exclude []string
	tried   []string    // nodes in the order of the tries
	worst   refusal.Ran // most that any failed try may have run
	tries   int
	given   int     // attempts that went along with the latest try
	kept    *answer // whole answer of an earlier try
	last    *refusal.Refusal
	arrived time.Time
	shed    bool // the backend server itself refused the latest delivery
	// unreached tells that the latest try reached no backend server.
	unreached bool
}

// run makes tries until one gives an answer or no other is allowed. It returns
// the answer, which must be closed and released, or a refusal.
func (c *call) run(ctx context.Context) (*answer, *refusal.Refusal) {
	c.worst = refusal.RanNo
	c.to.retries.RecordCall()
	for {
		c.tries++
		a, f := c.try(ctx)
		if f == nil && !(c.retriesAnswer(a) && c.pause(ctx, answerRefusal(a), a.result.Retried)) {
			c.keep(nil)
			return a, nil
		}
		if f == nil {
			c.note(refusal.RanYes)
			c.settleRetried(a)
			c.keep(a)
			continue
		}
		c.note(f.refusal.Ran)
		if !f.untried {
			c.shed = f.result.Shed
		}
		c.unreached = f.result.AttemptsUnused >= c.given
		if f.untried || !c.pause(ctx, f.refusal, f.result.Retried) {
			if c.kept != nil {
				return c.kept, nil
			}
			return nil, c.final(f)
		}
	}
}

// keep holds a whole answer back in case that no later try gives another one.
func (c *call) keep(a *answer) {
	if c.kept != nil {
		c.kept.release()
	}
	c.kept = a
}

func (c *call) note(ran refusal.Ran) {
	if ran == refusal.RanYes || (ran == refusal.RanMaybe && c.worst == refusal.RanNo) {
		c.worst = ran
	}
}

// final adds what earlier tries may have run to the refusal of the last one.
// A try that was not made because nothing was left to try with tells less
// than the failure before it.
func (c *call) final(f *failure) *refusal.Refusal {
	r := f.refusal
	if f.untried && c.last != nil {
		r = c.last
	}
	if c.worst == r.Ran {
		return r
	}
	out := *r
	out.Ran = c.worst
	return &out
}

// try makes one delivery.
func (c *call) try(ctx context.Context) (*answer, *failure) {
	pick, err := c.to.balancer.Pick(c.pickInfo())
	if err != nil {
		return nil, &failure{refusal: refusal.FromError(err), untried: true}
	}
	started := c.node.now()
	given := c.budget.Split(c.portion())
	c.given = given
	if given == 0 {
		pick.Done(balancer.Result{Outcome: balancer.Cancelled})
		return nil, &failure{refusal: refusal.New(refusal.AttemptsExhausted, "the call tree has used all its attempts"), untried: true}
	}
	c.tried = append(c.tried, pick.Endpoint().Node)
	a, f := c.send(ctx, pick.Endpoint(), given, started)
	if f == nil {
		if err := a.readAhead(c.retryableStatus(a) || c.usesLedger()); err == nil {
			a.latency, a.pick = c.node.now().Sub(started), &pick
			return a, nil
		}
		f = c.incomplete(ctx, a)
	}
	c.node.heard(f.result.Version, pick.Endpoint().PeerAddress)
	c.settleFailure(pick, f, c.node.now().Sub(started))
	c.exclude = append(c.exclude, pick.Endpoint().Node)
	return nil, f
}

// portion returns the attempts that go along with a try. The first one of a
// call that may be repeated leaves one attempt if the call tree below is known
// to need fewer, because what a try takes along is lost with a destination node
// that fails.
func (c *call) portion() int {
	left := c.budget.Left()
	if !c.node.cfg.Protocol.PropagatesContext() {
		return min(left, 1)
	}
	if need := c.to.need(c.route); c.route.Idempotent && c.tries == 1 && need > 0 && left > need {
		return left - 1
	}
	return left
}

func (c *call) pickInfo() balancer.PickInfo {
	return balancer.PickInfo{Exclude: c.exclude, Importance: c.info.Importance, Admitted: c.admitted}
}

func (c *call) send(ctx context.Context, e balancer.Endpoint, given int, now time.Time) (*answer, *failure) {
	left := c.info.Deadline.Sub(now)
	if left <= 0 {
		return nil, &failure{refusal: refusal.New(refusal.Deadline, "the deadline has passed"), kind: balancer.Cancelled, result: peer.HopResult{AttemptsUnused: given}}
	}
	hop := hopFor(c.info, c.in.target.service, c.route, c.admitted, left, given, c.in.body.length)
	hop.Origin, hop.Target = c.node.cfg.Service, e.Node
	if c.node.versions != nil {
		hop.Version, hop.From = c.node.version(), c.node.cfg.PeerAddress
	}
	hop.WaitMicros = c.maxWait().Microseconds()
	if e.Node == c.node.cfg.ID {
		return c.node.deliver(ctx, hop, c.in)
	}
	return c.node.forward(ctx, e, hop, c.in)
}

// Parts of the latency objective that a request may wait in the admission queue.
// A request that is refused later than that has cost its caller noticeably more
// than one that is refused at once.
const (
	waitPart         = 1.0 / 8
	waitPartCritical = 1.0 / 4
)

// maxWait returns the longest time in the admission queue, or 0 for the default.
func (c *call) maxWait() time.Duration {
	if c.node.cfg.Protocol.PropagatesContext() {
		return 0
	}
	part := waitPart
	if c.info.Importance == config.Critical {
		part = waitPartCritical
	}
	return time.Duration(part * float64(c.route.Objective.Latency))
}

// noteResult takes over what the destination told with its result.
func (c *call) noteResult(r *peer.HopResult, failed *refusal.Refusal) {
	now := c.node.now()
	c.to.shares.note(c.route.Pattern, c.info.Importance, r.Share, now)
	if c.node.cfg.Protocol.PropagatesContext() || c.info.Workspace != "" {
		return
	}
	c.node.onward.told(c.in.target.service, r.Failing, now)
	// A request that was sent and not answered in time tells nothing of overload.
	refused := failed != nil && failed.Ran == refusal.RanNo && (failed.Reason == refusal.Overload || failed.Reason == refusal.Deadline)
	if r.Overloaded || refused {
		c.node.onward.note(now)
	}
}

// incomplete turns an answer that broke off before any of it was passed on
// into a failure.
func (c *call) incomplete(ctx context.Context, a *answer) *failure {
	a.close(false)
	f := &failure{result: a.result, heard: !a.lost, kind: balancer.Failed}
	f.refusal = refusal.NewRan(refusal.AnswerIncomplete, refusal.RanMaybe, "the answer broke off")
	if ctx.Err() != nil {
		f.kind = balancer.Cancelled
	}
	if c.in.late(c.node.now()) {
		f.refusal = refusal.NewRan(refusal.Deadline, refusal.RanMaybe, "the answer was not complete in time")
	}
	a.release()
	return f
}

// settleFailure reports a failed try to the balancer and takes unused attempts back.
func (c *call) settleFailure(pick balancer.Pick, f *failure, latency time.Duration) {
	result := balancer.Result{Latency: latency, Outcome: f.kind, Unreachable: f.unreachable, BackendFailed: f.result.Shed, Draining: f.result.Draining || f.refusal.Reason == refusal.Draining}
	if f.heard {
		result.Threshold = known(&f.result.Threshold)
	}
	c.budget.Return(f.result.AttemptsUnused)
	c.noteOnward(result.Threshold)
	c.noteResult(&f.result, f.refusal)
	pick.Done(result)
}

// known returns t, or nil if the destination had no backend server.
func known(t *peer.Threshold) *peer.Threshold {
	if t.Limit == 0 {
		return nil
	}
	return t
}

// settleRetried reports an answer that is tried again to the balancer.
func (c *call) settleRetried(a *answer) {
	c.noteOnward(known(&a.result.Threshold))
	a.pick.Done(balancer.Result{Latency: a.latency, Outcome: balancer.Failed, Threshold: known(&a.result.Threshold), Draining: a.result.Draining})
	c.exclude = append(c.exclude, a.pick.Endpoint().Node)
	a.pick = nil
}

// settle reports an answer, which must be closed, to the balancer and takes
// unused attempts back.
func (c *call) settle(ctx context.Context, a *answer) {
	if a.pick != nil {
		c.node.heard(a.result.Version, a.pick.Endpoint().PeerAddress)
		result := balancer.Result{Latency: a.latency, Outcome: balancer.OK}
		result.BackendFailed = a.status >= http.StatusInternalServerError && !a.result.Overloaded
		if a.lost || !a.result.Complete {
			result.Outcome = balancer.Failed
		}
		if ctx.Err() != nil {
			result.Outcome = balancer.Cancelled
		}
		if !a.lost {
			result.Threshold = known(&a.result.Threshold)
			result.Draining = a.result.Draining
			c.noteOnward(result.Threshold)
			c.noteResult(&a.result, nil)
		}
		a.pick.Done(result)
	}
	if a.result.Complete && !a.lost && a.status < http.StatusInternalServerError {
		c.to.noteNeed(c.route, c.given-a.result.AttemptsUnused)
	}
	c.takeBack(a)
	if a.result.Overloaded && c.parent != nil {
		c.parent.MarkOverloaded(c.in.target.service)
	}
	c.returnAttempts()
}

// noteOnward passes the threshold of a destination that the backend server on
// this host calls on to the admission of this host, so that it reaches the entry
// nodes.
func (c *call) noteOnward(t *peer.Threshold) {
	if b := c.node.backend.current.Load(); b != nil && c.parent != nil && t != nil {
		b.admission.RecordOnwardThreshold(c.in.target.service, *t)
	}
}

// takeBack returns the unused attempts of a closed answer to the budget once.
func (c *call) takeBack(a *answer) {
	c.budget.Return(a.result.AttemptsUnused)
	a.result.AttemptsUnused = 0
}

// returnAttempts gives what is left of an onward call's attempts back to its
// parent. It is called before the backend server sees the end of the answer,
// so that its next call finds them.
func (c *call) returnAttempts() {
	if c.parent != nil {
		c.parent.Budget.Return(c.budget.Close())
	}
}

// retryableStatus reports whether an answer of the backend server is one that
// another backend server may improve on.
func (c *call) retryableStatus(a *answer) bool {
	if !c.route.Idempotent {
		return false
	}
	return a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout
}

// retriesAnswer reports whether an answer may be replaced by that of another
// try. The retry policy is asked separately.
func (c *call) retriesAnswer(a *answer) bool {
	if !c.retryableStatus(a) || !a.whole {
		return false
	}
	c.takeBack(a)
	return true
}

func answerRefusal(a *answer) *refusal.Refusal {
	return refusal.NewRan(refusal.BackendFailed, refusal.RanYes, "the backend server answered %d", a.status)
}

// pause asks the retry policy and waits. It returns false if no other try may
// follow. r is why the latest try failed, and retried its mark.
func (c *call) pause(ctx context.Context, r *refusal.Refusal, retried bool) bool {
	if c.tries >= maxTries || ctx.Err() != nil {
		return false
	}
	wait, ok := c.to.retries.Allow(retry.Attempt{
		Number: c.tries, Importance: c.info.Importance, Reason: r.Reason, Ran: r.Ran, Idempotent: c.route.Idempotent, RetriedOnward: retried,
		BodyReplayable: c.in.body.repeatable(), OtherEndpointAdmits: c.to.balancer.Admits(c.pickInfo()),
		BackendNotReached: c.unreached, RetryAfter: r.RetryAfter, AttemptsLeft: c.budget.Left(), Deadline: c.info.Deadline,
	})
	if !ok {
		return false
	}
	c.last = r
	c.node.metrics.retries.Inc(1)
	c.logRetry(r, wait)
	return pause.For(ctx, wait)
}
