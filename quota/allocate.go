package quota

import (
	"math"
	"time"

	"github.com/dotterelseam/dotterelseam/lease"
)

const (
	// nodeRate and nodeBurst are the parts of a pool that nodes hold by their
	// demand. The rest stays at the holder for new demand and for nodes that run
	// dry; bursts are better shared there, because a node's own burst is small.
	nodeRateFraction  = 0.9
	nodeBurstFraction = 0.5
	// minBurst is the smallest burst that a node holds for good, in requests.
	// Below it fractions of tokens would be stranded on the nodes, so every
	// token is asked for when it is needed.
	minNodeBurst = 4
	// drainTime is how long before the end of a loan the nodes' targets leave
	// it out: a lease plus two reports.
	loanDrainTime = lease.NodeLease + lease.GuardTime + 2*ReportInterval
	// lendHeadroom is the multiple of its own demand that a data centre keeps.
	lendHeadroom = 1.25
	// maxRetry is the pause before a borrower asks for more than an empty pool
	// has. It is just shorter than the report interval, so that a workspace far
	// over its rate asks with every regular report but causes no others.
	maxRetryAfter = ReportInterval - 2*MinInterval
	// loanTime is the pause of a node while its holder asks for a loan. It is
	// shorter than MinInterval, so that the next report may ask again.
	loanRetryAfter = 20 * time.Millisecond
	// noLoan is the pause before a data centre asks again for a loan that was
	// refused altogether.
	loanRefusedRetryAfter = time.Second
)

// allocate decides what a borrower gets on top of what it holds. The pool is
// settled.
func (p *pool) allocate(kind string, held *heldItem, item *Item, now time.Duration) GrantItem {
	g := GrantItem{Workspace: item.Workspace}
	var limit Limit // what the borrower may get at most
	if kind == KindLoan {
		target := p.loanTarget(item.Demand)
		g.TargetRate, g.TargetBurst = target.Rate, target.Burst
		limit = p.lendable(now)
	} else {
		target := p.nodeTarget(item.Demand, now)
		g.TargetRate, g.TargetBurst = target.Rate, target.Burst
		limit = p.free(now, loanDrainTime)
	}
	p.addUpToTarget(&g, held, limit)
	p.addWantedTokens(kind, &g, held, item, limit)
	granted := Limit{held.limit.Rate + g.Rate, held.limit.Burst + g.Burst}
	p.setHeld(kind, held, granted, held.demand)
	p.level -= g.Level
	p.clampLevel()
	if kind == KindReport {
		g.LenderLow = p.low()
		if t := p.nodeLeaseTerm(now); t != lease.NodeLease {
			g.Lease = t
		}
	}
	return g
}

// short reports whether the pool should collect tokens for nodes that run dry.
func (p *pool) low() bool { return p.level < p.free(p.filledAt, 0).Burst/2 }

// nodeTarget is a node's part by its demand.
func (p *pool) nodeTarget(demand float64, now time.Duration) Limit {
	borrowed := p.borrowed(now, loanDrainTime)
	if p.demand <= 0 {
		return Limit{}
	}
	fraction := min(1, demand/p.demand)
	burst := quantise(nodeBurstFraction * fraction * (p.own.Burst + borrowed.Burst - p.lentToDCs.Burst))
	if burst < minNodeBurst {
		return Limit{}
	}
	return Limit{quantise(nodeRateFraction * fraction * (p.own.Rate + borrowed.Rate - p.lentToDCs.Rate)), burst}
}

// spare is the part of the entitlement that other data centres may have.
func (p *pool) spare() Limit {
	rate := min(p.own.Rate-lendHeadroom*p.demand, maxLoanFraction*p.own.Rate)
	if rate <= 0 || p.own.Rate == 0 {
		return Limit{}
	}
	return Limit{quantise(rate), quantise(rate / p.own.Rate * p.own.Burst)}
}

// loanTarget is a borrowing data centre's part by its unmet demand.
func (p *pool) loanTarget(demand float64) Limit {
	spare := p.spare()
	if p.loanDemand <= 0 || spare.Rate == 0 {
		return Limit{}
	}
	rate := min(demand, spare.Rate*min(1, demand/p.loanDemand))
	return Limit{quantise(rate), quantise(spare.Burst * rate / spare.Rate)}
}

// lendable is what may be lent to other data centres now. It never comes from
// borrowed shares, whose lease could end first.
func (p *pool) lendable(now time.Duration) Limit {
	spare := p.spare()
	rate := min(spare.Rate-p.lentToDCs.Rate, p.own.Rate-p.lentToNodes.Rate-p.lentToDCs.Rate)
	burst := min(spare.Burst-p.lentToDCs.Burst, p.own.Burst-p.lentToNodes.Burst-p.lentToDCs.Burst)
	return Limit{max(0, rate), max(0, burst)}
}

// addStanding brings the borrower up to its target as far as limit allows; the
// level goes along in proportion.
func (p *pool) addUpToTarget(g *GrantItem, held *heldItem, limit Limit) {
	free := p.free(p.filledAt, 0).Burst
	g.Rate = quantise(min(g.TargetRate-held.limit.Rate, limit.Rate))
	g.Burst = quantise(min(g.TargetBurst-held.limit.Burst, limit.Burst))
	if g.Burst > 0 && free > 0 {
		g.Level = quantise(p.level * min(1, g.Burst/free))
		if p.low() {
			g.Level = quantise(p.level - max(0, free-g.Burst)) // only what would not fit any more
		}
	}
}

// addWanted gives whole tokens to a borrower that ran dry. They come with the
// burst that holds them, which the borrower returns with its next report.
func (p *pool) addWantedTokens(kind string, g *GrantItem, held *heldItem, item *Item, limit Limit) {
	if kind == KindLoan && g.Rate == 0 && g.Burst == 0 && limit.Rate == 0 {
		g.RetryAfter = loanRefusedRetryAfter
		return
	}
	if item.Want <= 0 {
		return
	}
	missing := math.Ceil(item.Want - g.Level)
	tokens := max(0, min(missing, math.Floor(min(p.level-g.Level, limit.Burst-g.Burst))))
	g.Burst += tokens
	g.Level += tokens
	if tokens < missing {
		g.RetryAfter = loanRefusedRetryAfter
		if kind == KindReport {
			p.unmetTokens += missing - tokens
			g.RetryAfter = p.retryAfter(item.Demand)
		}
	}
}

// retry is the time until the pool may have a token for a node of the given
// demand, if the other nodes get theirs as well.
func (p *pool) retryAfter(demand float64) time.Duration {
	rate := p.free(p.filledAt, 0).Rate
	if p.demand > p.own.Rate+p.borrowed(p.filledAt, 0).Rate {
		return maxRetryAfter // the workspace is over its rate, and somebody has to be refused
	}
	if p.demand > 0 {
		rate *= min(1, demand/p.demand)
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return max(MinInterval, min(maxRetryAfter, time.Duration(float64(time.Second)/rate)))
}
