// Package partition enforces each workspace's rate limit across all nodes. A few nodes,
// the holders, have equal shares of the limit and lend tokens to the nodes that need
// them.
package partition

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Error is the class of errors of this package other than refusals.
var Error = errs.Class("partition")

// Config describes a Quota.
type Config struct {
	// Members returns the current view of the fleet. If the view has no nodes, this node
	// has no share of any rate limit, and Charge refuses requests of limited workspaces.
	// Members is called with the Quota's lock held, so it must not block or call the
	// Quota. It must be safe for concurrent use.
	Members func() Members
	// Tolerance is the fraction by which all nodes together may exceed the rate limit.
	Tolerance float64
	// Slack is the number of requests by which all nodes together may exceed the rate
	// limit in any window of the platform's check, in addition to Tolerance.
	Slack float64
	// Borrow requests tokens of a workspace from some of the holders and returns the
	// number received; nil means that tokens are not borrowed. It must be safe for
	// concurrent use.
	Borrow func(ctx context.Context, workspace string, want float64, holders []balancer.Endpoint) float64
	Clock  func() time.Time // must be safe for concurrent use; nil means time.Now
}

// Quota is this node's share of the rate and burst of each workspace. The holders of a
// workspace have equal shares. A node without tokens borrows some from them. Tokens are
// only moved, never created by this, so all nodes together keep the limit even if a
// message or a node is lost. Borrowed tokens expire after a short time, so that a node
// cannot accumulate them. Quota is safe for concurrent use.
type Quota struct {
	cfg Config

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket is this node's token bucket for one workspace.
type tokenBucket struct {
	limits     config.Workspace
	tokens     float64   // of this node's own share
	refilledAt time.Time // when tokens was last updated
	holders    holderSet

	borrowed      float64 // tokens of other nodes, valid until borrowedUntil
	borrowedUntil time.Time
	demandRate    float64 // requests per second, with exponential decay
	demandAt      time.Time
	runningRound  *borrowRound  // nil if no round is running
	borrowBackoff time.Duration // pause after the latest round, if it was without success
	nextBorrowAt  time.Time
}

// toleranceInRate is the fraction of Tolerance by which the rates are raised. The rest
// allows for requests that the platform's check counts in a neighbouring window.
const toleranceInRate = 0.8

const (
	// demandTimeConstant is the time constant of the decay of the demand rate.
	demandTimeConstant = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the wait that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// New returns a Quota without workspaces.
func New(cfg Config) *Quota {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Quota{cfg: cfg, buckets: map[string]*tokenBucket{}}
}

// Configure replaces the workspaces by those of a new configuration. Workspaces that
// remain keep their tokens, up to their new burst.
func (q *Quota) Configure(workspaces []config.Workspace) {
	now := q.cfg.Clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	next := make(map[string]*tokenBucket, len(workspaces))
	for _, w := range workspaces {
		b := q.buckets[w.Name]
		if b == nil {
			// The bucket does not start full, because a node does not know how many
			// tokens were used before it started.
			b = &tokenBucket{limits: w, tokens: 1, refilledAt: now, demandAt: now}
		}
		q.refill(b, now)
		b.limits = w
		b.tokens = min(b.tokens, q.burst(b))
		next[w.Name] = b
	}
	q.buckets = next
}

// rate returns the rate at which the bucket is refilled on this node, in tokens per
// second. It is 0 unless the node is a holder.
func (q *Quota) rate(b *tokenBucket) float64 {
	return b.limits.Rate * (1 + q.cfg.Tolerance*toleranceInRate) * b.holders.share()
}

// burst returns the capacity of the bucket on this node, in tokens. It is 0 unless the
// node is a holder.
func (q *Quota) burst(b *tokenBucket) float64 {
	share := b.holders.share()
	if share == 0 {
		return 0
	}
	return max(b.limits.Burst*share+min(q.cfg.Slack*share, 1), 1)
}

// refill updates the holders and the tokens of b, and drops borrowed tokens that have
// expired. q.mu must be held.
func (q *Quota) refill(b *tokenBucket, now time.Time) {
	members := q.cfg.Members()
	b.holders.update(&members, b.limits.Name)
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*q.rate(b), q.burst(b))
	b.refilledAt = now
	if !now.Before(b.borrowedUntil) {
		b.borrowed = 0
	}
}

// Charge takes a token for one request. It waits up to borrowTimeout for tokens of other
// nodes if this node has none. The error is a *refusal.Refusal. The Charge is nil if the
// workspace is unknown or has no rate limit.
func (q *Quota) Charge(ctx context.Context, workspace string) (*Charge, error) {
	charge, err := q.takeToken(workspace, true)
	if err != nil && q.borrow(ctx, workspace) {
		return q.takeToken(workspace, false)
	}
	return charge, err
}

// takeToken takes one of the tokens of this node. newRequest tells that this is the
// first try for the request, which then counts as demand.
func (q *Quota) takeToken(workspace string, newRequest bool) (*Charge, error) {
	now := q.cfg.Clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[workspace]
	if b == nil || b.limits.Rate == 0 {
		return nil, nil
	}
	if newRequest {
		b.recordDemand(now)
	}
	q.refill(b, now)
	switch {
	case b.borrowed >= 1:
		b.borrowed--
	case b.tokens >= 1:
		b.tokens--
	case b.holders.count == 0:
		return nil, refusal.New(refusal.NoConfiguration, "the nodes that share the bound are not known yet").WithRetryAfter(maxRetryAfter)
	default:
		wait := time.Duration(float64(b.holders.count) / b.limits.Rate * float64(time.Second))
		return nil, refusal.New(refusal.OverRate, "the workspace is over its rate").WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	return &Charge{quota: q, workspace: workspace}, nil
}

// recordDemand counts a request in the demand rate.
func (b *tokenBucket) recordDemand(now time.Time) {
	elapsed := now.Sub(b.demandAt).Seconds()
	b.demandAt = now
	b.demandRate = b.demandRate*math.Exp(-elapsed/demandTimeConstant.Seconds()) + 1/demandTimeConstant.Seconds()
}

// Charge is the token of one request. Exactly one of Sent and Return must be called,
// once. Both are safe for concurrent use and may be called on nil, which is the Charge
// of a workspace that is unknown or has no rate limit.
type Charge struct {
	quota     *Quota
	workspace string
}

// Sent states that the request was, or may have been, sent to a backend server. The
// token remains spent.
func (c *Charge) Sent() {}

// Return adds the token of a request that has certainly not run to this node's share,
// up to its burst. A token is lost if the share is full or this node is not a holder.
func (c *Charge) Return() {
	if c == nil {
		return
	}
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	if b := c.quota.buckets[c.workspace]; b != nil {
		b.tokens = min(b.tokens+1, c.quota.burst(b))
	}
}
