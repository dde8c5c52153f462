// Package retry decides whether and when a failed call is retried. A token bucket for
// each destination service limits the number of retries.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Defaults of Config.
const (
	DefaultRatio        = 0.1
	DefaultBurst        = 20
	DefaultMinPerSecond = 1.0
	DefaultBaseBackoff  = 5 * time.Millisecond
	DefaultMaxBackoff   = 250 * time.Millisecond
)

// tokensPerRetry is the cost of one retry; the bucket counts thousandths of a retry.
const tokensPerRetry = 1000

// Config describes a Policy. A zero value selects the default.
type Config struct {
	Ratio        float64          // retries that each call adds to the bucket
	Burst        int              // capacity of the bucket, in retries
	MinPerSecond float64          // retries per second that are added independently of calls
	BaseBackoff  time.Duration    // upper bound of the first backoff
	MaxBackoff   time.Duration    // upper bound of every backoff
	Clock        func() time.Time // must be safe for concurrent use; nil means time.Now
	Rand         func() float64   // in [0, 1); must be safe for concurrent use; nil means math/rand/v2.Float64
}

// Policy limits the retries of calls to one destination service. It is safe for
// concurrent use.
type Policy struct {
	cfg        Config
	epoch      time.Time
	tokens     atomic.Int64 // in units of 1/tokensPerRetry of a retry
	lastRefill atomic.Int64 // time of the last refill by MinPerSecond, nanoseconds since epoch
}

