package quota

import (
	"context"
	"math"
	"time"

	"github.com/dotterelseam/dotterelseam/lease"
)

const (
	// borrowThreshold is the fraction of its own rate that demand has to exceed
	// before a data centre borrows, and borrowHeadroom the multiple of demand that
	// it borrows up to.
	borrowThreshold = 0.95
	borrowHeadroom  = 1.1
	// maxLoanExcess is the factor by which loans may exceed what is needed before
	// the excess is returned.
	maxLoanExcess = 1.2
)

// LoanBorrower borrows from the holder of one other data centre for the Holder
// of its own. Step and Run must not be called concurrently.
type LoanBorrower struct {
	holder    *Holder
	lender    string
	client    lenderClient
	nodes     func() []string // nodes of the lender's data centre, which know its holder
	node      string          // node of the lender's data centre to ask next; "" means that one is to be chosen
	nextNode  int             // index of the next one to choose, modulo the number of nodes
	reportNow chan struct{}

	// Guarded by the holder's lock:
	epoch         uint64 // lender's epoch that granted the loans
	returned      map[string]float64
	noRetryBefore map[string]time.Duration // by workspace: the lender has nothing to lend until then
}

// NewLoanBorrower returns a borrower from data centre lender. node is the ID of
// this node. nodes returns IDs of nodes of the lender's data centre; any of them
// answers with the ID of the holder.
func NewLoanBorrower(h *Holder, node, lender string, t Transport, nodes func() []string) *LoanBorrower {
	b := &LoanBorrower{holder: h, lender: lender, nodes: nodes, reportNow: make(chan struct{}, 1), returned: map[string]float64{}, noRetryBefore: map[string]time.Duration{}}
	b.client = lenderClient{clock: h.clock, transport: t, kind: KindLoan, shares: b, dataCentre: h.dataCentre, node: node}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loanBorrowers = append(h.loanBorrowers, b)
	return b
}

// Step sends one report if this node is a holder that may lend and has loans or
// needs some. Callers may ignore the error: the next report states the whole
// state again.
func (b *LoanBorrower) Step(ctx context.Context) error {
	if !b.prepare() {
		return nil
	}
	if b.node == "" {
		nodes := b.nodes()
		if len(nodes) == 0 {
			return lease.ErrNotHolder.New("no known node in data centre %s", b.lender)
		}
		b.node = nodes[b.nextNode%len(nodes)]
		b.nextNode++
	}
	g, err := b.client.exchange(ctx, b.node, nil)
	switch {
	case err != nil:
		b.node = ""
		return err
	case !g.IsHolder:
		if b.node = g.Holder; g.Holder == "" {
			return lease.ErrNotHolder.New("data centre %s has no known holder", b.lender)
		}
	}
	return nil
}

// prepare starts a new session for a new epoch of this holder and returns
// whether a report is needed.
func (b *LoanBorrower) prepare() bool {
	h := b.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	st := h.elector.Status()
	if !st.Lending || !h.ready() {
		return false
	}
	h.beginEpoch(st, now)
	h.expireSessions(now)
	if b.client.session != h.epoch {
		b.client.session, b.client.epoch, b.epoch = h.epoch, 0, 0
	}
	for name, p := range h.pools {
		if p.loanFrom(b) != nil || now >= b.noRetryBefore[name] && (p.unmetTokens >= 1 || p.unmetRate() > 0) {
			return true
		}
	}
	return false
}

// Run borrows until ctx ends.
func (b *LoanBorrower) Run(ctx context.Context) { reportLoop(ctx, b.Step, b.reportNow) }

func (b *LoanBorrower) requestReport() {
	select {
	case b.reportNow <- struct{}{}:
	default:
	}
}

// unmetRate returns the rate to borrow: the demand with headroom, less the data
// centre's own rate.
func (p *pool) unmetRate() float64 {
	if p.demand <= borrowThreshold*p.own.Rate || p.demand < minDemand {
		return 0
	}
	return max(0, p.demand*borrowHeadroom-p.own.Rate)
}

