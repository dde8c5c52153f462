package node

import (
	"context"
	"net/http"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// recordResult records the admit and failure ratios that the destination sent with its
// result. refused is the refusal of a failed try, or nil.
func (c *call) recordResult(r *peer.HopResult, refused *refusal.Refusal) {
	now := c.node.now()
	c.dest.admitRatios.record(c.route.Pattern, c.info.Importance, r.AdmitRatio, now)
	if c.node.cfg.Protocol.PropagatesContext() || c.info.Workspace != "" {
		return
	}
	c.node.onward.recordFailureRatio(c.req.target.service, r.FailureRatio, now)
	// A request that was sent but not answered in time does not indicate overload.
	notRun := refused != nil && refused.Ran == refusal.RanNo && (refused.Reason == refusal.Overload || refused.Reason == refusal.Deadline)
	if r.OnwardOverload || notRun {
		c.node.onward.recordRefusal(now)
	}
}

// settleFailure reports a failed try to the balancer and returns its unused attempts
// to the budget.
func (c *call) settleFailure(pick balancer.Pick, f *failure, latency time.Duration) {
	result := balancer.Result{
		Latency: latency, Outcome: f.outcome, Unreachable: f.unreachable, BackendFailed: f.result.ShedByBackend,
		Draining: f.result.Draining || f.refusal.Reason == refusal.Draining, RateLimited: f.refusal.Reason == refusal.BackendLimited,
	}
	if f.resultReceived {
		result.Threshold = knownThreshold(&f.result.Threshold)
		c.node.reports.record(pick.Endpoint().Node, &f.result, c.node.now())
	}
	c.budget.Return(f.result.AttemptsUnused)
	c.recordOnwardThreshold(result.Threshold)
	c.recordResult(&f.result, f.refusal)
	pick.Done(result)
}

// knownThreshold returns t, or nil if the destination had no backend server.
func knownThreshold(t *peer.Threshold) *peer.Threshold {
	if t.Limit == 0 {
		return nil
	}
	return t
}

// settleRetriedResponse reports a response that is followed by another try to the
// balancer as a failure.
func (c *call) settleRetriedResponse(res *response) {
	c.recordOnwardThreshold(knownThreshold(&res.result.Threshold))
	res.pick.Done(balancer.Result{Latency: res.latency, Outcome: balancer.Failed, Threshold: knownThreshold(&res.result.Threshold), Draining: res.result.Draining})
	c.excludedNodes = append(c.excludedNodes, res.pick.Endpoint().Node)
	res.pick = nil
}

// settleResponse reports a closed response to the balancer and returns its unused
// attempts to the budget.
func (c *call) settleResponse(ctx context.Context, res *response) {
	if res.pick != nil {
		c.node.observePeer(res.result.Version, res.pick.Endpoint().PeerAddress)
		result := balancer.Result{Latency: res.latency, Outcome: balancer.OK}
		result.BackendFailed = res.status >= http.StatusInternalServerError && !res.result.OnwardOverload
		if res.resultLost || !res.result.Complete {
			result.Outcome = balancer.Failed
		}
		if ctx.Err() != nil {
			result.Outcome = balancer.Cancelled
		}
		if !res.resultLost {
			result.Threshold = knownThreshold(&res.result.Threshold)
			result.Draining = res.result.Draining
			c.node.reports.record(res.pick.Endpoint().Node, &res.result, c.node.now())
			c.recordOnwardThreshold(result.Threshold)
			c.recordResult(&res.result, nil)
		}
		res.pick.Done(result)
	}
	if res.result.Complete && !res.resultLost && res.status < http.StatusInternalServerError {
		c.dest.recordAttemptsUsed(c.route, c.attemptsGiven-res.result.AttemptsUnused)
	}
	c.returnUnusedAttempts(res)
	if res.result.OnwardOverload && c.parent != nil {
		c.parent.MarkOverloaded(c.req.target.service)
	}
	c.returnBudget()
}

// recordOnwardThreshold passes the threshold of a destination called by the backend
// server on this host to this host's admission control, which reports it to the entry
// nodes.
func (c *call) recordOnwardThreshold(t *peer.Threshold) {
	if b := c.node.backend.current.Load(); b != nil && c.parent != nil && t != nil {
		b.admission.RecordOnwardThreshold(c.req.target.service, *t)
	}
}

// returnUnusedAttempts returns the unused attempts of a closed response to the budget.
// Further calls for the same response have no effect.
func (c *call) returnUnusedAttempts(res *response) {
	c.budget.Return(res.result.AttemptsUnused)
	res.result.AttemptsUnused = 0
}

// returnBudget returns the remaining attempts of an onward call to its parent. It is
// called before the backend server sees the end of the response, so that they are
// available to its next call.
func (c *call) returnBudget() {
	if c.parent != nil {
		c.parent.Budget.Return(c.budget.Close())
	}
}
