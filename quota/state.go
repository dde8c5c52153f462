package quota

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/lease"
)

// holderState is what a data centre may use, kept in its holder row.
//
// While versions of the configuration differ between data centres, the bound
// holds by two rules. A data centre never uses more than its row says, nor more
// than its newest configuration says. It raises its row to the entitlement of a
// version only when the rows of all other data centres have the same version,
// which they take on only when they use no more than that version gives them.
// So everything in use is at most the entitlement by the version that was
// raised last, and those add up to the bound.
type holderState struct {
	Version uint64           `cbor:"1,keyasint"`
	Shares  map[string]Limit `cbor:"2,keyasint"`
}

// releasedRow notes since when a row has named no holder.
type releasedRow struct {
	epoch uint64
	since time.Duration
}

func decodeState(b []byte) (holderState, error) {
	var s holderState
	if len(b) == 0 {
		return s, nil // no holder has stored anything yet
	}
	err := cbor.Unmarshal(b, &s)
	return s, ErrMalformed.Wrap(err)
}

// Stored implements lease.StateOwner.
func (h *Holder) Stored(state []byte) {
	s, err := decodeState(state)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.floor != nil && bytes.Equal(state, h.proposed) {
		h.floor = nil // the row has moved on, so no earlier proposal can take effect any more
	}
	if err != nil {
		h.hasState = false // lend nothing rather than by a state that is not understood
		return
	}
	h.state, h.hasState = s, true
	h.setOwn(h.clock.Now())
}

// Propose implements lease.StateOwner.
func (h *Holder) Propose(ctx context.Context, peers func(context.Context) (map[string]lease.Row, error)) ([]byte, bool) {
	next, raise, ok := h.next()
	if !ok {
		return nil, false
	}
	if raise {
		rows, err := peers(ctx)
		if err != nil || !h.agreed(rows, next.Version) {
			return nil, false // the next step asks again
		}
	}
	b, err := cbor.Marshal(next)
	if err == nil {
		h.propose(next, b)
	}
	return b, err == nil
}

// propose notes a state whose write may take effect even if it seems to fail.
func (h *Holder) propose(next holderState, encoded []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	floor := make(map[string]Limit, len(next.Shares))
	for name, l := range next.Shares {
		if h.floor != nil {
			l = l.min(h.floor[name])
		}
		floor[name] = l
	}
	h.floor, h.proposed = floor, encoded
	h.setOwn(h.clock.Now())
}

// next returns the state that the row should have, and whether it uses more
// than the present one.
func (h *Holder) next() (next holderState, raise, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Before Loans the leases of an earlier holder may exceed the new state.
	st, now := h.elector.Status(), h.clock.Now()
	if !h.ready() || !st.LoansAllowed {
		return next, false, false
	}
	h.begin(st, now)
	if h.state.Version < h.version || h.floor != nil {
		if !h.settled(now) {
			return next, false, false
		}
		return holderState{h.version, h.effective()}, false, true
	}
	for name, l := range h.entitled {
		if h.state.Shares[name] != l {
			return holderState{h.version, h.entitled}, true, true
		}
	}
	return next, false, false
}

// settled reports whether everything that is lent fits into what may be used.
func (h *Holder) settled(now time.Duration) bool {
	for _, p := range h.pools {
		p.settle(now)
		if f := p.free(now, 0); f.Rate < 0 || f.Burst < 0 {
			return false
		}
	}
	return true
}

// effective returns what the row and the configuration both allow.
func (h *Holder) effective() map[string]Limit {
	out := make(map[string]Limit, len(h.entitled))
	for name := range h.entitled {
		out[name] = h.allowed(name)
	}
	return out
}

func (h *Holder) allowed(workspace string) Limit {
	l := h.entitled[workspace].min(h.state.Shares[workspace])
	if h.floor != nil {
		l = l.min(h.floor[workspace])
	}
	return l
}

// known reports whether the row has an entitlement of the workspace.
func (h *Holder) known(workspace string) bool {
	_, ok := h.state.Shares[workspace]
	return ok
}

// usable returns what the data centre may use of a workspace at present.
func (h *Holder) usable(workspace string) Limit {
	l := h.allowed(workspace)
	if !h.full {
		l = Limit{quantise(l.Rate * (1 - maxLoanFraction)), quantise(l.Burst * (1 - maxLoanFraction))}
	}
	return l
}

// setOwn brings all pools to what may be used. New parts have level 0. Every
// workspace has a pool from the start of the epoch, so that one which is idle
// at first finds a full pool later.
func (h *Holder) setOwn(now time.Duration) {
	if h.epoch != 0 {
		for name := range h.entitled {
			h.pool(name, now)
		}
	}
	for name, p := range h.pools {
		p.settle(now)
		p.own = h.usable(name)
		p.clip()
	}
}

// agreed reports whether no other data centre can use more than version gives
// it. A data centre whose last holder stopped by plan owns nothing once the
// leases of its nodes and loans have ended.
func (h *Holder) agreed(rows map[string]lease.Row, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, all := h.clock.Now(), true
	for dc, row := range rows {
		if dc == h.dataCentre {
			continue
		}
		if row.Released() && len(row.State) == 0 {
			all = h.goneLongEnough(dc, row.Epoch, now) && all
			continue
		}
		delete(h.released, dc)
		s, err := decodeState(row.State)
		if err != nil || s.Version != version {
			all = false
		}
	}
	return all
}

func (h *Holder) goneLongEnough(dc string, epoch uint64, now time.Duration) bool {
	r, ok := h.released[dc]
	if !ok || r.epoch != epoch {
		h.released[dc] = releasedRow{epoch, now}
		return false
	}
	return now >= r.since+lease.LoanLease+lease.GuardTime
}