// New returns a Policy with a full bucket.
func New(cfg Config) *Policy {
	if cfg.Ratio <= 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	if cfg.MinPerSecond <= 0 {
		cfg.MinPerSecond = DefaultMinPerSecond
	}
	if cfg.BaseBackoff <= 0 {
		cfg.BaseBackoff = DefaultBaseBackoff
	}
	if cfg.MaxBackoff <= 0 {
		cfg.MaxBackoff = DefaultMaxBackoff
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	p := &Policy{cfg: cfg, epoch: cfg.Clock()}
	p.tokens.Store(int64(cfg.Burst) * tokensPerRetry)
	return p
}

// RecordCall adds Ratio retries to the bucket. It is called for the first try of each
// call.
func (p *Policy) RecordCall() { p.addTokens(int64(p.cfg.Ratio * tokensPerRetry)) }

func (p *Policy) addTokens(n int64) {
	limit := int64(p.cfg.Burst) * tokensPerRetry
	for {
		old := p.tokens.Load()
		v := min(old+n, limit)
		if v == old || p.tokens.CompareAndSwap(old, v) {
			return
		}
	}
}

// Tokens returns the number of retries in the bucket as of the latest call of Allow or
// RecordCall.
func (p *Policy) Tokens() float64 { return float64(p.tokens.Load()) / tokensPerRetry }

// reservedTokens returns the tokens that calls of importance i must leave to more
// important ones: for each higher level a quarter of the bucket beyond one retry. So
// a full bucket allows one retry at every level.
func (p *Policy) reservedTokens(i config.Importance) int64 {
	above := int64(config.Critical - min(i, config.Critical))
	return int64(p.cfg.Burst-1) * tokensPerRetry * above / config.ImportanceLevels
}

// takeToken refills the bucket by MinPerSecond and takes the tokens of one retry, unless
// less than the reserved tokens would be left.
func (p *Policy) takeToken(now time.Time, reserved int64) bool {
	at, last := int64(now.Sub(p.epoch)), p.lastRefill.Load()
	if earned := int64(float64(at-last) / float64(time.Second) * p.cfg.MinPerSecond * tokensPerRetry); earned > 0 {
		if p.lastRefill.CompareAndSwap(last, at) {
			p.addTokens(earned)
		}
	}
	for {
		old := p.tokens.Load()
		if old < tokensPerRetry+reserved {
			return false
		}
		if p.tokens.CompareAndSwap(old, old-tokensPerRetry) {
			return true
		}
	}
}

// Try describes a failed try of a call. A try may fail without reaching a backend
// server; only deliveries to backend servers count as attempts (package attempt).
type Try struct {
	Number               int // tries made so far, including this one
	Importance           config.Importance
	Reason               refusal.Reason
	Ran                  refusal.Ran
	Idempotent           bool          // the route is idempotent
	RetriedOnward        bool          // the failure is that of an onward call, whose retries the destination node has already decided on
	BodyReplayable       bool          // the body can be sent again, or no byte of it was sent
	OtherEndpointAdmits  bool          // an endpoint on which this call has not failed or been refused admits it
	OtherEndpointHasRoom bool          // one of them is not known to be full
	BackendNotReached    bool          // this try reached no backend server
	RetryAfter           time.Duration // from the refusal; 0 means none
	AttemptsLeft         int           // deliveries left in the budget of the call (package attempt)
	Deadline             time.Time     // zero means none
}

// retryable holds the reasons for which another try may succeed. Calls refused for other
// reasons are not retried, because another try would not help.
var retryable = map[refusal.Reason]bool{
	refusal.Overload:         true,
	refusal.Draining:         true,
	refusal.BackendFailed:    true,
	refusal.AnswerIncomplete: true,
	refusal.NoBackendServer:  true,
	refusal.Internal:         true,
	refusal.WrongNode:        true,
	refusal.BackendLimited:   true,
}

// Allow reports whether the call may be retried, and after what delay. A retry that it
// allows is taken out of the bucket, unless no backend server was reached and the reason
// is neither Overload nor, without another endpoint that has room, BackendLimited.
func (p *Policy) Allow(t Try) (delay time.Duration, ok bool) {
	if !retryable[t.Reason] || t.RetriedOnward || t.AttemptsLeft <= 0 || !t.BodyReplayable {
		return 0, false
	}
	if t.Ran != refusal.RanNo && !t.Idempotent {
		return 0, false
	}
	if (t.Reason == refusal.Overload || t.Reason == refusal.BackendLimited) && !t.OtherEndpointAdmits {
		return 0, false
	}
	now := p.cfg.Clock()
	delay = p.delay(t)
	if !t.Deadline.IsZero() && !now.Add(delay).Before(t.Deadline) {
		return 0, false
	}
	// The bucket protects backend servers, and a try that reached none caused no
	// load on them. Retries after an overload refusal are limited nevertheless, and those
	// after a refusal for a rate limit if all other endpoints are full.
	if t.BackendNotReached && t.Reason != refusal.Overload && (t.Reason != refusal.BackendLimited || t.OtherEndpointHasRoom) {
		return delay, true
	}
	if !p.takeToken(now, p.reservedTokens(t.Importance)) {
		return 0, false
	}
	return delay, true
}

// delay returns the time to wait before the retry: none if the call did not run and
// another endpoint admits it; otherwise the backoff, or RetryAfter if that is longer and
// no other endpoint admits the call.
func (p *Policy) delay(t Try) time.Duration {
	if t.OtherEndpointAdmits && t.Ran == refusal.RanNo {
		return 0
	}
	d := p.Backoff(t.Number)
	if !t.OtherEndpointAdmits && t.RetryAfter > d {
		return t.RetryAfter
	}
	return d
}

// Backoff returns a random time in [upper/2, upper), where upper is
// min(BaseBackoff × 2^(number-1), MaxBackoff). number is the number of tries made.
func (p *Policy) Backoff(number int) time.Duration {
	upper := p.cfg.MaxBackoff
	if shift := max(number-1, 0); shift < 32 && p.cfg.BaseBackoff<<shift > 0 {
		upper = min(p.cfg.BaseBackoff<<shift, p.cfg.MaxBackoff)
	}
	return upper/2 + time.Duration(p.cfg.Rand()*float64(upper/2))
}
