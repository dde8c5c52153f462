package quota

import (
	"context"
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	shardCount         = 32                     // power of two
	maxWait            = 100 * time.Millisecond // time that a request waits for a report under way
	maxWaiters         = 256                    // requests of one workspace that wait at the same time
	demandTimeConstant = 500 * time.Millisecond // time constant of the demand estimate
	idleAfter          = 400 * time.Millisecond // just less than a report interval; without requests for that long a node is idle
	idleDemandDivisor  = 4                      // divisor of the demand of an idle node when tokens are short
	minDemand          = 0.01                   // requests per second; less counts as none
	prefetchSeconds    = 0.1                    // seconds of demand that a dry node asks for beyond what waits
	noHolderRetryAfter = time.Second            // retry-after while the node has no lender
	targetTolerance    = 1.05                   // a held share may exceed its target by this factor before it is cut
)

// Bucket holds this node's shares of all workspaces. All methods are safe for
// concurrent use.
type Bucket struct {
	clock     lease.Clock
	seed      maphash.Seed
	shards    [shardCount]shard
	reportNow chan struct{} // asks the Borrower for a report at once
	hasLender atomic.Bool   // the last report was answered by a lending holder
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// entry is the state of one workspace, guarded by its shard's lock.
type entry struct {
	name             string
	share            Share
	filledAt         time.Duration // time up to which share is filled
	leaseEnd         time.Duration
	generation       uint64  // rises when the share is dropped
	pending          int     // charges that are neither sent nor returned
	returned         float64 // level given back so far
	reportedReturned float64 // value of returned in the last report
	arrivals         int     // since the last report
	misses           int     // arrivals that found no token since the last report
	waiting          int
	demand           float64
	target           Limit
	hasTarget        bool
	lenderLow        bool          // the holder's level is low
	refuseUntil      time.Duration // the holder has nothing left until then
	reportedAt       time.Duration
	wake             chan struct{} // closed by the next answer or failure; nil if nobody waits
}

// NewBucket returns a bucket without shares. clock nil means lease.BootClock.
func NewBucket(clock lease.Clock) *Bucket {
	if clock == nil {
		clock = lease.BootClock{}
	}
	b := &Bucket{clock: clock, seed: maphash.MakeSeed(), reportNow: make(chan struct{}, 1)}
	for i := range b.shards {
		b.shards[i].entries = map[string]*entry{}
	}
	return b
}

func (b *Bucket) shardOf(workspace string) *shard {
	return &b.shards[maphash.String(b.seed, workspace)%shardCount]
}

// entry returns the workspace's entry; s must be locked.
func (s *shard) entry(workspace string) *entry {
	e := s.entries[workspace]
	if e == nil {
		e = &entry{name: workspace}
		s.entries[workspace] = e
	}
	return e
}

// settle drops the share after its lease or fills it up to now.
func (e *entry) advance(now time.Duration) {
	if now >= e.leaseEnd {
		e.drop()
	}
	e.share.fill(now-e.filledAt, e.maxLevel())
	e.filledAt = max(e.filledAt, now)
}

// room is the level that fits beside the charges that may still be returned.
func (e *entry) maxLevel() float64 { return e.share.Burst - float64(e.pending) }

func (e *entry) drop() {
	if e.share != (Share{}) {
		e.share = Share{}
		e.generation++
		e.pending = 0
	}
}

// Charge is one request that has been charged to a workspace. Either Sent or
// Return ends it; until then its place in the burst is kept, so a request that
// waits between the charge and the backend server still counts in the bound.
type Charge struct {
	bucket     *Bucket
	shard      *shard
	entry      *entry
	generation uint64
}

// Sent ends the charge of a request that was, or may have been, sent to a
// backend server.
func (c Charge) Sent() { c.end(0) }

// Return ends the charge of a request that certainly did not run, and gives the
// token back to the share that it came from. It has no effect if that share
// has ended meanwhile.
func (c Charge) Return() { c.end(1) }

func (c Charge) end(tokens float64) {
	if c.entry == nil {
		return
	}
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.entry.advance(c.bucket.clock.Now())
	if c.entry.generation != c.generation || c.entry.pending == 0 {
		return
	}
	c.entry.pending--
	c.entry.share.Level = min(c.entry.share.Level+tokens, c.entry.maxLevel())
}

// Take charges one request that is about to be sent. The error is a
// *refusal.Refusal with reason over_rate. Take waits at most 100 ms, and only
// while the node can still ask for more.
func (b *Bucket) Take(ctx context.Context, workspace string) error {
	s := b.shardOf(workspace)
	if _, ok := b.tryCharge(s, workspace, 0, true); ok {
		return nil
	}
	_, err := b.wait(ctx, s, workspace, 0)
	return err
}

// Charge charges one request that may still be refused as not run. The error
// is a *refusal.Refusal with reason over_rate.
func (b *Bucket) Charge(ctx context.Context, workspace string) (Charge, error) {
	s := b.shardOf(workspace)
	if c, ok := b.tryCharge(s, workspace, 1, true); ok {
		return c, nil
	}
	return b.wait(ctx, s, workspace, 1)
}

// TryTake charges one request without waiting and reports whether it may be sent.
func (b *Bucket) TryTake(workspace string) bool {
	_, ok := b.tryCharge(b.shardOf(workspace), workspace, 0, true)
	return ok
}

// try takes a token and keeps its place if out is 1. It returns false if there is none.
func (b *Bucket) tryCharge(s *shard, workspace string, pending int, firstTry bool) (Charge, bool) {
	now := b.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(workspace)
	e.advance(now)
	if firstTry {
		e.arrivals++
	}
	if e.share.Level >= 1 {
		e.share.Level--
		e.pending += pending
		return Charge{b, s, e, e.generation}, true
	}
	if firstTry {
		e.misses++
	}
	return Charge{}, false
}

// wait asks for a report and tries again after each answer.
func (b *Bucket) wait(ctx context.Context, s *shard, workspace string, pending int) (Charge, error) {
	if !b.addWaiter(s, workspace) {
		return Charge{}, b.refuse(s, workspace)
	}
	defer b.removeWaiter(s, workspace)
	timer, deadline := time.NewTimer(maxWait), b.clock.Now()+maxWait
	defer timer.Stop()
	for {
		wake := b.nextAnswer(s, workspace, deadline)
		if wake == nil {
			return Charge{}, b.refuse(s, workspace)
		}
		b.RequestReport()
		select {
		case <-wake:
		case <-timer.C:
			return Charge{}, b.refuse(s, workspace)
		case <-ctx.Done():
			return Charge{}, b.refuse(s, workspace)
		}
		if c, ok := b.tryCharge(s, workspace, pending, false); ok {
			return c, nil
		}
	}
}

func (b *Bucket) addWaiter(s *shard, workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(workspace)
	if !b.hasLender.Load() || e.waiting >= maxWaiters {
		return false
	}
	e.waiting++
	return true
}

func (b *Bucket) removeWaiter(s *shard, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(workspace).waiting--
}

// nextAnswer returns a channel that the next answer closes, or nil if asking is
// no use before the deadline.
func (b *Bucket) nextAnswer(s *shard, workspace string, deadline time.Duration) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(workspace)
	if deadline <= e.refuseUntil || !b.hasLender.Load() {
		return nil
	}
	if e.wake == nil {
		e.wake = make(chan struct{})
	}
	return e.wake
}

