package quota

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/lease"
)

// sweepInterval bounds how often the ledger is searched for ended leases.
const sweepInterval = 50 * time.Millisecond

// maxLoanFraction is the part of an entitlement that may be lent to other data
// centres. A new holder withholds it until loans of its predecessor have ended,
// and can start on the rest after the shorter wait for nodes' leases.
const maxLoanFraction = 0.5

// Holder owns a data centre's entitlement and lends it to nodes and to other
// data centres, while its lease.Elector reports that it may. All methods are safe for concurrent use.
type Holder struct {
	clock      lease.Clock
	elector    *lease.Elector
	dataCentre string

	mu       sync.Mutex
	version  uint64           // of the configuration; 0 before the first one
	entitled map[string]Limit // by the configuration
	state    holderState      // what the holder row allows
	hasState bool
	floor    map[string]Limit // least of the proposed states whose outcome is unknown; nil if there are none
	proposed []byte           // last proposed state
	released map[string]releasedRow
	stopped  bool
	lenders  []*LoanBorrower

	epoch     uint64  // of the ledger; 0 if there is none
	since     uint64  // first epoch of this ledger, which may have been handed over several times
	inherited *Ledger // received from a stopping holder
	full      bool    // nothing is withheld for loans of an earlier holder
	pools     map[string]*pool
	sessions  map[sessionKey]*session
	swept     time.Duration
}

// NewHolder returns a holder without configuration. It lends nothing before
// SetElector and Configure. clock nil means lease.BootClock.
func NewHolder(dataCentre string, clock lease.Clock) *Holder {
	if clock == nil {
		clock = lease.BootClock{}
	}
	return &Holder{clock: clock, dataCentre: dataCentre, pools: map[string]*pool{}, sessions: map[sessionKey]*session{},
		released: map[string]releasedRow{}}
}

// SetElector sets the elector, whose StateOwner is this holder.
func (h *Holder) SetElector(k *lease.Elector) { h.elector = k }

// Configure puts a version of the configuration in force. Reductions hold at
// once; increases wait until all data centres have this version. Older versions
// than the present one are ignored.
func (h *Holder) Configure(version uint64, fleet *config.Fleet) {
	h.mu.Lock()
	if version <= h.version {
		h.mu.Unlock()
		return
	}
	h.version, h.entitled = version, Entitlements(fleet, h.dataCentre)
	h.setOwn(h.clock.Now())
	h.mu.Unlock()
	if h.elector != nil {
		h.elector.Wake()
	}
}

// HandleReport answers a KindReport.
func (h *Holder) HandleReport(ctx context.Context, from string, payload []byte) (any, error) {
	return h.handle(KindReport, payload)
}

// HandleLoan answers a KindLoan.
func (h *Holder) HandleLoan(ctx context.Context, from string, payload []byte) (any, error) {
	return h.handle(KindLoan, payload)
}

func (h *Holder) handle(kind string, payload []byte) (any, error) {
	var r Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	return h.report(kind, &r)
}

// report answers one report. The errors are of class ErrStale and ErrLedger;
// with either of them nothing is lent or renewed.
func (h *Holder) report(kind string, r *Report) (*Grant, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == KindReport {
		h.elector.RecordEcho(r.Node, r.EchoEpoch, r.Echo)
	}
	st := h.elector.Status()
	now := h.clock.Now()
	g := &Grant{Epoch: st.Epoch, Holder: st.Node, Seq: r.Seq, Mine: st.IsHolder && !h.stopped}
	if !g.Mine {
		return g, nil
	}
	g.Stamp = now
	if !st.Lending || !h.ready() || kind == KindLoan && !st.LoansAllowed {
		return g, nil
	}
	h.begin(st, now)
	h.sweep(now)
	return g, h.lend(kind, r, g, now)
}

// ready reports whether the configuration is at least as new as the one that a
// holder of this data centre has announced to the others.
func (h *Holder) ready() bool {
	return h.version > 0 && h.hasState && h.version >= h.state.Version && !h.stopped
}

