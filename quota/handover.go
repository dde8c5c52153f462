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

// maxSuccessors is the number of nodes to which a stopping holder offers the
// handover before it releases the holder row.
const maxSuccessors = 3

// HandoverState is what a stopping holder passes to its successor: what every
// borrower holds and the level of every pool.
type HandoverState struct {
	ID         string            `cbor:"1,keyasint"` // of the handover, unique for each offer
	Epoch      uint64            `cbor:"2,keyasint"`
	Sessions   []HandoverSession `cbor:"3,keyasint"`
	Pools      []HandoverPool    `cbor:"4,keyasint"`
	FirstEpoch uint64            `cbor:"5,keyasint"` // first epoch whose grants are recorded here
}

// HandoverSession is one borrower in a HandoverState.
type HandoverSession struct {
	Kind       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Node       string `cbor:"3,keyasint"`
	Session    uint64 `cbor:"4,keyasint"`
	Seq        uint64 `cbor:"5,keyasint"`
	// Remaining is the time until its shares are taken back. HandleHandover replaces
	// it by the end time, a reading of the receiver's clock.
	Remaining time.Duration `cbor:"6,keyasint"`
	Items     []Item        `cbor:"7,keyasint"` // Want is not used
}

// HandoverPool is one workspace in a HandoverState.
type HandoverPool struct {
	Workspace string         `cbor:"1,keyasint"`
	Level     float64        `cbor:"2,keyasint"`
	Loans     []HandoverLoan `cbor:"3,keyasint"`
}

// HandoverLoan is a loan that the successor may use until it ends, but does not
// renew.
type HandoverLoan struct {
	Limit Limit `cbor:"1,keyasint"`
	// Remaining is the time until the loan ends. HandleHandover replaces it by the
	// end time, a reading of the receiver's clock.
	Remaining time.Duration `cbor:"2,keyasint"`
}

// HandoverReply is the answer to a HandoverState.
type HandoverReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// successor is a node to which a stopping holder may hand over.
type successor struct {
	node        string
	incarnation uint64
	expires     time.Duration
}

// stopLending ends lending permanently and returns the state to hand over and
// the candidates for the handover, the most recent reporter first. The state is
// nil if it cannot be handed over.
func (h *Holder) stopLending() (*HandoverState, []successor) {
	h.mu.Lock()
	defer h.mu.Unlock()
	st, now := h.elector.Status(), h.clock.Now()
	h.stopped = true
	h.elector.Stop()
	if !st.LoansAllowed || st.Epoch != h.epoch {
		return nil, nil // leases of an earlier holder may still run that are not recorded here
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

// HandleHandover receives the state of a stopping holder. The state takes
// effect when the holder row names this node. An undecodable payload gives
// ErrMalformed.
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
			state.Pools[i].Loans[j].Remaining += now - lease.GuardTime // the message took at most callTimeout, which is less than GuardTime
		}
	}
	for i := range state.Sessions {
		state.Sessions[i].Remaining += now
	}
	h.receivedState = &state
	h.elector.ReceiveHandover(state.ID)
	return &HandoverReply{true}, nil
}

// restore adopts a received state, in which HandleHandover has replaced the
// remaining times by readings of this host's clock.
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

// HandOver stops lending and hands the state over to another node of the data
// centre, or releases the holder row if none accepts. On a node that is not the
// holder it only stops the elector. An error comes from the platform; the row
// then still names this node, and another one takes over when it no longer hears
// this node.
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