// loanFrom returns the loan from b's lender that b still reports, or nil.
func (p *pool) loanFrom(b *LoanBorrower) *loan {
	for i := range p.loans {
		if l := &p.loans[i]; l.lender == b.lender && l.epoch == b.epoch && b.epoch != 0 {
			return l
		}
	}
	return nil
}

// reportItems implements shareStore.
func (b *LoanBorrower) reportItems(now time.Duration) []Item {
	h := b.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	var items []Item
	for name, p := range h.pools {
		p.advance(now)
		if item, ok := b.reportItem(name, p, now); ok {
			items = append(items, item)
		}
	}
	sortItems(items)
	return items
}

func (b *LoanBorrower) reportItem(name string, p *pool, now time.Duration) (Item, bool) {
	unmetRate, borrowed := p.unmetRate(), p.borrowed(now, 0)
	item := Item{Workspace: name}
	if now >= b.noRetryBefore[name] {
		item.Demand = max(0, unmetRate-borrowed.Rate)
		item.Want = math.Ceil(p.unmetTokens / float64(len(b.holder.loanBorrowers)))
		p.unmetTokens = max(0, p.unmetTokens-item.Want)
	}
	if l := p.loanFrom(b); l != nil {
		b.returnExcess(name, p, l, unmetRate, borrowed, now)
		item.Rate, item.Burst = l.limit.Rate, l.limit.Burst
		item.Demand += l.limit.Rate
	}
	item.Returned, item.Demand = b.returned[name], roundDemand(item.Demand)
	return item, item.Demand > 0 || item.Want > 0 || item.Burst > 0 || item.Rate > 0 || item.Returned > 0
}

// returnExcess returns what exceeds the lender's target or what is not needed,
// as far as it is not lent to nodes.
func (b *LoanBorrower) returnExcess(name string, p *pool, l *loan, unmetRate float64, borrowed Limit, now time.Duration) {
	keep := Limit{l.target.Rate, l.target.Burst}
	if borrowed.Rate > unmetRate*maxLoanExcess && borrowed.Rate > 0 {
		part := unmetRate / borrowed.Rate
		keep = keep.min(Limit{l.limit.Rate * part, l.limit.Burst * part})
	}
	free := p.free(now, 0)
	surplus := Limit{quantise(min(l.limit.Rate-keep.Rate, free.Rate)), quantise(min(l.limit.Burst-keep.Burst, free.Burst))}
	level := 0.0
	if surplus.Burst > 0 {
		level = quantise(p.level * surplus.Burst / free.Burst)
	}
	l.limit = Limit{l.limit.Rate - surplus.Rate, l.limit.Burst - surplus.Burst}
	p.level -= level
	b.returned[name] += level
	p.clampLevel()
}

// applyGrant implements shareStore. A loan that the lender no longer knows is
// not reported again, but stays in the pool until its lease ends, because nodes
// may hold parts of it until then.
func (b *LoanBorrower) applyGrant(now, sent time.Duration, g *Grant, reported []Item) {
	h := b.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch != b.client.session {
		return
	}
	for _, p := range h.pools {
		p.advance(now)
		l := p.loanFrom(b)
		switch {
		case l == nil:
		case g.Resync:
			l.lender = ""
		case l.limit == Limit{}: // not renewed: it ends with its lease
		default:
			l.epoch, l.end = g.Epoch, max(l.end, sent+g.Lease)
		}
	}
	b.epoch = g.Epoch
	for i := range g.Items {
		if p := h.pools[g.Items[i].Workspace]; p != nil {
			b.addGrant(p, &g.Items[i], sent+g.Lease)
			if g.Items[i].RetryAfter > 0 {
				b.noRetryBefore[g.Items[i].Workspace] = now + g.Items[i].RetryAfter
			}
		}
	}
}

func (b *LoanBorrower) addGrant(p *pool, g *GrantItem, end time.Duration) {
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
	p.clampLevel()
}

// reportFailed implements shareStore. Loans end with their lease.
func (b *LoanBorrower) reportFailed(time.Duration) {}

// dropAll implements shareStore. Loans end with their lease.
func (b *LoanBorrower) dropAll(time.Duration) {}
