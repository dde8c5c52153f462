package quota

import (
	"time"

	"github.com/dotterelseam/dotterelseam/lease"
)

// loan is what the pool of one workspace has borrowed from one other data centre.
// Times are readings of lease.Clock, also in pool.
type loan struct {
	lender string // data centre; "" if the lender no longer knows the loan
	epoch  uint64 // of the lender
	limit  Limit
	end    time.Duration // of the lease
	target Limit
}

// pool is what a data centre has of one workspace: its entitlement and its
// loans. The part that is lent neither to nodes nor to other data centres is
// itself a token bucket.
type pool struct {
	own         Limit // usable part of the entitlement
	lentToNodes Limit
	lentToDCs   Limit // lent to other data centres
	loans       []loan
	level       float64       // tokens in the part that is not lent
	filledAt    time.Duration // time up to which accrued tokens have been added to level

	demand      float64 // of all nodes, requests per second
	loanDemand  float64 // of all borrowing data centres, requests per second
	unmetTokens float64 // tokens that nodes requested and did not get since the last loan report
}

// borrowed returns the sum of the loans that last longer than margin.
func (p *pool) borrowed(now, margin time.Duration) Limit {
	var sum Limit
	for i := range p.loans {
		if p.loans[i].end > now+margin {
			sum.Rate += p.loans[i].limit.Rate
			sum.Burst += p.loans[i].limit.Burst
		}
	}
	return sum
}

// free returns what is not lent, counting the loans that last longer than
// margin. It is negative after a reduction of the entitlement or the end of a
// loan, until the borrowers have returned enough.
func (p *pool) free(now, margin time.Duration) Limit {
	borrowed := p.borrowed(now, margin)
	return Limit{p.own.Rate + borrowed.Rate - p.lentToNodes.Rate - p.lentToDCs.Rate, p.own.Burst + borrowed.Burst - p.lentToNodes.Burst - p.lentToDCs.Burst}
}

// advance adds the tokens that accrued until now and removes loans whose lease
// has ended.
func (p *pool) advance(now time.Duration) {
	for len(p.loans) > 0 {
		first := p.firstLoanEnd()
		if first > now {
			break
		}
		p.fill(first)
		kept := p.loans[:0]
		for _, l := range p.loans {
			if l.end > first {
				kept = append(kept, l)
			}
		}
		p.loans = kept
	}
	p.fill(now)
}

func (p *pool) firstLoanEnd() time.Duration {
	first := p.loans[0].end
	for _, l := range p.loans[1:] {
		first = min(first, l.end)
	}
	return first
}

func (p *pool) fill(to time.Duration) {
	free := p.free(p.filledAt, 0)
	s := Share{Rate: free.Rate, Burst: free.Burst, Level: p.level}
	s.fill(to-p.filledAt, free.Burst)
	p.level, p.filledAt = s.Level, max(p.filledAt, to)
}

// clampLevel limits the level to the free burst after a change. The pool must
// have been advanced.
func (p *pool) clampLevel() {
	p.level = max(0, min(p.level, p.free(p.filledAt, 0).Burst))
}

// nodeLeaseTerm returns the lease of a node's share. If the data centre has lent
// more than its own entitlement, the lease ends before the first loan does; -1
// means that the time left is not enough for any lease.
func (p *pool) nodeLeaseTerm(now time.Duration) time.Duration {
	over := p.lentToNodes.Rate+p.lentToDCs.Rate > p.own.Rate || p.lentToNodes.Burst+p.lentToDCs.Burst > p.own.Burst
	if !over || len(p.loans) == 0 {
		return lease.NodeLease
	}
	left := p.firstLoanEnd() - now - lease.GuardTime
	if left <= 0 {
		return -1
	}
	return min(left, lease.NodeLease)
}

// sessionKey identifies a borrower. A restarted process is a new borrower; the
// shares of the old one are taken back after their lease.
type sessionKey struct {
	kind, dataCentre, node string
	session                uint64
}

// session records what one borrower holds.
type session struct {
	seq     uint64
	expires time.Duration
	items   map[string]*heldItem
}

// heldItem is the lender's record of what a borrower holds of one workspace.
type heldItem struct {
	limit    Limit
	returned float64 // value of Item.Returned that has been added to the pool
	demand   float64
	seq      uint64 // of the last report that listed the workspace
}

// totals returns the pool's totals for borrowers of this kind.
func (p *pool) totals(kind string) (limit *Limit, demand *float64) {
	if kind == KindLoan {
		return &p.lentToDCs, &p.loanDemand
	}
	return &p.lentToNodes, &p.demand
}

// setHeld changes the record of what a borrower holds and the pool's totals. The
// pool must have been advanced.
func (p *pool) setHeld(kind string, held *heldItem, limit Limit, demand float64) {
	lentSum, demandSum := p.totals(kind)
	lentSum.Rate += limit.Rate - held.limit.Rate
	lentSum.Burst += limit.Burst - held.limit.Burst
	*demandSum = max(0, *demandSum+demand-held.demand)
	held.limit, held.demand = limit, demand
}

// applyItem updates the pool and the session from what a report says about one
// workspace. continued means that the session recorded the borrower's shares
// when they were granted.
func (p *pool) applyItem(kind string, s *session, item *Item, continued bool, now time.Duration) *heldItem {
	p.advance(now)
	held := s.items[item.Workspace]
	if held == nil {
		held = &heldItem{returned: item.Returned}
		s.items[item.Workspace] = held
	}
	limit := Limit{item.Rate, item.Burst}
	if !continued {
		limit = Limit{}
	}
	p.setHeld(kind, held, limit, quantise(item.Demand))
	if continued && item.Returned > held.returned {
		p.level += item.Returned - held.returned
	}
	held.returned, held.seq = item.Returned, s.seq
	p.clampLevel()
	return held
}

// claimsMoreThanLent reports whether a report claims more than the session
// records, or a negative amount.
func (s *session) claimsMoreThanLent(r *Report) bool {
	for i := range r.Items {
		item := &r.Items[i]
		var limit Limit
		if held := s.items[item.Workspace]; held != nil {
			limit = held.limit
		}
		if item.Rate > limit.Rate || item.Burst > limit.Burst || item.Rate < 0 || item.Burst < 0 {
			return true
		}
	}
	return false
}
