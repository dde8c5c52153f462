package quota

import (
	"math"
	"time"

	"github.com/dotterelseam/dotterelseam/lease"
)

const (
	// nodeRateFraction and nodeBurstFraction are the fractions of a pool that are
	// divided among the nodes in proportion to their demand. The rest stays at the
	// holder for new demand and for nodes without tokens. Less burst than rate is
	// divided, because a single node's burst is small and is used better by all
	// nodes together.
	nodeRateFraction  = 0.9
	nodeBurstFraction = 0.5
	// minNodeBurst is the smallest burst that a node holds permanently, in
	// requests. With a smaller one, fractions of tokens would lie unused on the
	// nodes, so such a node requests each token when it needs one.
	minNodeBurst = 4
	// loanDrainTime is how long before the end of a loan the nodes' targets
	// exclude it: a node lease with its guard time and two report intervals.
	loanDrainTime = lease.NodeLease + lease.GuardTime + 2*ReportInterval
	// lendHeadroom is the multiple of its own demand that a data centre does not
	// lend to others.
	lendHeadroom = 1.25
	// maxRetryAfter is the longest pause before a node requests tokens from an
	// empty pool again. It is just shorter than the report interval, so that a
	// workspace far over its rate requests tokens with every regular report but
	// causes no additional reports.
	maxRetryAfter = ReportInterval - 2*MinReportInterval
	// loanRetryAfter is the pause of a node while its holder requests a loan. It
	// is shorter than MinReportInterval, so that the next report may request tokens
	// again.
	loanRetryAfter = 20 * time.Millisecond
	// loanRefusedRetryAfter is the pause before a data centre requests a loan
	// again from a lender that could not grant all of it.
	loanRefusedRetryAfter = time.Second
)

// allocate decides what a borrower receives in addition to what it holds, and
// records it as lent. kind is KindReport or KindLoan. The pool must have been
// advanced to now.
func (p *pool) allocate(kind string, held *heldItem, item *Item, now time.Duration) GrantItem {
	g := GrantItem{Workspace: item.Workspace}
	var limit Limit // upper bound of the addition
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

// low reports whether the pool's level is below half of its free burst. Nodes
// then return tokens that they do not need.
func (p *pool) low() bool { return p.level < p.free(p.filledAt, 0).Burst/2 }

// nodeTarget returns a node's part of the pool in proportion to its demand, in
// requests per second.
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

// spare returns the part of the entitlement that may be lent to other data
// centres.
func (p *pool) spare() Limit {
	rate := min(p.own.Rate-lendHeadroom*p.demand, maxLoanFraction*p.own.Rate)
	if rate <= 0 || p.own.Rate == 0 {
		return Limit{}
	}
	return Limit{quantise(rate), quantise(rate / p.own.Rate * p.own.Burst)}
}

// loanTarget returns a borrowing data centre's part of the spare entitlement in
// proportion to its unmet demand, in requests per second.
func (p *pool) loanTarget(demand float64) Limit {
	spare := p.spare()
	if p.loanDemand <= 0 || spare.Rate == 0 {
		return Limit{}
	}
	rate := min(demand, spare.Rate*min(1, demand/p.loanDemand))
	return Limit{quantise(rate), quantise(spare.Burst * rate / spare.Rate)}
}

// lendable returns what may be lent to other data centres now. It excludes
// borrowed shares, because their lease could end before the new loan's.
func (p *pool) lendable(now time.Duration) Limit {
	spare := p.spare()
	rate := min(spare.Rate-p.lentToDCs.Rate, p.own.Rate-p.lentToNodes.Rate-p.lentToDCs.Rate)
	burst := min(spare.Burst-p.lentToDCs.Burst, p.own.Burst-p.lentToNodes.Burst-p.lentToDCs.Burst)
	return Limit{max(0, rate), max(0, burst)}
}

// addUpToTarget raises the borrower's share to its target as far as limit
// allows, and adds level in proportion to the added burst.
func (p *pool) addUpToTarget(g *GrantItem, held *heldItem, limit Limit) {
	free := p.free(p.filledAt, 0).Burst
	g.Rate = quantise(min(g.TargetRate-held.limit.Rate, limit.Rate))
	g.Burst = quantise(min(g.TargetBurst-held.limit.Burst, limit.Burst))
	if g.Burst > 0 && free > 0 {
		g.Level = quantise(p.level * min(1, g.Burst/free))
		if p.low() {
			g.Level = quantise(p.level - max(0, free-g.Burst)) // only what exceeds the remaining free burst
		}
	}
}

// addWantedTokens adds whole tokens for a borrower that has requests waiting.
// Each token comes with one request of burst, which the borrower returns with
// its next report.
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

// retryAfter returns the time until the pool may have a token for a node of the
// given demand, if the other nodes receive theirs in proportion.
func (p *pool) retryAfter(demand float64) time.Duration {
	rate := p.free(p.filledAt, 0).Rate
	if p.demand > p.own.Rate+p.borrowed(p.filledAt, 0).Rate {
		return maxRetryAfter // the workspace is over its rate, so some requests have to be refused
	}
	if p.demand > 0 {
		rate *= min(1, demand/p.demand)
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return max(MinReportInterval, min(maxRetryAfter, time.Duration(float64(time.Second)/rate)))
}
