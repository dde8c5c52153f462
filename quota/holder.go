package quota

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/lease"
)

// sweepInterval is the least time between two searches for ended leases.
const sweepInterval = 50 * time.Millisecond

// maxLoanFraction is the fraction of an entitlement that may be lent to other
// data centres. A new holder withholds it until loans of its predecessor have
// ended, but may lend the rest after the shorter wait for the nodes' leases.
const maxLoanFraction = 0.5

// Holder owns a data centre's entitlement and lends it to nodes and to other
// data centres, while its lease.Elector reports that it may. All methods but
// SetElector are safe for concurrent use.
type Holder struct {
	clock      lease.Clock
	elector    *lease.Elector
	dataCentre string

	mu             sync.Mutex
	version        uint64           // of the configuration; 0 before the first one
	entitlements   map[string]Limit // by the configuration, by workspace
	state          holderState      // as stored in the holder row
	hasState       bool
	unconfirmedMin map[string]Limit // minimum over the proposed states whose write has an unknown outcome; nil if there are none
	lastProposal   []byte           // last proposed state, encoded
	releasedRows   map[string]releasedRow
	stopped        bool
	loanBorrowers  []*LoanBorrower

	epoch           uint64         // of pools and sessions; 0 before the first one
	firstEpoch      uint64         // first epoch of pools and sessions, which may have been handed over several times
	receivedState   *HandoverState // from a stopping holder; nil if there is none
	nothingWithheld bool           // no part of the entitlement is withheld for loans of an earlier holder
	pools           map[string]*pool
	sessions        map[sessionKey]*session
	lastSweep       time.Duration
}

// NewHolder returns a holder without configuration. It lends nothing until
// SetElector and Configure have been called. clock nil means lease.BootClock.
func NewHolder(dataCentre string, clock lease.Clock) *Holder {
	if clock == nil {
		clock = lease.BootClock{}
	}
	return &Holder{clock: clock, dataCentre: dataCentre, pools: map[string]*pool{}, sessions: map[sessionKey]*session{},
		releasedRows: map[string]releasedRow{}}
}

// SetElector sets the elector, whose StateOwner is this holder. It must be called
// before the holder handles messages.
func (h *Holder) SetElector(elector *lease.Elector) { h.elector = elector }

// Configure applies a version of the configuration. Reductions take effect at
// once; increases wait until all data centres have this version. A version that
// is not newer than the current one is ignored.
func (h *Holder) Configure(version uint64, fleet *config.Fleet) {
	h.mu.Lock()
	if version <= h.version {
		h.mu.Unlock()
		return
	}
	h.version, h.entitlements = version, Entitlements(fleet, h.dataCentre)
	h.updateUsable(h.clock.Now())
	h.mu.Unlock()
	if h.elector != nil {
		h.elector.Wake()
	}
}

// HandleReport answers a message of KindReport from a node. The errors are of
// class ErrMalformed, ErrStale and ErrExceedsLent.
func (h *Holder) HandleReport(ctx context.Context, from string, payload []byte) (any, error) {
	return h.decodeAndAnswer(KindReport, payload)
}

// HandleLoan answers a message of KindLoan from the holder of another data
// centre. The errors are those of HandleReport.
func (h *Holder) HandleLoan(ctx context.Context, from string, payload []byte) (any, error) {
	return h.decodeAndAnswer(KindLoan, payload)
}

func (h *Holder) decodeAndAnswer(kind string, payload []byte) (any, error) {
	var r Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	return h.answerReport(kind, &r)
}

// answerReport answers one report. The errors are of class ErrStale and
// ErrExceedsLent; with either of them nothing is lent or renewed.
func (h *Holder) answerReport(kind string, r *Report) (*Grant, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == KindReport {
		h.elector.RecordEcho(r.Node, r.EchoEpoch, r.Echo)
	}
	st := h.elector.Status()
	now := h.clock.Now()
	g := &Grant{Epoch: st.Epoch, Holder: st.Node, Seq: r.Seq, IsHolder: st.IsHolder && !h.stopped}
	if !g.IsHolder {
		return g, nil
	}
	g.Stamp = now
	if !st.Lending || !h.ready() || kind == KindLoan && !st.LoansAllowed {
		return g, nil
	}
	h.beginEpoch(st, now)
	h.expireSessions(now)
	return g, h.lend(kind, r, g, now)
}

// ready reports whether the holder may lend: it has not stopped, and its
// configuration is at least as new as the one in the stored state, which the
// other data centres have seen.
func (h *Holder) ready() bool {
	return h.version > 0 && h.hasState && h.version >= h.state.Version && !h.stopped
}

