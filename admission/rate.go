package admission

import (
	"math"
	"time"
)

const (
	// rateBurst is the number of seconds of a rate limit that may be saved up for requests
	// that arrive together.
	rateBurst = 0.25
	// minRate is the lowest rate that is applied, in requests per second. The end of a limit
	// is learned from an answer, so some requests have to get through.
	minRate = 0.5
)

// rateLimit is a token bucket with the rate that the backend server names in its
// answers. Its times are in nanoseconds.
type rateLimit struct {
	perSecond float64 // requests per second that the backend server takes; +Inf without a limit
	named     bool    // an answer of the backend server has been observed
	learnedAt int64   // when perSecond was received last
	tokens    float64 // requests that may be sent at filledAt
	filledAt  int64
}

func newRateLimit() rateLimit { return rateLimit{perSecond: math.Inf(1)} }

func (r *rateLimit) unlimited() bool { return math.IsInf(r.perSecond, 1) }

// rate returns the rate that is applied, in requests per second.
func (r *rateLimit) rate() float64 { return max(r.perSecond, minRate) }

// set changes the limit. The tokens of the old one beyond the new burst are lost.
func (r *rateLimit) set(now int64, perSecond float64) {
	r.fill(now)
	if r.unlimited() {
		r.tokens = 0
	}
	r.perSecond = perSecond
	r.tokens = min(r.tokens, r.burst())
}

// burst returns the largest number of saved tokens.
func (r *rateLimit) burst() float64 { return max(1, rateBurst*r.rate()) }

// fill adds the tokens since the latest call.
func (r *rateLimit) fill(now int64) {
	if !r.unlimited() && now > r.filledAt {
		r.tokens = min(r.tokens+time.Duration(now-r.filledAt).Seconds()*r.rate(), r.burst())
	}
	r.filledAt = max(r.filledAt, now)
}

// take uses the token of one request, which wait has found to be available.
func (r *rateLimit) take(now int64) {
	if r.unlimited() {
		return
	}
	r.fill(now)
	r.tokens--
}

// wait returns the time until a request may be sent that follows ahead others.
func (r *rateLimit) wait(now int64, ahead int) int64 {
	if r.unlimited() {
		return 0
	}
	r.fill(now)
	missing := float64(ahead+1) - r.tokens
	if missing <= 0 {
		return 0
	}
	return int64(math.Ceil(missing / r.rate() * float64(time.Second)))
}

// observe records the limit named in the answer to a request that was sent at sentAt. A
// limit above the present one is applied only if the request was sent after the present
// one had been received, because answers overtake each other. It reports whether the
// limit changed.
func (r *rateLimit) observe(now, sentAt int64, perSecond float64) (changed bool) {
	if perSecond > r.perSecond && sentAt <= r.learnedAt {
		return false
	}
	changed = perSecond != r.perSecond
	if changed {
		r.set(now, perSecond)
	}
	r.named, r.learnedAt = true, now
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
	changed = c.rate.observe(now, int64(sentAt.Sub(c.epoch)), perSecond)
	if changed {
		c.dispatch(now)
	}
	return before, changed
}

// LearnRateLimit records a limit, in requests per second, of which another node has heard
// from the backend server. It has no effect once the backend server has answered a
// request of this Controller. It reports whether the limit changed.
func (c *Controller) LearnRateLimit(perSecond float64) (changed bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate.named || perSecond == c.rate.perSecond {
		return false
	}
	c.rate.set(now, perSecond)
	c.rate.learnedAt = now
	c.dispatch(now)
	return true
}

// dispatchLater calls dispatch when the rate limit lets the next queued request through.
// c.mu must be held.
func (c *Controller) dispatchLater(now int64) {
	wait := time.Duration(c.rate.wait(now, 0))
	if c.rateTimer != nil {
		c.rateTimer.Reset(wait)
		return
	}
	c.rateTimer = time.AfterFunc(wait, func() {
		now := c.now()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dispatch(now)
	})
}

// maxRateWait returns how long a request may wait for its turn under the rate limit, in
// nanoseconds. queueWait is its longest wait in the queue. c.mu must be held.
func (c *Controller) maxRateWait(now, queueWait, deadline int64, noWait bool) int64 {
	switch {
	case noWait:
		return 0
	case deadline == 0:
		return queueWait
	}
	return min(queueWait, deadline-now-c.limiter.serviceTime())
}
