// Package partition keeps each workspace's bound across all nodes by giving each
// node an equal part, and by moving tokens to the nodes that need them.
package partition

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Error is the class of errors of this package other than refusals.
var Error = errs.Class("partition")

// Config describes a Quota.
type Config struct {
	// Nodes returns how many nodes share each workspace's bound, at least 1.
	Nodes func() int
	// Tolerance is the part by which the sum of all nodes may exceed the bound.
	Tolerance float64
	// Extra is the number of requests by which the sum of all nodes may exceed
	// the bound in any window, beside Tolerance.
	Extra float64
	// Borrow asks other nodes for tokens of a workspace and returns what they gave;
	// nil means that nobody is asked.
	Borrow func(ctx context.Context, workspace string) float64
	Clock  func() time.Time // nil means time.Now
}

// Quota gives each node an equal part of each workspace's rate and burst. A
// node whose part is used up asks others for tokens, which move from node to
// node, so the sum keeps the bound also if a message or a node is lost. It spends the permitted excess on rounding,
// because a small part of a burst holds less than one request. It is safe for
// concurrent use.
type Quota struct {
	cfg Config

	mu         sync.Mutex
	workspaces map[string]*portion
}

// portion is a node's token bucket for one workspace.
type portion struct {
	bound  config.Workspace
	tokens float64
	at     time.Time // when tokens was computed

	round    *borrowing    // nil unless other nodes are being asked
	pause    time.Duration // after the latest round that got nothing
	askAfter time.Time
}

// toleranceUsed is how much of Tolerance the rates use; the rest covers
// requests that arrive at the edge of a window.
const toleranceUsed = 0.8

// New returns a Quota without workspaces.
func New(cfg Config) *Quota {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Quota{cfg: cfg, workspaces: map[string]*portion{}}
}

// Configure takes over the workspaces of a configuration. Workspaces that stay
// keep their tokens, up to their new burst.
func (p *Quota) Configure(workspaces []config.Workspace) {
	now := p.cfg.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*portion, len(workspaces))
	for _, w := range workspaces {
		old := p.workspaces[w.Name]
		if old == nil {
			// A new node does not know what was used before it started.
			old = &portion{bound: w, tokens: 1, at: now}
		}
		p.refill(old, now)
		old.bound = w
		old.tokens = min(old.tokens, p.burst(w))
		next[w.Name] = old
	}
	p.workspaces = next
}

// rate and burst return this node's part of a bound.
func (p *Quota) rate(w config.Workspace) float64 {
	return w.Rate * (1 + p.cfg.Tolerance*toleranceUsed) / float64(p.cfg.Nodes())
}

func (p *Quota) burst(w config.Workspace) float64 {
	n := float64(p.cfg.Nodes())
	return max(w.Burst/n+min(p.cfg.Extra/n, 1), 1)
}

func (p *Quota) refill(b *portion, now time.Time) {
	refilled := min(b.tokens+now.Sub(b.at).Seconds()*p.rate(b.bound), p.burst(b.bound))
	b.tokens = max(b.tokens, refilled) // borrowed tokens may exceed the own part of the burst
	b.at = now
}

// Charge takes a token. It may wait a short time for tokens of other nodes. The
// error is a *refusal.Refusal.
func (p *Quota) Charge(ctx context.Context, workspace string) (*Charge, error) {
	charge, err := p.take(workspace)
	if err != nil && p.borrow(ctx, workspace) {
		return p.take(workspace)
	}
	return charge, err
}

// take takes a token of this node.
func (p *Quota) take(workspace string) (*Charge, error) {
	now := p.cfg.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.workspaces[workspace]
	if b == nil || b.bound.Rate == 0 {
		return nil, nil
	}
	p.refill(b, now)
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / p.rate(b.bound) * float64(time.Second))
		return nil, refusal.New(refusal.OverRate, "the workspace is over its rate").After(wait)
	}
	b.tokens--
	return &Charge{p: p, workspace: workspace}, nil
}

// Charge is a charged request. Its methods accept nil, which stands
// for a request of a workspace without a bound.
type Charge struct {
	p         *Quota
	workspace string
}

// Sent notes that the request was sent to a backend server, or may have been.
func (c *Charge) Sent() {}

// Return gives the token of a request back that certainly did not run.
func (c *Charge) Return() {
	if c == nil {
		return
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if b := c.p.workspaces[c.workspace]; b != nil {
		b.tokens = max(b.tokens, min(b.tokens+1, c.p.burst(b.bound)))
	}
}
