package quota

import (
	"math"
	"time"
)

// shareStore receives the shares that a lenderClient borrows. It is a node's
// Bucket, or a LoanBorrower for the Holder of a data centre that borrows from
// another one. Times are readings of lease.Clock.
type shareStore interface {
	// reportItems reduces the held shares to the lender's targets and returns
	// the state after that, for the next report.
	reportItems(now time.Duration) []Item
	// applyGrant adds a grant to the items that were reported. sent is when the
	// report was sent. The lease ends at sent+g.Lease, or earlier if an item has
	// a lease of its own.
	applyGrant(now, sent time.Duration, g *Grant, reported []Item)
	// reportFailed records that a report was not answered or that the answering
	// node does not lend.
	reportFailed(now time.Duration)
	// dropAll removes all held shares without returning them. A
	// LoanBorrower keeps its loans until their lease ends.
	dropAll(now time.Duration)
}

// reportItems implements shareStore.
func (b *Bucket) reportItems(now time.Duration) []Item {
	var items []Item
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if item, ok := e.reportItem(now); ok {
				items = append(items, item)
			}
		}
		s.mu.Unlock()
	}
	sortItems(items)
	return items
}

func (e *entry) reportItem(now time.Duration) (Item, bool) {
	e.advance(now)
	idle := e.arrivals == 0 && now >= e.reportedAt+idleAfter
	e.updateDemand(now - e.reportedAt)
	e.reportedAt = now
	if e.hasTarget && (e.share.Rate > e.target.Rate*targetTolerance || e.share.Burst > e.target.Burst*targetTolerance) {
		rate := e.share.Rate
		if rate > e.target.Rate*targetTolerance {
			rate = e.target.Rate
		}
		e.returned += e.share.reduce(rate, e.target.Burst, float64(e.pending))
	}
	if idle && e.lenderLow {
		// The load has moved to other nodes, and tokens that accrue in a full
		// bucket are lost.
		e.demand /= idleDemandDivisor
		e.returned += e.share.reduce(0, 0, float64(e.pending))
	}
	e.returnSurplus()
	wanted := 0.0
	if n := max(e.misses, e.waiting); n > 0 && now >= e.refuseUntil {
		wanted = float64(n) + math.Ceil(e.demand*prefetchSeconds)
	}
	e.misses = 0
	if e.share.Burst == 0 && e.share.Rate == 0 && e.demand < minDemand && wanted == 0 && e.returned == e.reportedReturned {
		return Item{}, false
	}
	e.reportedReturned = e.returned
	return Item{Workspace: e.name, Rate: e.share.Rate, Burst: e.share.Burst, Returned: e.returned,
		Demand: roundDemand(e.demand), Want: wanted}, true
}

// returnSurplus returns the level above half of the share's burst, together
// with as much burst, if the lender's level is low. Tokens that this node does
// not need then reach nodes that have none. The lender lends the burst again,
// without level. Level is never returned without its burst, because the share
// could refill here while the returned level is in transit.
func (e *entry) returnSurplus() {
	surplus := quantise(e.share.Level - e.share.Burst/2)
	if !e.lenderLow || surplus < 1 {
		return
	}
	e.share.Burst -= surplus
	e.share.Level -= surplus
	e.returned += surplus
}

// applyGrant implements shareStore.
func (b *Bucket) applyGrant(now, sent time.Duration, g *Grant, reported []Item) {
	if g.Resync {
		b.dropAll(now)
	}
	for _, item := range reported {
		b.renewLease(item.Workspace, now, sent+g.Lease)
	}
	for i := range g.Items {
		b.addGrant(&g.Items[i], now, sent, g.Lease)
	}
	b.hasLender.Store(true)
	b.wakeAllWaiters()
}

// renewLease sets the end of a share's lease. A share whose lease has already
// ended is dropped first.
func (b *Bucket) renewLease(workspace string, now, end time.Duration) {
	s := b.shardOf(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(workspace)
	e.advance(now)
	e.leaseEnd = end
}

func (b *Bucket) addGrant(g *GrantItem, now, sent, leaseTerm time.Duration) {
	s := b.shardOf(g.Workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(g.Workspace)
	e.advance(now)
	e.target, e.hasTarget, e.lenderLow = Limit{g.TargetRate, g.TargetBurst}, true, g.LenderLow
	if g.RetryAfter > 0 {
		e.refuseUntil = now + g.RetryAfter
	}
	if g.Lease != 0 {
		leaseTerm = g.Lease
	}
	e.leaseEnd = sent + leaseTerm
	if now >= e.leaseEnd {
		e.drop()
		return
	}
	e.share.Rate += g.Rate
	e.share.Burst += g.Burst
	e.share.Level = min(e.share.Level+g.Level, max(0, e.maxLevel()))
}

// reportFailed implements shareStore.
func (b *Bucket) reportFailed(time.Duration) {
	b.hasLender.Store(false)
	b.wakeAllWaiters()
}

// dropAll implements shareStore.
func (b *Bucket) dropAll(time.Duration) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			e.drop()
		}
		s.mu.Unlock()
	}
}

// releaseShares sets every target to zero, so that the next report returns all
// shares except the burst that pending charges occupy.
func (b *Bucket) releaseShares() {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			e.target, e.hasTarget = Limit{}, true
			e.demand, e.arrivals, e.misses = 0, 0, 0
		}
		s.mu.Unlock()
	}
}

func (b *Bucket) wakeAllWaiters() {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			e.wakeWaiters()
		}
		s.mu.Unlock()
	}
}
