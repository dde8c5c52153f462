package quota

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/lease"
)

// maxSuccessors is the number of nodes that a stopping holder tries to hand
// over to before it releases the row.
const maxSuccessors = 3

// Ledger is what a stopping holder passes to its successor.
type HandoverState struct {
	ID         string            `cbor:"1,keyasint"` // of the handover
	Epoch      uint64            `cbor:"2,keyasint"`
	Sessions   []HandoverSession `cbor:"3,keyasint"`
	Pools      []HandoverPool    `cbor:"4,keyasint"`
	FirstEpoch uint64            `cbor:"5,keyasint"` // first epoch whose grants the ledger contains
}

// LedgerSession is one borrower in a Ledger.
type HandoverSession struct {
	Kind       string        `cbor:"1,keyasint"`
	DataCentre string        `cbor:"2,keyasint"`
	Node       string        `cbor:"3,keyasint"`
	Session    uint64        `cbor:"4,keyasint"`
	Seq        uint64        `cbor:"5,keyasint"`
	Remaining  time.Duration `cbor:"6,keyasint"` // until its shares are taken back
	Items      []Item        `cbor:"7,keyasint"` // Want is not used
}

// LedgerPool is one workspace in a Ledger.
type HandoverPool struct {
	Workspace string         `cbor:"1,keyasint"`
	Level     float64        `cbor:"2,keyasint"`
	Loans     []HandoverLoan `cbor:"3,keyasint"`
}

// LedgerLoan is a loan that a successor may use until it ends. It does not
// renew it.
type HandoverLoan struct {
	Limit     Limit         `cbor:"1,keyasint"`
	Remaining time.Duration `cbor:"2,keyasint"`
}

// Accepted is the answer to a Ledger.
type HandoverReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// successor is a node that a stopping holder may hand over to.
type successor struct {
	node        string
	incarnation uint64
	expires     time.Duration
}

// stop ends lending for good and returns the ledger and the nodes that may
// succeed, those that reported last first.
func (h *Holder) stopLending() (*HandoverState, []successor) {
	h.mu.Lock()
	defer h.mu.Unlock()
	st, now := h.elector.Status(), h.clock.Now()
	h.stopped = true
	h.elector.Stop()
	if !st.LoansAllowed || st.Epoch != h.epoch {
		return nil, nil // leases of an earlier holder may still run, so there is nothing to go on with
	}
	state := &HandoverState{Epoch: h.epoch, FirstEpoch: h.firstEpoch}
	var candidates []successor
	for key, s := range h.sessions {
		state.Sessions = append(state.Sessions, s.export(key, now))
		if key.kind == KindReport {
			candidates = append(candidates, successor{key.node, key.session, s.expires})
		}
	}
	for name, p := range h.pools {
		p.advance(now)
		hp := HandoverPool{Workspace: name, Level: p.level}
		for _, l := range p.loans {
			hp.Loans = append(hp.Loans, HandoverLoan{l.limit, l.end - now})
		}
		state.Pools = append(state.Pools, hp)
	}
	slices.SortFunc(candidates, func(a, b successor) int {
		return cmp.Or(cmp.Compare(b.expires, a.expires), cmp.Compare(a.node, b.node))
	})
	return state, candidates
}

func (s *session) export(key sessionKey, now time.Duration) HandoverSession {
	out := HandoverSession{key.kind, key.dataCentre, key.node, key.session, s.seq, max(0, s.expires-now), nil}
	for name, held := range s.items {
		out.Items = append(out.Items, Item{Workspace: name, Rate: held.limit.Rate, Burst: held.limit.Burst, Returned: held.returned, Demand: held.demand})
	}
	return out
}

// HandleHandover takes the ledger of a stopping holder. It comes into force
// when the row names this node.
func (h *Holder) HandleHandover(ctx context.Context, from string, payload []byte) (any, error) {
	var state HandoverState
	if err := cbor.Unmarshal(payload, &state); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if st := h.elector.Status(); h.stopped || st.IsHolder || st.Epoch != state.Epoch {
		return &HandoverReply{}, nil
	}
	now := h.clock.Now()
	for i := range state.Pools {
		for j := range state.Pools[i].Loans {
			state.Pools[i].Loans[j].Remaining += now - lease.GuardTime // the message took at most callLimit
		}
	}
	for i := range state.Sessions {
		state.Sessions[i].Remaining += now
	}
	h.receivedState = &state
	h.elector.ReceiveHandover(state.ID)
	return &HandoverReply{true}, nil
}

// inherit makes a received ledger, in which times are already the own clock's,
// the present one.
func (h *Holder) restore(state *HandoverState) {
	h.firstEpoch = state.FirstEpoch
	now := h.clock.Now()
	for _, hp := range state.Pools {
		p := &pool{filledAt: now, own: h.usable(hp.Workspace), level: hp.Level}
		for _, hl := range hp.Loans {
			p.loans = append(p.loans, loan{limit: hl.Limit, end: hl.Remaining})
		}
		h.pools[hp.Workspace] = p
	}
	for _, hs := range state.Sessions {
		s := &session{seq: hs.Seq, expires: hs.Remaining, items: map[string]*heldItem{}}
		h.sessions[sessionKey{hs.Kind, hs.DataCentre, hs.Node, hs.Session}] = s
		for _, item := range hs.Items {
			if p := h.pools[item.Workspace]; p != nil {
				held := &heldItem{returned: item.Returned, seq: hs.Seq}
				p.setHeld(hs.Kind, held, Limit{item.Rate, item.Burst}, item.Demand)
				s.items[item.Workspace] = held
			}
		}
	}
	for _, p := range h.pools {
		p.advance(now)
		p.clampLevel()
	}
}

// HandOver ends lending and hands everything to a node of the data centre, or
// releases the holder row if none takes it. It does nothing on other nodes.
// The error is one of the platform's: then the row still names this node, and
// the others take over after the usual wait.
func (h *Holder) HandOver(ctx context.Context, t Transport, self string) error {
	if !h.elector.Status().IsHolder {
		h.elector.Stop()
		return nil
	}
	state, candidates := h.stopLending()
	candidates = slices.DeleteFunc(candidates, func(s successor) bool { return s.node == self })
	for i, s := range candidates[:min(len(candidates), maxSuccessors)] {
		state.ID = fmt.Sprintf("%s/%d/%d", self, state.Epoch, i)
		if h.offerHandover(ctx, t, s.node, state) {
			return h.elector.HandOver(ctx, s.node, s.incarnation, state.ID)
		}
	}
	return h.elector.Release(ctx)
}

func (h *Holder) offerHandover(ctx context.Context, t Transport, node string, state *HandoverState) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply HandoverReply
	return t.Call(ctx, node, KindHandover, state, &reply) == nil && reply.Accepted
}
