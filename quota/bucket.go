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
	shardCount         = 32                     // a power of two
	maxWait            = 100 * time.Millisecond // longest wait of a request for a token
	maxWaiters         = 256                    // requests of one workspace that may wait at the same time
	demandTimeConstant = 500 * time.Millisecond // of the exponential average of demand
	idleAfter          = 400 * time.Millisecond // a node without requests for this long is idle; just less than ReportInterval
	idleDemandDivisor  = 4                      // divides the demand of an idle node while the lender's level is low
	minDemand          = 0.01                   // requests per second; lower demand counts as none
	prefetchSeconds    = 0.1                    // seconds of demand that a node without tokens requests in addition to what waits
	noHolderRetryAfter = time.Second            // retry-after while the node has neither a share nor a holder that lends
	targetTolerance    = 1.05                   // factor by which a held share may exceed its target before it is reduced
)

// Bucket holds this node's shares of all workspaces and charges requests to
// them. All methods are safe for concurrent use.
type Bucket struct {
	clock     lease.Clock
	seed      maphash.Seed
	shards    [shardCount]shard
	reportNow chan struct{} // signals the Borrower to report at once
	hasLender atomic.Bool   // the last report was answered by a holder that lends
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// entry is the state of one workspace, guarded by its shard's lock. Times are
// readings of lease.Clock.
type entry struct {
	name             string
	share            Share
	filledAt         time.Duration // time up to which accrued tokens have been added to share
	leaseEnd         time.Duration
	generation       uint64  // incremented when the share is dropped
	pending          int     // charges that neither Sent nor Return has ended
	returned         float64 // total level returned to the lender, in requests
	reportedReturned float64 // returned at the last report
	arrivals         int     // since the last report
	misses           int     // of arrivals, those that found no token
	waiting          int     // requests that wait for a token
	demand           float64 // requests per second
	target           Limit
	hasTarget        bool
	lenderLow        bool          // GrantItem.LenderLow of the last grant
	refuseUntil      time.Duration // the holder has no tokens left until then
	reportedAt       time.Duration
	wake             chan struct{} // closed by the next answer or failure; nil if no request waits
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

// advance adds the tokens that accrued until now, or drops the share if its
// lease has ended.
func (e *entry) advance(now time.Duration) {
	if now >= e.leaseEnd {
		e.drop()
	}
	e.share.fill(now-e.filledAt, e.maxLevel())
	e.filledAt = max(e.filledAt, now)
}

// maxLevel returns the level that leaves room for the tokens of pending charges,
// which may still be returned.
func (e *entry) maxLevel() float64 { return e.share.Burst - float64(e.pending) }

func (e *entry) drop() {
	if e.share != (Share{}) {
		e.share = Share{}
		e.generation++
		e.pending = 0
	}
}

// Charge is one request that has been charged to a workspace. Either Sent or
// Return ends it. Until then it occupies one request of the share's burst, so a
// request that waits between the charge and the backend server still counts in
// the limit. Its methods are safe for concurrent use.
type Charge struct {
	bucket     *Bucket
	shard      *shard
	entry      *entry
	generation uint64
}

// Sent ends the charge of a request that was, or may have been, sent to a
// backend server.
func (c Charge) Sent() { c.end(0) }

// Return ends the charge of a request that certainly did not run, and returns
// the token to the share that it came from. It has no effect if that share has
// been dropped since.
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
// while the holder may still grant tokens in that time.
func (b *Bucket) Take(ctx context.Context, workspace string) error {
	s := b.shardOf(workspace)
	if _, ok := b.tryCharge(s, workspace, 0, true); ok {
		return nil
	}
	_, err := b.wait(ctx, s, workspace, 0)
	return err
}

// Charge charges one request that may still turn out not to run. It waits like
// Take, and its error is a *refusal.Refusal with reason over_rate.
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

// tryCharge takes a token and adds pending (0 or 1) to the pending charges. It
// returns false if there is no token. firstTry is false for further attempts of
// the same request, which are not counted in the demand again.
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

// wait requests a report and tries to charge again after each answer.
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

// nextAnswer returns a channel that is closed by the next answer, or nil if no
// tokens are to be expected before the deadline.
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

// RequestReport asks the Borrower to report at once. It does not block.
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
	after := max(e.refuseUntil-now, MinReportInterval)
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

// updateDemand updates the demand estimate with the arrivals since the last
// report, elapsed ago.
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
