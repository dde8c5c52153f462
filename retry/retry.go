// Package retry decides whether a failed call is made again, and after what time.
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

// token is the unit of the bucket: one retry costs this much.
const token = 1000

// Config describes a Policy. Zero values stand for the defaults.
type Config struct {
	Ratio        float64       // retries per call in the long run
	Burst        int           // retries that may be saved up
	MinPerSecond float64       // retries per second that are allowed even with few calls
	BaseBackoff  time.Duration // upper end of the first backoff
	MaxBackoff   time.Duration // upper end of any backoff
	Clock        func() time.Time
	Rand         func() float64 // in [0, 1); nil means math/rand/v2
}

// Policy limits the retries of calls to one destination service. It is safe for
// concurrent use.
type Policy struct {
	cfg    Config
	epoch  time.Time
	tokens atomic.Int64 // in thousandths of a retry
	refill atomic.Int64 // time of the last refill by MinPerSecond, nanoseconds
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
	p.tokens.Store(int64(cfg.Burst) * token)
	return p
}

// RecordCall notes a first attempt, which earns Ratio of a retry.
func (p *Policy) RecordCall() { p.add(int64(p.cfg.Ratio * token)) }

func (p *Policy) add(n int64) {
	limit := int64(p.cfg.Burst) * token
	for {
		old := p.tokens.Load()
		v := min(old+n, limit)
		if v == old || p.tokens.CompareAndSwap(old, v) {
			return
		}
	}
}

// Tokens returns how many retries could be made at present.
func (p *Policy) Tokens() float64 { return float64(p.tokens.Load()) / token }

// reserve returns the tokens that calls of importance i leave to more important
// ones: a quarter of the bucket for each level above.
func (p *Policy) reserve(i config.Importance) int64 {
	above := int64(config.Critical - min(i, config.Critical))
	return int64(p.cfg.Burst) * token * above / config.ImportanceLevels
}

// take removes one token if one is left beside the reserve.
func (p *Policy) take(now time.Time, reserve int64) bool {
	at, last := int64(now.Sub(p.epoch)), p.refill.Load()
	if earned := int64(float64(at-last) / float64(time.Second) * p.cfg.MinPerSecond * token); earned > 0 {
		if p.refill.CompareAndSwap(last, at) {
			p.add(earned)
		}
	}
	for {
		old := p.tokens.Load()
		if old < token+reserve {
			return false
		}
		if p.tokens.CompareAndSwap(old, old-token) {
			return true
		}
	}
}

// Attempt describes a failed attempt of a call.
type Attempt struct {
	Number              int // attempts made so far, this one included
	Importance          config.Importance
	Reason              refusal.Reason
	Ran                 refusal.Ran
	Idempotent          bool          // the route is idempotent
	RetriedOnward       bool          // the answer used retries further down
	BodyReplayable      bool          // the body can be sent again, or no byte of it was sent
	OtherEndpointAdmits bool          // an endpoint that has not failed or refused this call admits it
	BackendNotReached   bool          // the latest attempt reached no backend server
	RetryAfter          time.Duration // asked for by the refusal; 0 means none
	AttemptsLeft        int           // rest of the attempt budget
	Deadline            time.Time     // zero means none
}

// retryable holds the reasons that another attempt may cure. The other reasons
// would be the same at any endpoint.
var retryable = map[refusal.Reason]bool{
	refusal.Overload:         true,
	refusal.Draining:         true,
	refusal.BackendFailed:    true,
	refusal.AnswerIncomplete: true,
	refusal.NoBackendServer:  true,
	refusal.Internal:         true,
	refusal.WrongNode:        true,
}

// Allow reports whether the call may be made again, and after what delay. It
// spends a token if it allows the retry, unless no backend server was reached.
func (p *Policy) Allow(a Attempt) (delay time.Duration, ok bool) {
	if !retryable[a.Reason] || a.RetriedOnward || a.AttemptsLeft <= 0 || !a.BodyReplayable {
		return 0, false
	}
	if a.Ran != refusal.RanNo && !a.Idempotent {
		return 0, false
	}
	if a.Reason == refusal.Overload && !a.OtherEndpointAdmits {
		return 0, false
	}
	now := p.cfg.Clock()
	delay = p.delay(a)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return 0, false
	}
	// The budget protects backend servers. An attempt that reached none costs them
	// nothing, but one that was refused for overload is still limited.
	if a.BackendNotReached && a.Reason != refusal.Overload {
		return delay, true
	}
	if !p.take(now, p.reserve(a.Importance)) {
		return 0, false
	}
	return delay, true
}

// delay returns the backoff. An endpoint that refused without running the call
// does not delay a retry at another one.
func (p *Policy) delay(a Attempt) time.Duration {
	if a.OtherEndpointAdmits && a.Ran == refusal.RanNo {
		return 0
	}
	d := p.Backoff(a.Number)
	if !a.OtherEndpointAdmits && a.RetryAfter > d {
		return a.RetryAfter
	}
	return d
}

// Backoff returns a random time up to BaseBackoff doubled with each attempt made, at
// most MaxBackoff and at least half of the upper end.
func (p *Policy) Backoff(number int) time.Duration {
	upper := p.cfg.MaxBackoff
	if shift := max(number-1, 0); shift < 32 && p.cfg.BaseBackoff<<shift > 0 {
		upper = min(p.cfg.BaseBackoff<<shift, p.cfg.MaxBackoff)
	}
	return upper/2 + time.Duration(p.cfg.Rand()*float64(upper/2))
}
