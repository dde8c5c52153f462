// Package partition keeps each workspace's bound across all nodes: a few nodes
// hold equal parts of it, and tokens move from them to the nodes that need them.
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
	// Members returns the present view of the fleet. Without nodes this one has no
	// part of any bound, but for the token of its start.
	Members func() Members
	// Tolerance is the part by which the sum of all nodes may exceed the bound.
	Tolerance float64
	// Slack is the number of requests by which the sum of all nodes may exceed
	// the bound in any window, beside Tolerance.
	Slack float64
	// Borrow asks some of the holders for tokens of a workspace and returns what
	// they gave; nil means that nobody is asked.
	Borrow func(ctx context.Context, workspace string, want float64, holders []balancer.Endpoint) float64
	Clock  func() time.Time // nil means time.Now
}

// Quota is this node's part of each workspace's rate and burst. The holders of a
// workspace have equal parts. A node without tokens asks holders for some; tokens
// only move, so the sum keeps the bound also if a message or a node is lost.
// Borrowed tokens end after a short time, so that nobody hoards them. It is safe
// for concurrent use.
type Quota struct {
	cfg Config

	mu         sync.Mutex
	workspaces map[string]*portion
}

// portion is a node's token bucket for one workspace.
type portion struct {
	bound   config.Workspace
	tokens  float64   // of the own part
	at      time.Time // when tokens was computed
	holders holders

	borrowed      float64
	borrowedUntil time.Time
	demand        float64 // requests a second of late
	demandAt      time.Time
	round         *borrowing    // nil unless other nodes are being asked
	pause         time.Duration // after the latest round that got nothing
	askAfter      time.Time
}

// toleranceUsed is how much of Tolerance the rates use; the rest covers
// requests that arrive at the edge of a window.
const toleranceUsed = 0.8

const (
	// demandMemory is the time constant of the demand.
	demandMemory = 2 * time.Second
	// minWait and maxWait bound what a refused caller is told to wait.
	minWait = 50 * time.Millisecond
	maxWait = time.Second
)

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
			old = &portion{bound: w, tokens: 1, at: now, demandAt: now}
		}
		p.refill(old, now)
		old.bound = w
		old.tokens = min(old.tokens, p.burst(old))
		next[w.Name] = old
	}
	p.workspaces = next
}

// rate and burst return this node's part of a bound.
func (p *Quota) rate(b *portion) float64 {
	return b.bound.Rate * (1 + p.cfg.Tolerance*toleranceUsed) * b.holders.part()
}

func (p *Quota) burst(b *portion) float64 {
	part := b.holders.part()
	if part == 0 {
		return 0
	}
	return max(b.bound.Burst*part+min(p.cfg.Slack*part, 1), 1)
}

func (p *Quota) refill(b *portion, now time.Time) {
	members := p.cfg.Members()
	b.holders.find(&members, b.bound.Name)
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*p.rate(b), p.burst(b))
	b.at = now
	if !now.Before(b.borrowedUntil) {
		b.borrowed = 0
	}
}

// Charge takes a token. It may wait a short time for tokens of other nodes. The
// error is a *refusal.Refusal.
func (p *Quota) Charge(ctx context.Context, workspace string) (*Charge, error) {
	charge, err := p.take(workspace, true)
	if err != nil && p.borrow(ctx, workspace) {
		return p.take(workspace, false)
	}
	return charge, err
}

// take takes a token that this node has. first tells that the request has not
// asked before.
func (p *Quota) take(workspace string, first bool) (*Charge, error) {
	now := p.cfg.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.workspaces[workspace]
	if b == nil || b.bound.Rate == 0 {
		return nil, nil
	}
	if first {
		b.noteDemand(now)
	}
	p.refill(b, now)
	switch {
	case b.borrowed >= 1:
		b.borrowed--
	case b.tokens >= 1:
		b.tokens--
	case b.holders.count == 0:
		return nil, refusal.New(refusal.NoConfiguration, "the nodes that share the bound are not known yet").WithRetryAfter(maxWait)
	default:
		wait := time.Duration(float64(b.holders.count) / b.bound.Rate * float64(time.Second))
		return nil, refusal.New(refusal.OverRate, "the workspace is over its rate").WithRetryAfter(min(max(wait, minWait), maxWait))
	}
	return &Charge{p: p, workspace: workspace}, nil
}

// noteDemand counts a request in the demand for a workspace.
func (b *portion) noteDemand(now time.Time) {
	passed := now.Sub(b.demandAt).Seconds()
	b.demandAt = now
	b.demand = b.demand*math.Exp(-passed/demandMemory.Seconds()) + 1/demandMemory.Seconds()
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
		b.tokens = min(b.tokens+1, c.p.burst(b))
	}
}
