package lease

import (
	"context"
	"slices"

	"github.com/dotterelseam/dotterelseam/store"
)

// Stop ends lending by this node for good, before Release or HandOver.
func (k *Elector) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.role = stopped
}

// Release empties the row after Stop, so that a successor neither has to hear
// from the members nor to fence them. The tenant's state goes with it: other
// data centres may count on a data centre without holder owning nothing. It does nothing if this node is not the
// holder. The error is one of package platform.
func (k *Elector) Release(ctx context.Context) error {
	return k.leave(ctx, Row{})
}

// HandOver names successor in the row after Stop. The successor must have
// received the complete state under the name handover (see Continue) and
// starts without a wait. If the outcome of the write stays unknown, the
// successor finds it out by reading the row.
func (k *Elector) HandOver(ctx context.Context, successor string, incarnation uint64, handover string) error {
	set := append(k.others(k.chooseWitnesses(nil)), successor)
	slices.Sort(set)
	if err := k.leave(ctx, Row{Node: successor, Incarnation: incarnation, Handover: handover, Witnesses: slices.Compact(set)}); err != nil {
		return err
	}
	k.tell(ctx)
	return nil
}

// tell lets the members know of the new holder, which they would otherwise
// look for only after silenceLimit.
func (k *Elector) tell(ctx context.Context) {
	k.mu.Lock()
	q := Query{DataCentre: k.cfg.DataCentre, Epoch: k.epoch, Node: k.node, Fence: true}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeLimit)
	defer cancel()
	k.cfg.MemberClient.Ask(ctx, k.others(k.cfg.MemberClient.Members()), q)
}

func (k *Elector) leave(ctx context.Context, next Row) error {
	k.mu.Lock()
	row, version := k.row, k.rowVersion
	mine := row.Node == k.cfg.Node && row.Incarnation == k.cfg.Incarnation && row.Epoch == k.epoch
	started := k.startAt > 0 && k.cfg.Clock.Now() >= k.startAt
	isStopped := k.role == stopped
	k.mu.Unlock()
	if !mine || !isStopped {
		return ErrNotHolder.New("data centre %s, epoch %d", k.cfg.DataCentre, row.Epoch)
	}
	next.Epoch = row.Epoch + 1
	if !next.Released() {
		next.State = row.State
	}
	if !started {
		next.Fences, next.Handover = slices.Clone(row.Fences), "" // leases of earlier holders may still run
	}
	value, err := next.encode()
	if err != nil {
		return err
	}
	written, err := k.cfg.Table.Put(ctx, k.key(), version, value)
	if err == nil {
		k.note(next, written, k.cfg.Clock.Now())
		return nil
	}
	if got, ok := k.read(ctx); ok && store.ErrUnknownOutcome.Has(err) && sameRow(got, next) {
		return nil
	}
	return err
}

// ReceiveHandover notes that this node has received the state that the holder passes
// on under the given name. When the row names this node with the same handover,
// it starts at once.
func (k *Elector) ReceiveHandover(handover string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.continued = handover
}

// Retire declares in the row of a data centre that the given nodes have stopped
// for good, so that the others can take over when a majority of the witnesses
// has been lost. The operator answers for it: a node in dead that still runs
// behind a cut can lend the entitlement a second time.
func Retire(ctx context.Context, table Table, dataCentre string, dead []string) error {
	got, err := table.Get(ctx, RowPrefix+dataCentre)
	if err != nil {
		return err
	}
	row, err := DecodeRow(got.Value)
	if err != nil {
		return err
	}
	isDead := func(n string) bool { return slices.Contains(dead, n) }
	for i := range row.Fences {
		row.Fences[i] = slices.DeleteFunc(row.Fences[i], isDead)
	}
	row.Fences = slices.DeleteFunc(row.Fences, func(s []string) bool { return len(s) == 0 })
	row.Witnesses = slices.DeleteFunc(row.Witnesses, isDead)
	if isDead(row.Node) {
		row.Fences = appendSet(row.Fences, row.Witnesses)
		row.Node, row.Incarnation, row.Witnesses = "", 0, nil
		row.Epoch++
		if len(row.Fences) == 0 {
			row.State = nil // nobody is left who could act on it
		}
	}
	value, err := row.encode()
	if err != nil {
		return err
	}
	_, err = table.Put(ctx, RowPrefix+dataCentre, got.Version, value)
	return err
}
