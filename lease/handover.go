package lease

import (
	"context"
	"slices"

	"github.com/dotterelseam/dotterelseam/store"
)

// Stop permanently ends lending by this node. It has to precede Release or
// HandOver.
func (e *Elector) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = stopped
}

// Release removes the holder from the row after Stop, so that a successor need
// not query or fence the members. It also clears the state in the row, because
// other data centres assume that a data centre without a holder owns no share.
// The error is ErrNotHolder, without a change, if this node is not the holder or
// has not stopped, else one of package store or ErrRow.
func (e *Elector) Release(ctx context.Context) error {
	return e.writeSuccessor(ctx, Row{})
}

// HandOver names the successor in the row after Stop. incarnation is that of the
// successor's process; handover identifies this handover and must be unique. A
// successor that has received the complete state of the handover (see
// ReceiveHandover) starts to lend at once. If the outcome of the write stays
// unknown, the successor learns it by reading the row. Errors are those of
// Release.
func (e *Elector) HandOver(ctx context.Context, successor string, incarnation uint64, handover string) error {
	set := append(e.others(e.chooseWitnesses(nil)), successor)
	slices.Sort(set)
	if err := e.writeSuccessor(ctx, Row{Node: successor, Incarnation: incarnation, Handover: handover, Witnesses: slices.Compact(set)}); err != nil {
		return err
	}
	e.announceHolder(ctx)
	return nil
}

// announceHolder tells the members who the new holder is. Otherwise they would
// find out only after silenceTimeout.
func (e *Elector) announceHolder(ctx context.Context) {
	e.mu.Lock()
	q := Query{DataCentre: e.cfg.DataCentre, Epoch: e.epoch, Node: e.node, Fence: true}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.cfg.MemberClient.Ask(ctx, e.others(e.cfg.MemberClient.Members()), q)
}

// writeSuccessor writes next as the successor's row. If this holder had not yet
// started to lend, next inherits its fences without a handover, so that the
// successor has to fence and wait.
func (e *Elector) writeSuccessor(ctx context.Context, next Row) error {
	e.mu.Lock()
	row, version := e.row, e.rowVersion
	isHolder := row.Node == e.cfg.Node && row.Incarnation == e.cfg.Incarnation && row.Epoch == e.epoch
	started := e.lendFrom > 0 && e.cfg.Clock.Now() >= e.lendFrom
	isStopped := e.role == stopped
	e.mu.Unlock()
	if !isHolder || !isStopped {
		return ErrNotHolder.New("data centre %s, epoch %d", e.cfg.DataCentre, row.Epoch)
	}
	next.Epoch = row.Epoch + 1
	if !next.Released() {
		next.State = row.State
	}
	if !started {
		next.Fences, next.Handover = slices.Clone(row.Fences), "" // leases of earlier holders may not have expired
	}
	value, err := next.encode()
	if err != nil {
		return err
	}
	written, err := e.cfg.Table.Put(ctx, e.key(), version, value)
	if err == nil {
		e.applyRow(next, written, e.cfg.Clock.Now())
		return nil
	}
	if got, ok := e.readRow(ctx); ok && store.ErrUnknownOutcome.Has(err) && sameRow(got, next) {
		return nil
	}
	return err
}

// ReceiveHandover records that this node has received the state of the handover
// with the given ID. When the row names this node with the same handover, it
// starts to lend at once.
func (e *Elector) ReceiveHandover(handover string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivedHandover = handover
}

// Retire removes nodes that have stopped for good from the row of a data centre,
// so that the others can take over after the loss of a majority of the witnesses.
// The operator has to make sure that the nodes have stopped: a node in dead that
// still runs behind a network partition can lend the entitlement a second time.
// Errors are of package store or of class ErrRow.
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
			row.State = nil // no earlier holder is left that could still lend by it
		}
	}
	value, err := row.encode()
	if err != nil {
		return err
	}
	_, err = table.Put(ctx, RowPrefix+dataCentre, got.Version, value)
	return err
}