// beginEpoch starts empty pools and sessions for a new epoch, or those handed
// over. It also ends the withholding once loans are allowed.
func (h *Holder) beginEpoch(st lease.Status, now time.Duration) {
	if st.Epoch != h.epoch {
		h.epoch, h.firstEpoch, h.nothingWithheld = st.Epoch, st.Epoch, st.LoansAllowed
		h.pools, h.sessions = map[string]*pool{}, map[sessionKey]*session{}
		if received := h.receivedState; st.HandedOver && received != nil && received.Epoch+1 == st.Epoch {
			h.restore(received)
		}
		h.receivedState = nil
		h.updateUsable(now)
	}
	if st.LoansAllowed && !h.nothingWithheld {
		h.nothingWithheld = true
		h.updateUsable(now)
	}
}

// lend updates the borrower's session from the report and fills in the grant.
func (h *Holder) lend(kind string, r *Report, g *Grant, now time.Duration) error {
	key := sessionKey{kind, r.DataCentre, r.Node, r.Session}
	leaseTerm := lease.NodeLease
	if kind == KindLoan {
		key.node, leaseTerm = "", lease.LoanLease
	}
	s := h.sessions[key]
	if r.Epoch > h.epoch {
		return ErrExceedsLent.New("node %s has shares of epoch %d, after %d", r.Node, r.Epoch, h.epoch)
	}
	continued := s != nil && r.Epoch != 0 && r.Epoch >= h.firstEpoch
	switch {
	case s == nil:
		s = &session{items: map[string]*heldItem{}}
		h.sessions[key] = s
	case r.Seq <= s.seq:
		return ErrStale.New("report %d of node %s after %d", r.Seq, r.Node, s.seq)
	}
	s.seq = r.Seq
	if continued && s.claimsMoreThanLent(r) {
		return ErrExceedsLent.New("node %s", r.Node)
	}
	g.Lease, g.Resync = leaseTerm, !continued
	s.expires = now + leaseTerm + lease.GuardTime
	for i := range r.Items {
		if p := h.pool(r.Items[i].Workspace, now); p != nil {
			p.applyItem(kind, s, &r.Items[i], continued, now)
		}
	}
	h.releaseUnreported(kind, s, now)
	for i := range r.Items {
		if p, held := h.pools[r.Items[i].Workspace], s.items[r.Items[i].Workspace]; p != nil && held != nil {
			item := p.allocate(kind, held, &r.Items[i], now)
			if h.requestLoans(r.Items[i].Workspace, p, now) && item.RetryAfter > 0 {
				item.RetryAfter = loanRetryAfter
			}
			g.Items = append(g.Items, item)
		}
	}
	return nil
}

// requestLoans makes the loan borrowers report at once if nodes lack tokens. It
// returns whether any other data centre may lend.
func (h *Holder) requestLoans(workspace string, p *pool, now time.Duration) (requested bool) {
	if p.unmetTokens < 1 {
		return false
	}
	p.unmetTokens = min(p.unmetTokens, max(1, p.own.Burst))
	for _, b := range h.loanBorrowers {
		if now >= b.noRetryBefore[workspace] {
			b.requestReport()
			requested = true
		}
	}
	return requested
}

// releaseUnreported takes back the shares of workspaces that the latest report
// does not list.
func (h *Holder) releaseUnreported(kind string, s *session, now time.Duration) {
	for name, held := range s.items {
		if held.seq == s.seq {
			continue
		}
		p := h.pools[name]
		p.advance(now)
		p.setHeld(kind, held, Limit{}, 0)
		delete(s.items, name)
	}
}

// pool returns the pool of a workspace, or nil if neither the configuration nor
// the stored state has an entitlement of it.
func (h *Holder) pool(workspace string, now time.Duration) *pool {
	p := h.pools[workspace]
	if p == nil {
		if _, ok := h.entitlements[workspace]; !ok && !h.inStoredState(workspace) {
			return nil
		}
		p = &pool{filledAt: now, own: h.usable(workspace)}
		h.pools[workspace] = p
	}
	return p
}

// expireSessions takes back the shares whose lease has ended, with level 0: the
// tokens left in them are lost.
func (h *Holder) expireSessions(now time.Duration) {
	if now < h.lastSweep+sweepInterval {
		return
	}
	h.lastSweep = now
	for key, s := range h.sessions {
		if now < s.expires {
			continue
		}
		for name, held := range s.items {
			p := h.pools[name]
			p.advance(now)
			p.setHeld(key.kind, held, Limit{}, 0)
		}
		delete(h.sessions, key)
	}
}
