package quota

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// PartitionConfig describes a Partition.
type PartitionConfig struct {
	// Nodes returns how many nodes share each workspace's bound, at least 1.
	Nodes func() int
	// Tolerance is the part by which the sum of all nodes may exceed the bound.
	Tolerance float64
	// Extra is the number of requests by which the sum of all nodes may exceed
	// the bound in any window, beside Tolerance.
	Extra float64
	Clock func() time.Time // nil means time.Now
}

// Partition gives each node an equal part of each workspace's rate and burst,
// without any message between nodes. It spends the permitted excess on rounding,
// because a small part of a burst holds less than one request. It is safe for
// concurrent use.
type Partition struct {
	cfg PartitionConfig

	mu         sync.Mutex
	workspaces map[string]*portion
}

// portion is a node's token bucket for one workspace.
type portion struct {
	bound  config.Workspace
	tokens float64
	at     time.Time // when tokens was computed
}

// partitionTolerance is how much of Tolerance the rates use; the rest covers
// requests that arrive at the edge of a window.
const partitionTolerance = 0.8

// NewPartition returns a Partition without workspaces.
func NewPartition(cfg PartitionConfig) *Partition {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Partition{cfg: cfg, workspaces: map[string]*portion{}}
}

// Configure takes over the workspaces of a configuration. Workspaces that stay
// keep their tokens, up to their new burst.
func (p *Partition) Configure(workspaces []config.Workspace) {
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
		next[w.Name] = old
	}
	p.workspaces = next
}

// rate and burst return this node's part of a bound.
func (p *Partition) rate(w config.Workspace) float64 {
	return w.Rate * (1 + p.cfg.Tolerance*partitionTolerance) / float64(p.cfg.Nodes())
}

func (p *Partition) burst(w config.Workspace) float64 {
	n := float64(p.cfg.Nodes())
	return max(w.Burst/n+min(p.cfg.Extra/n, 1), 1)
}

func (p *Partition) refill(b *portion, now time.Time) {
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*p.rate(b.bound), p.burst(b.bound))
	b.at = now
}

// Charge takes a token. The error is a *refusal.Refusal.
func (p *Partition) Charge(_ context.Context, workspace string) (*PartitionCharge, error) {
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
	return &PartitionCharge{p: p, workspace: workspace}, nil
}

// PartitionCharge is a charged request. Its methods accept nil, which stands
// for a request of a workspace without a bound.
type PartitionCharge struct {
	p         *Partition
	workspace string
}

// Sent notes that the request was sent to a backend server, or may have been.
func (c *PartitionCharge) Sent() {}

// Return gives the token of a request back that certainly did not run.
func (c *PartitionCharge) Return() {
	if c == nil {
		return
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if b := c.p.workspaces[c.workspace]; b != nil {
		b.tokens = min(b.tokens+1, c.p.burst(b.bound))
	}
}