func (e *entry) wakeWaiters() {
	if e.wake != nil {
		close(e.wake)
		e.wake = nil
	}
}

// Kick asks the Borrower for a report at once.
func (b *Bucket) RequestReport() {
	select {
	case b.reportNow <- struct{}{}:
	default:
	}
}

func (b *Bucket) refuse(s *shard, workspace string) error {
	now := b.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(workspace)
	if !b.hasLender.Load() && e.share.Burst == 0 {
		return refusal.New(refusal.OverRate, "no quota of workspace %q at this node: its holder gives no answer", workspace).WithRetryAfter(noHolderRetryAfter)
	}
	after := max(e.refuseUntil-now, MinInterval)
	if e.share.Rate > 0 && e.share.Burst >= 1 {
		after = time.Duration((1 - e.share.Level) / e.share.Rate * float64(time.Second))
	}
	return refusal.New(refusal.OverRate, "workspace %q is over its rate", workspace).WithRetryAfter(max(after, time.Millisecond))
}

// Share returns the node's present share of a workspace.
func (b *Bucket) Share(workspace string) Share {
	s := b.shardOf(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(workspace)
	e.advance(b.clock.Now())
	return e.share
}

// estimate updates the demand after d without a report.
func (e *entry) updateDemand(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	e.demand += weight * (float64(e.arrivals)/elapsed.Seconds() - e.demand)
	if e.demand < minDemand && e.arrivals == 0 {
		e.demand = 0
	}
	e.arrivals = 0
}
