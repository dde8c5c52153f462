package quota

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/lease"
)

// holderState is what a data centre may use. It is stored in its holder row.
//
// While versions of the configuration differ between data centres, two rules
// keep the sum within the limit. A data centre never uses more than its row or
// its newest configuration allows. It raises its row to the entitlement of a
// version only when the rows of all other data centres have the same version,
// which they store only when they use no more than that version gives them.
// So everything in use is at most the entitlement by the version that was
// raised last, and those entitlements add up to the limit.
type holderState struct {
	Version uint64           `cbor:"1,keyasint"`
	Shares  map[string]Limit `cbor:"2,keyasint"`
}

// releasedRow records since when, by lease.Clock, a row has named no holder.
type releasedRow struct {
	epoch uint64
	since time.Duration
}

func decodeState(b []byte) (holderState, error) {
	var s holderState
	if len(b) == 0 {
		return s, nil // no holder has stored a state yet
	}
	err := cbor.Unmarshal(b, &s)
	return s, ErrMalformed.Wrap(err)
}

// Stored implements lease.StateOwner.
func (h *Holder) Stored(state []byte) {
	s, err := decodeState(state)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unconfirmedMin != nil && bytes.Equal(state, h.lastProposal) {
		h.unconfirmedMin = nil // the last proposal is stored, so no earlier one can take effect any more
	}
	if err != nil {
		h.hasState = false // lend nothing while the stored state cannot be decoded
		return
	}
	h.state, h.hasState = s, true
	h.updateUsable(h.clock.Now())
}

// Propose implements lease.StateOwner.
func (h *Holder) Propose(ctx context.Context, peers func(context.Context) (map[string]lease.Row, error)) ([]byte, bool) {
	next, raise, ok := h.nextState()
	if !ok {
		return nil, false
	}
	if raise {
		rows, err := peers(ctx)
		if err != nil || !h.othersAgree(rows, next.Version) {
			return nil, false // the elector's next step tries again
		}
	}
	b, err := cbor.Marshal(next)
	if err == nil {
		h.recordProposal(next, b)
	}
	return b, err == nil
}

// recordProposal records a state whose write may take effect even if it seems to
// fail. Until the outcome is known, the data centre uses no more than the minimum
// of all such states.
func (h *Holder) recordProposal(next holderState, encoded []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lowest := make(map[string]Limit, len(next.Shares))
	for name, l := range next.Shares {
		if h.unconfirmedMin != nil {
			l = l.min(h.unconfirmedMin[name])
		}
		lowest[name] = l
	}
	h.unconfirmedMin, h.lastProposal = lowest, encoded
	h.updateUsable(h.clock.Now())
}

// nextState returns the state that the row should have, and whether it may use
// more than the stored one. ok is false if nothing is to be written now.
func (h *Holder) nextState() (next holderState, raise, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Until LoansAllowed, the leases of an earlier holder may exceed the new state.
	st, now := h.elector.Status(), h.clock.Now()
	if !h.ready() || !st.LoansAllowed {
		return next, false, false
	}
	h.beginEpoch(st, now)
	if h.state.Version < h.version || h.unconfirmedMin != nil {
		if !h.lentFitsUsable(now) {
			return next, false, false
		}
		return holderState{h.version, h.allowedLimits()}, false, true
	}
	for name, l := range h.entitlements {
		if h.state.Shares[name] != l {
			return holderState{h.version, h.entitlements}, true, true
		}
	}
	return next, false, false
}

// lentFitsUsable reports whether everything that is lent is within what may be
// used.
func (h *Holder) lentFitsUsable(now time.Duration) bool {
	for _, p := range h.pools {
		p.advance(now)
		if f := p.free(now, 0); f.Rate < 0 || f.Burst < 0 {
			return false
		}
	}
	return true
}

// allowedLimits returns, by workspace, what the row and the configuration both
// allow.
func (h *Holder) allowedLimits() map[string]Limit {
	out := make(map[string]Limit, len(h.entitlements))
	for name := range h.entitlements {
		out[name] = h.allowed(name)
	}
	return out
}

func (h *Holder) allowed(workspace string) Limit {
	l := h.entitlements[workspace].min(h.state.Shares[workspace])
	if h.unconfirmedMin != nil {
		l = l.min(h.unconfirmedMin[workspace])
	}
	return l
}

// inStoredState reports whether the stored state has an entitlement of the
// workspace.
func (h *Holder) inStoredState(workspace string) bool {
	_, ok := h.state.Shares[workspace]
	return ok
}

// usable returns what the data centre may use of a workspace now: what is
// allowed, less what is withheld for loans of an earlier holder.
func (h *Holder) usable(workspace string) Limit {
	l := h.allowed(workspace)
	if !h.nothingWithheld {
		l = Limit{quantise(l.Rate * (1 - maxLoanFraction)), quantise(l.Burst * (1 - maxLoanFraction))}
	}
	return l
}

// updateUsable sets the entitlement of all pools to what may be used. Additions
// start with level 0. Every workspace has a pool from the start of the epoch, so
// that the pool of a workspace that is idle at first has filled up when requests
// arrive.
func (h *Holder) updateUsable(now time.Duration) {
	if h.epoch != 0 {
		for name := range h.entitlements {
			h.pool(name, now)
		}
	}
	for name, p := range h.pools {
		p.advance(now)
		p.own = h.usable(name)
		p.clampLevel()
	}
}

// othersAgree reports whether no other data centre can use more than version
// gives it. A data centre whose last holder made a planned stop owns nothing once
// the leases of its nodes and loans have ended.
func (h *Holder) othersAgree(rows map[string]lease.Row, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, agree := h.clock.Now(), true
	for dc, row := range rows {
		if dc == h.dataCentre {
			continue
		}
		if row.Released() && len(row.State) == 0 {
			agree = h.leasesExpired(dc, row.Epoch, now) && agree
			continue
		}
		delete(h.releasedRows, dc)
		s, err := decodeState(row.State)
		if err != nil || s.Version != version {
			agree = false
		}
	}
	return agree
}

// leasesExpired reports whether every lease granted by the holder that released
// the row has ended. epoch is that of the released row. The time is measured from
// the first call for this epoch, which returns false.
func (h *Holder) leasesExpired(dc string, epoch uint64, now time.Duration) bool {
	r, ok := h.releasedRows[dc]
	if !ok || r.epoch != epoch {
		h.releasedRows[dc] = releasedRow{epoch, now}
		return false
	}
	return now >= r.since+lease.LoanLease+lease.GuardTime
}
