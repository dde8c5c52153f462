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
type Ledger struct {
	Name     string          `cbor:"1,keyasint"` // of the handover
	Epoch    uint64          `cbor:"2,keyasint"`
	Sessions []LedgerSession `cbor:"3,keyasint"`
	Pools    []LedgerPool    `cbor:"4,keyasint"`
	Since    uint64          `cbor:"5,keyasint"` // first epoch whose grants the ledger contains
}

// LedgerSession is one borrower in a Ledger.
type LedgerSession struct {
	Kind       string        `cbor:"1,keyasint"`
	DataCentre string        `cbor:"2,keyasint"`
	Node       string        `cbor:"3,keyasint"`
	Session    uint64        `cbor:"4,keyasint"`
	Seq        uint64        `cbor:"5,keyasint"`
	Left       time.Duration `cbor:"6,keyasint"` // until its shares are taken back
	Items      []Item        `cbor:"7,keyasint"` // Want is not used
}

// LedgerPool is one workspace in a Ledger.
type LedgerPool struct {
	Workspace string       `cbor:"1,keyasint"`
	Level     float64      `cbor:"2,keyasint"`
	Loans     []LedgerLoan `cbor:"3,keyasint"`
}

// LedgerLoan is a loan that a successor may use until it ends. It does not
// renew it.
type LedgerLoan struct {
	Limit Limit         `cbor:"1,keyasint"`
	Left  time.Duration `cbor:"2,keyasint"`
}

// Accepted is the answer to a Ledger.
type Accepted struct {
	OK bool `cbor:"1,keyasint"`
}

// successor is a node that a stopping holder may hand over to.
type successor struct {
	node        string
	incarnation uint64
	expires     time.Duration
}

// stop ends lending for good and returns the ledger and the nodes that may
// succeed, those that reported last first.
func (h *Holder) stop() (*Ledger, []successor) {
	h.mu.Lock()
	defer h.mu.Unlock()
	st, now := h.elector.Status(), h.clock.Now()
	h.stopped = true
	h.elector.Stop()
	if !st.LoansAllowed || st.Epoch != h.epoch {
		return nil, nil // leases of an earlier holder may still run, so there is nothing to go on with
	}
	ledger := &Ledger{Epoch: h.epoch, Since: h.since}
	var next []successor
	for key, s := range h.sessions {
		ledger.Sessions = append(ledger.Sessions, s.export(key, now))
		if key.kind == KindReport {
			next = append(next, successor{key.node, key.session, s.expires})
		}
	}
	for name, p := range h.pools {
		p.settle(now)
		lp := LedgerPool{Workspace: name, Level: p.level}
		for _, l := range p.loans {
			lp.Loans = append(lp.Loans, LedgerLoan{l.limit, l.end - now})
		}
		ledger.Pools = append(ledger.Pools, lp)
	}
	slices.SortFunc(next, func(a, b successor) int {
		return cmp.Or(cmp.Compare(b.expires, a.expires), cmp.Compare(a.node, b.node))
	})
	return ledger, next
}

func (s *session) export(key sessionKey, now time.Duration) LedgerSession {
	out := LedgerSession{key.kind, key.dataCentre, key.node, key.session, s.seq, max(0, s.expires-now), nil}
	for name, l := range s.items {
		out.Items = append(out.Items, Item{Workspace: name, Rate: l.limit.Rate, Burst: l.limit.Burst, Returned: l.returned, Demand: l.demand})
	}
	return out
}

// HandleHandover takes the ledger of a stopping holder. It comes into force
// when the row names this node.
func (h *Holder) HandleHandover(ctx context.Context, from string, payload []byte) (any, error) {
	var l Ledger
	if err := cbor.Unmarshal(payload, &l); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if st := h.elector.Status(); h.stopped || st.IsHolder || st.Epoch != l.Epoch {
		return &Accepted{}, nil
	}
	now := h.clock.Now()
	for i := range l.Pools {
		for j := range l.Pools[i].Loans {
			l.Pools[i].Loans[j].Left += now - lease.GuardTime // the message took at most callLimit
		}
	}
	for i := range l.Sessions {
		l.Sessions[i].Left += now
	}
	h.inherited = &l
	h.elector.ReceiveHandover(l.Name)
	return &Accepted{true}, nil
}

// inherit makes a received ledger, in which times are already the own clock's,
// the present one.
func (h *Holder) inherit(l *Ledger) {
	h.since = l.Since
	now := h.clock.Now()
	for _, lp := range l.Pools {
		p := &pool{last: now, own: h.usable(lp.Workspace), level: lp.Level}
		for _, ll := range lp.Loans {
			p.loans = append(p.loans, loan{limit: ll.Limit, end: ll.Left})
		}
		h.pools[lp.Workspace] = p
	}
	for _, ls := range l.Sessions {
		s := &session{seq: ls.Seq, expires: ls.Left, items: map[string]*lent{}}
		h.sessions[sessionKey{ls.Kind, ls.DataCentre, ls.Node, ls.Session}] = s
		for _, item := range ls.Items {
			if p := h.pools[item.Workspace]; p != nil {
				rec := &lent{returned: item.Returned, seq: ls.Seq}
				p.set(ls.Kind, rec, Limit{item.Rate, item.Burst}, item.Demand)
				s.items[item.Workspace] = rec
			}
		}
	}
	for _, p := range h.pools {
		p.settle(now)
		p.clip()
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
	ledger, next := h.stop()
	next = slices.DeleteFunc(next, func(s successor) bool { return s.node == self })
	for i, s := range next[:min(len(next), maxSuccessors)] {
		ledger.Name = fmt.Sprintf("%s/%d/%d", self, ledger.Epoch, i)
		if h.offer(ctx, t, s.node, ledger) {
			return h.elector.HandOver(ctx, s.node, s.incarnation, ledger.Name)
		}
	}
	return h.elector.Release(ctx)
}

func (h *Holder) offer(ctx context.Context, t Transport, node string, l *Ledger) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var a Accepted
	return t.Call(ctx, node, KindHandover, l, &a) == nil && a.OK
}
