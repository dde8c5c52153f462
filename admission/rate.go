package admission

import (
	"math"
	"time"
)

// rateLimit is the rate that the backend server names in its answers. Its times are in
// nanoseconds.
type rateLimit struct {
	perSecond float64 // requests per second that the backend server takes; +Inf without a limit
	named     bool    // an answer of the backend server has been observed
	learnedAt int64   // when perSecond was received last
}

func newRateLimit() rateLimit { return rateLimit{perSecond: math.Inf(1)} }

// observe records the limit named in the answer to a request that was sent at sentAt. A
// limit above the present one is applied only if the request was sent after the present
// one had been received, because answers overtake each other. It reports whether the
// limit changed.
func (r *rateLimit) observe(now, sentAt int64, perSecond float64) (changed bool) {
	if perSecond > r.perSecond && sentAt <= r.learnedAt {
		return false
	}
	changed = perSecond != r.perSecond
	r.perSecond, r.named, r.learnedAt = perSecond, true, now
	return changed
}

// RateLimit returns the number of requests per second that the backend server takes;
// +Inf if it has not named a limit.
func (c *Controller) RateLimit() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rate.perSecond
}

// ObserveRateLimit records the limit, in requests per second, that the backend server
// named in the answer to a request that was sent at sentAt; +Inf if it named none. It
// returns the limit before and whether it changed.
func (c *Controller) ObserveRateLimit(sentAt time.Time, perSecond float64) (before float64, changed bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.rate.perSecond
	return before, c.rate.observe(now, int64(sentAt.Sub(c.epoch)), perSecond)
}