// begin starts an empty ledger for a new epoch, and ends the withholding.
func (h *Holder) begin(st lease.Status, now time.Duration) {
	if st.Epoch != h.epoch {
		h.epoch, h.since, h.full = st.Epoch, st.Epoch, st.LoansAllowed
		h.pools, h.sessions = map[string]*pool{}, map[sessionKey]*session{}
		if l := h.inherited; st.HandedOver && l != nil && l.Epoch+1 == st.Epoch {
			h.inherit(l)
		}
		h.inherited = nil
		h.setOwn(now)
	}
	if st.LoansAllowed && !h.full {
		h.full = true
		h.setOwn(now)
	}
}

// lend settles the ledger by the report and adds to the grant.
func (h *Holder) lend(kind string, r *Report, g *Grant, now time.Duration) error {
	key := sessionKey{kind, r.DataCentre, r.Node, r.Session}
	term := lease.NodeLease
	if kind == KindLoan {
		key.node, term = "", lease.LoanLease
	}
	s := h.sessions[key]
	if r.Epoch > h.epoch {
		return ErrLedger.New("node %s has shares of epoch %d, after %d", r.Node, r.Epoch, h.epoch)
	}
	cont := s != nil && r.Epoch != 0 && r.Epoch >= h.since
	switch {
	case s == nil:
		s = &session{items: map[string]*lent{}}
		h.sessions[key] = s
	case r.Seq <= s.seq:
		return ErrStale.New("report %d of node %s after %d", r.Seq, r.Node, s.seq)
	}
	s.seq = r.Seq
	if cont && s.exceeds(r) {
		return ErrLedger.New("node %s", r.Node)
	}
	g.Lease, g.Resync = term, !cont
	s.expires = now + term + lease.GuardTime
	for i := range r.Items {
		if p := h.pool(r.Items[i].Workspace, now); p != nil {
			p.update(kind, s, &r.Items[i], cont, now)
		}
	}
	h.forgetUnnamed(kind, s, now)
	for i := range r.Items {
		if p, l := h.pools[r.Items[i].Workspace], s.items[r.Items[i].Workspace]; p != nil && l != nil {
			item := p.allocate(kind, l, &r.Items[i], now)
			if h.borrow(r.Items[i].Workspace, p, now) && item.Retry > 0 {
				item.Retry = loanTime
			}
			g.Items = append(g.Items, item)
		}
	}
	return nil
}

// borrow asks other data centres at once when nodes run dry. It returns whether
// there is one that may lend.
func (h *Holder) borrow(workspace string, p *pool, now time.Duration) (asked bool) {
	if p.need < 1 {
		return false
	}
	p.need = min(p.need, max(1, p.own.Burst))
	for _, b := range h.lenders {
		if now >= b.quiet[workspace] {
			b.wake()
			asked = true
		}
	}
	return asked
}

// forgetUnnamed ends what the report does not name.
func (h *Holder) forgetUnnamed(kind string, s *session, now time.Duration) {
	for name, l := range s.items {
		if l.seq == s.seq {
			continue
		}
		p := h.pools[name]
		p.settle(now)
		p.set(kind, l, Limit{}, 0)
		delete(s.items, name)
	}
}

// pool returns the pool of a workspace, or nil if the data centre does not know it.
func (h *Holder) pool(workspace string, now time.Duration) *pool {
	p := h.pools[workspace]
	if p == nil {
		if _, ok := h.entitled[workspace]; !ok && !h.known(workspace) {
			return nil
		}
		p = &pool{last: now, own: h.usable(workspace)}
		h.pools[workspace] = p
	}
	return p
}

// sweep takes back what ended leases held, with level 0.
func (h *Holder) sweep(now time.Duration) {
	if now < h.swept+sweepInterval {
		return
	}
	h.swept = now
	for key, s := range h.sessions {
		if now < s.expires {
			continue
		}
		for name, l := range s.items {
			p := h.pools[name]
			p.settle(now)
			p.set(key.kind, l, Limit{}, 0)
		}
		delete(h.sessions, key)
	}
}
