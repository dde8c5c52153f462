package admission

import (
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// errCallerGone is returned if ctx ends before the request is admitted.
var errCallerGone = refusal.New(refusal.Deadline, "caller left or deadline passed before the request was admitted")

// refuseDeadline records and returns a refusal for the deadline. c.mu must be held.
func (c *Controller) refuseDeadline(now int64, i config.Importance) *refusal.Refusal {
	c.refusalRatios[clampImportance(i)].refused++
	return refusal.New(refusal.Deadline, "deadline cannot be met").WithRetryAfter(c.retryAfter(now))
}

// refuseOverload records and returns a refusal for overload. c.mu must be held.
func (c *Controller) refuseOverload(now int64, i config.Importance, cause string) *refusal.Refusal {
	c.threshold.recordRefusal(now, i, c.recentPeriod())
	c.refusalRatios[clampImportance(i)].refused++
	r := &refusal.Refusal{Reason: refusal.Overload, Ran: refusal.RanNo, Message: cause}
	r.RetryAfter = c.retryAfter(now)
	return r
}

// RefusalRatio returns the fraction of recent requests of importance i that were
// refused, from 0 to 1, as of the latest arrival of such a request.
func (c *Controller) RefusalRatio(i config.Importance) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusalRatios[clampImportance(i)].value()
}

// retryAfter returns the time in which a full queue is expected to drain. c.mu must be
// held.
func (c *Controller) retryAfter(now int64) time.Duration {
	return max(time.Duration(c.expectedWait(now, c.queueLimit())), minRetryAfter)
}

// refuseWaiting returns the refusal of a request that leaves the queue without its turn.
// If slots are free, only the rate limit has kept it there. c.mu must be held.
func (c *Controller) refuseWaiting(now int64, i config.Importance, cause string) *refusal.Refusal {
	if !c.rate.unlimited() && c.inFlight < c.limit(now) {
		return c.refuseRate(now, c.rate.wait(now, c.queue.length), i)
	}
	return c.refuseOverload(now, i, cause)
}

// refuseRate records and returns the refusal of a request that the rate limit would let
// through after wait, in nanoseconds. c.mu must be held.
func (c *Controller) refuseRate(now, wait int64, i config.Importance) *refusal.Refusal {
	c.threshold.recordRefusal(now, i, c.recentPeriod())
	r := &refusal.Refusal{Reason: refusal.BackendLimited, Ran: refusal.RanNo, Message: "the rate limit of the backend server is reached"}
	r.RetryAfter = max(time.Duration(wait), minRetryAfter)
	return r
}
