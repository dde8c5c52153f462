package quota

import (
	"context"
	"math"
	"time"

	"github.com/dotterelseam/dotterelseam/lease"
)

const (
	// borrowAbove is the part of the own rate that demand has to exceed before
	// a data centre borrows, and borrowFactor the multiple of demand it aims at.
	borrowAbove  = 0.95
	borrowFactor = 1.1
	// overBorrowed is how far loans may exceed what is needed before they are
	// given back in part.
	overBorrowed = 1.2
)

// LoanBorrower borrows from the holder of one other data centre for the Holder
// of its own.
type LoanBorrower struct {
	holder *Holder
	lender string
	link   link
	nodes  func() []string // candidates that know the lender's holder
	target string
	next   int
	kick   chan struct{}

	// Guarded by the holder's lock:
	epoch    uint64 // lender's epoch that the loans come from
	returned map[string]float64
	quiet    map[string]time.Duration // workspaces that the lender has nothing of until then
}

// NewLoanBorrower returns a borrower from data centre lender. nodes returns
// IDs of nodes there, of which any answers with the name of its holder.
func NewLoanBorrower(h *Holder, node, lender string, t Transport, nodes func() []string) *LoanBorrower {
	b := &LoanBorrower{holder: h, lender: lender, nodes: nodes, kick: make(chan struct{}, 1), returned: map[string]float64{}, quiet: map[string]time.Duration{}}
	b.link = link{clock: h.clock, transport: t, kind: KindLoan, account: b, dataCentre: h.dataCentre, node: node}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lenders = append(h.lenders, b)
	return b
}

// Step makes one report if this node lends and something is borrowed or
// missing. The error needs no handling, because the next report starts anew.
func (b *LoanBorrower) Step(ctx context.Context) error {
	if !b.prepare() {
		return nil
	}
	if b.target == "" {
		nodes := b.nodes()
		if len(nodes) == 0 {
			return lease.ErrNotHolder.New("no known node in data centre %s", b.lender)
		}
		b.target = nodes[b.next%len(nodes)]
		b.next++
	}
	g, err := b.link.exchange(ctx, b.target, nil)
	switch {
	case err != nil:
		b.target = ""
		return err
	case !g.Mine:
		if b.target = g.Holder; g.Holder == "" {
			return lease.ErrNotHolder.New("data centre %s has no known holder", b.lender)
		}
	}
	return nil
}

// prepare starts a new session for a new epoch of the own holder and reports
// whether there is anything to say.
func (b *LoanBorrower) prepare() bool {
	h := b.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	st := h.elector.Status()
	if !st.Lending || !h.ready() {
		return false
	}
	h.begin(st, now)
	h.sweep(now)
	if b.link.session != h.epoch {
		b.link.session, b.link.epoch, b.epoch = h.epoch, 0, 0
	}
	for name, p := range h.pools {
		if p.loanFrom(b) != nil || now >= b.quiet[name] && (p.need >= 1 || p.missing() > 0) {
			return true
		}
	}
	return false
}

// Run borrows until ctx ends.
func (b *LoanBorrower) Run(ctx context.Context) { reportLoop(ctx, b.Step, b.kick) }

func (b *LoanBorrower) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// missing is the rate that the data centre's demand exceeds its own by.
func (p *pool) missing() float64 {
	if p.demand <= borrowAbove*p.own.Rate || p.demand < minDemand {
		return 0
	}
	return max(0, p.demand*borrowFactor-p.own.Rate)
}

// loanFrom returns the loan that b may still report, or nil.
func (p *pool) loanFrom(b *LoanBorrower) *loan {
	for i := range p.loans {
		if l := &p.loans[i]; l.lender == b.lender && l.epoch == b.epoch && b.epoch != 0 {
			return l
		}
	}
	return nil
}

