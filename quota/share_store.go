package quota

import (
	"math"
	"time"
)

// account is what a link borrows for: a node's Bucket, or the Holder of a data
// centre that borrows from another one.
type shareStore interface {
	// collect gives back what exceeds the targets and returns the state after
	// that.
	reportItems(now time.Duration) []Item
	// apply takes over a grant for the items that were reported. The lease
	// ends at leaseEnd, or earlier where an item says so.
	applyGrant(now, sent time.Duration, g *Grant, reported []Item)
	// failed notes that a report was not answered or that nobody lends.
	reportFailed(now time.Duration)
	// dropAll ends everything that is held.
	dropAll(now time.Duration)
}

// collect implements account.
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
		// The load has moved away; a full bucket here would waste what accrues.
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

// giveSurplus returns the upper half of a share's burst with its level if the
// holder is short, so that tokens which this node does not need reach nodes
// that run dry. The holder lends the burst again, without level. Level never
// moves without its burst: otherwise it could be filled up here while it is
// under way.
func (e *entry) returnSurplus() {
	surplus := quantise(e.share.Level - e.share.Burst/2)
	if !e.lenderLow || surplus < 1 {
		return
	}
	e.share.Burst -= surplus
	e.share.Level -= surplus
	e.returned += surplus
}

// apply implements account.
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

// renew extends the lease of a share that has not ended meanwhile.
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

// failed implements account.
func (b *Bucket) reportFailed(time.Duration) {
	b.hasLender.Store(false)
	b.wakeAllWaiters()
}

// dropAll implements account.
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

// giveBack reduces every share to what charges under way need, so that the
// next report returns the rest.
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