// collect implements account.
func (b *LoanBorrower) collect(now time.Duration) []Item {
	h := b.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	var items []Item
	for name, p := range h.pools {
		p.settle(now)
		if item, ok := b.report(name, p, now); ok {
			items = append(items, item)
		}
	}
	sortItems(items)
	return items
}

func (b *LoanBorrower) report(name string, p *pool, now time.Duration) (Item, bool) {
	missing, in := p.missing(), p.in(now, 0)
	item := Item{Workspace: name}
	if now >= b.quiet[name] {
		item.Demand = max(0, missing-in.Rate)
		item.Want = math.Ceil(p.need / float64(len(b.holder.lenders)))
		p.need = max(0, p.need-item.Want)
	}
	if l := p.loanFrom(b); l != nil {
		b.reduce(name, p, l, missing, in, now)
		item.Rate, item.Burst = l.limit.Rate, l.limit.Burst
		item.Demand += l.limit.Rate
	}
	item.Returned, item.Demand = b.returned[name], round(item.Demand)
	return item, item.Demand > 0 || item.Want > 0 || item.Burst > 0 || item.Rate > 0 || item.Returned > 0
}

// reduce gives back what the lender wants to have or what is not needed, as far
// as it is not lent to nodes.
func (b *LoanBorrower) reduce(name string, p *pool, l *loan, missing float64, in Limit, now time.Duration) {
	keep := Limit{l.target.Rate, l.target.Burst}
	if in.Rate > missing*overBorrowed && in.Rate > 0 {
		part := missing / in.Rate
		keep = keep.min(Limit{l.limit.Rate * part, l.limit.Burst * part})
	}
	free := p.free(now, 0)
	give := Limit{quantise(min(l.limit.Rate-keep.Rate, free.Rate)), quantise(min(l.limit.Burst-keep.Burst, free.Burst))}
	level := 0.0
	if give.Burst > 0 {
		level = quantise(p.level * give.Burst / free.Burst)
	}
	l.limit = Limit{l.limit.Rate - give.Rate, l.limit.Burst - give.Burst}
	p.level -= level
	b.returned[name] += level
	p.clip()
}

// apply implements account. A loan that the lender does not know any more is
// not reported again, but stays in the pool until its lease ends: nodes may
// hold parts of it until then.
func (b *LoanBorrower) apply(now, sent time.Duration, g *Grant, reported []Item) {
	h := b.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch != b.link.session {
		return
	}
	for _, p := range h.pools {
		p.settle(now)
		l := p.loanFrom(b)
		switch {
		case l == nil:
		case g.Resync:
			l.lender = ""
		case l.limit == Limit{}: // ends with its lease
		default:
			l.epoch, l.end = g.Epoch, max(l.end, sent+g.Lease)
		}
	}
	b.epoch = g.Epoch
	for i := range g.Items {
		if p := h.pools[g.Items[i].Workspace]; p != nil {
			b.add(p, &g.Items[i], sent+g.Lease)
			if g.Items[i].Retry > 0 {
				b.quiet[g.Items[i].Workspace] = now + g.Items[i].Retry
			}
		}
	}
}

func (b *LoanBorrower) add(p *pool, g *GrantItem, end time.Duration) {
	l := p.loanFrom(b)
	if l == nil {
		if g.Rate == 0 && g.Burst == 0 {
			return
		}
		p.loans = append(p.loans, loan{lender: b.lender, epoch: b.epoch, end: end})
		l = &p.loans[len(p.loans)-1]
	}
	l.epoch, l.end = b.epoch, max(l.end, end)
	l.limit.Rate += g.Rate
	l.limit.Burst += g.Burst
	l.target = Limit{g.TargetRate, g.TargetBurst}
	p.level += g.Level
	p.clip()
}

// failed implements account: loans end with their lease.
func (b *LoanBorrower) failed(time.Duration) {}

// dropAll implements account: loans end with their lease.
func (b *LoanBorrower) dropAll(time.Duration) {}
