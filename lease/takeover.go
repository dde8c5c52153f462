package lease

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/dotterelseam/dotterelseam/store"
)

func (e *Elector) key() string { return RowPrefix + e.cfg.DataCentre }

// readRow reads and applies the row. It returns false if the platform gave no
// answer or the row cannot be decoded. A missing row is returned as the zero Row.
func (e *Elector) readRow(ctx context.Context) (Row, bool) {
	start := e.cfg.Clock.Now()
	got, err := e.cfg.Table.Get(ctx, e.key())
	if store.ErrNotFound.Has(err) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.hasRead = true
		return Row{}, true
	}
	if err != nil {
		return Row{}, false
	}
	row, err := DecodeRow(got.Value)
	if err != nil {
		e.cfg.Log.Error(err, "holder row", "dc", e.cfg.DataCentre)
		return Row{}, false
	}
	e.applyRow(row, got.Version, start)
	return row, true
}

// applyRow applies a row that was read or written by a request sent at start. It
// ignores versions older than the known one.
func (e *Elector) applyRow(row Row, version uint64, start time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version < e.rowVersion {
		return
	}
	e.hasRead = true
	e.row, e.rowVersion = row, version
	if version > e.unconfirmedVersion {
		e.unconfirmedWitnesses = nil // the row has changed since, so a late write can no longer take effect
	}
	fresh := row.Epoch > e.epoch
	e.observeEpoch(row.Epoch, row.Node)
	isHolder := row.Node == e.cfg.Node && row.Incarnation == e.cfg.Incarnation && row.Epoch == e.epoch
	if !isHolder {
		if e.role != stopped {
			e.role = follower
		}
		return
	}
	if e.role == follower || fresh {
		e.role, e.lendFrom, e.loansFrom = starting, 0, 0
		clear(e.fenced)
		clear(e.echoedAt)
	}
	e.confirmedAt = max(e.confirmedAt, start)
}

// stepAsHolder makes one round of the node that the row names: it confirms the
// row, fences earlier holders, and writes changes.
func (e *Elector) stepAsHolder(ctx context.Context) {
	_, ok := e.readRow(ctx)
	if st := e.Status(); !st.IsHolder {
		return
	}
	if e.cfg.StateOwner != nil {
		e.mu.Lock()
		state := e.row.State
		e.mu.Unlock()
		e.cfg.StateOwner.Stored(state)
	}
	e.startWait(ctx)
	// After its state is stored, the owner may propose the next one at once.
	for range maxWritesPerStep {
		if !ok || !e.updateRow(ctx) {
			return
		}
	}
}

// startWait fences the witnesses of earlier holders and, once a majority of each
// set has acknowledged, starts the wait until their leases have expired.
func (e *Elector) startWait(ctx context.Context) {
	e.mu.Lock()
	row, role := e.row, e.role
	e.mu.Unlock()
	if role != starting {
		return
	}
	if !e.fence(ctx, row) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != starting || e.epoch != row.Epoch {
		return
	}
	now := e.cfg.Clock.Now()
	e.role = holding
	e.lendFrom, e.loansFrom = now+TakeoverWait, now+LoanWait
	switch {
	case row.FirstHolder, row.Handover != "" && row.Handover == e.receivedHandover:
		e.lendFrom, e.loansFrom = now, now
	case row.PlannedStop:
		e.lendFrom, e.loansFrom = now+plannedStopWait, now+plannedStopLoanWait
	}
	e.cfg.Log.Info("holder", "dc", e.cfg.DataCentre, "epoch", e.epoch, "lends_in", e.lendFrom-now)
}

// fence asks the witnesses of earlier holders to acknowledge the epoch of row and
// reports whether a majority of each set has done so.
func (e *Elector) fence(ctx context.Context, row Row) bool {
	missing := e.unfencedWitnesses(row.Fences)
	if len(missing) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := Query{DataCentre: e.cfg.DataCentre, Epoch: row.Epoch, Node: row.Node, Fence: true}
	for node, a := range e.cfg.MemberClient.Ask(ctx, missing, q) {
		e.mu.Lock()
		if a.Fenced && e.epoch == row.Epoch {
			e.fenced[node] = true
		}
		e.observeEpoch(a.Epoch, a.Node)
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, set := range row.Fences {
		if 2*countIn(set, func(n string) bool { return n == e.cfg.Node || e.fenced[n] }) <= len(set) {
			return false
		}
	}
	return e.epoch == row.Epoch
}

// unfencedWitnesses returns the nodes in sets that have not acknowledged this
// holder's epoch.
func (e *Elector) unfencedWitnesses(sets [][]string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var missing []string
	for _, set := range sets {
		for _, n := range set {
			if n != e.cfg.Node && !e.fenced[n] && !slices.Contains(missing, n) {
				missing = append(missing, n)
			}
		}
	}
	return missing
}

func countIn(set []string, f func(string) bool) int {
	n := 0
	for _, s := range set {
		if f(s) {
			n++
		}
	}
	return n
}

const maxWritesPerStep = 3

// updateRow writes the row when its fences are no longer needed, when the witness
// set changes, or when the owner proposes a new state.
func (e *Elector) updateRow(ctx context.Context) (written bool) {
	e.mu.Lock()
	next, role, now := e.row, e.role, e.cfg.Clock.Now()
	started := role == holding && now >= e.lendFrom
	e.mu.Unlock()
	changed := false
	if started && (len(next.Fences) > 0 || next.FirstHolder || next.PlannedStop) {
		next.Fences, next.FirstHolder, next.PlannedStop, changed = nil, false, false, true
	}
	if set := e.chooseWitnesses(next.Witnesses); started && !slices.Equal(set, next.Witnesses) {
		next.Witnesses, changed = set, true
	}
	if e.cfg.StateOwner != nil {
		if state, ok := e.cfg.StateOwner.Propose(ctx, e.ReadRows); ok {
			next.State, changed = state, true
		}
	}
	if !changed || !e.writeRow(ctx, next) {
		return false
	}
	if e.cfg.StateOwner != nil {
		e.cfg.StateOwner.Stored(next.State)
	}
	return true
}

// chooseWitnesses returns this node and the members with the highest hashes. If
// there are fewer than minWitnesses live members it keeps earlier witnesses.
// Otherwise the set could shrink to members that then stop, and no other node
// could take over.
func (e *Elector) chooseWitnesses(earlier []string) []string {
	members := slices.DeleteFunc(slices.Clone(e.cfg.MemberClient.Members()), func(n string) bool { return n == e.cfg.Node })
	slices.SortFunc(members, func(a, b string) int { return cmp.Compare(hash(b), hash(a)) })
	set := append([]string{e.cfg.Node}, members[:min(len(members), maxWitnesses-1)]...)
	for _, n := range earlier {
		if len(set) < minWitnesses && !slices.Contains(set, n) {
			set = append(set, n)
		}
	}
	slices.Sort(set)
	return slices.Compact(set)
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// writeRow replaces the row if it has not changed since it was last seen. It
// reads the row again after an error, to resolve an unknown outcome, and reports
// whether the write took effect.
func (e *Elector) writeRow(ctx context.Context, next Row) bool {
	value, err := next.encode()
	if err != nil {
		e.cfg.Log.Error(err, "holder row", "dc", e.cfg.DataCentre)
		return false
	}
	e.mu.Lock()
	version := e.rowVersion
	if next.Epoch == e.row.Epoch && !slices.Equal(next.Witnesses, e.row.Witnesses) {
		e.unconfirmedWitnesses, e.unconfirmedVersion = next.Witnesses, version
	}
	e.mu.Unlock()
	start := e.cfg.Clock.Now()
	written, err := e.cfg.Table.Put(ctx, e.key(), version, value)
	if err == nil {
		e.applyRow(next, written, start)
		return true
	}
	got, ok := e.readRow(ctx) // after a conflict it shows the other writer's row
	return ok && store.ErrUnknownOutcome.Has(err) && sameRow(got, next)
}

func sameRow(a, b Row) bool {
	x, errX := a.encode()
	y, errY := b.encode()
	return errX == nil && errY == nil && slices.Equal(x, y)
}

// findHolder looks for the holder in the row, or by asking members if the
// platform gives no answer, and takes over if canTakeOver allows it.
func (e *Elector) findHolder(ctx context.Context) {
	row, ok := e.readRow(ctx)
	if !ok {
		e.queryMembers(ctx)
		return
	}
	st := e.Status()
	if st.IsHolder {
		e.stepAsHolder(ctx)
		return
	}
	if !e.canTakeOver(ctx, row) {
		return
	}
	next := Row{Node: e.cfg.Node, Incarnation: e.cfg.Incarnation, Epoch: row.Epoch + 1, Witnesses: e.chooseWitnesses(row.Witnesses),
		Fences: row.witnessSets(), FirstHolder: row.Epoch == 0, PlannedStop: row.Epoch > 0 && row.Released() && len(row.Fences) == 0, State: row.State}
	if e.writeRow(ctx, next) {
		e.stepAsHolder(ctx)
	}
}

// queryMembers learns the current epoch from members while the platform gives no
// answer.
func (e *Elector) queryMembers(ctx context.Context) {
	e.mu.Lock()
	q := Query{DataCentre: e.cfg.DataCentre, Epoch: e.epoch, Node: e.node}
	e.mu.Unlock()
	members := e.chooseWitnesses(nil)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, a := range e.cfg.MemberClient.Ask(ctx, e.others(members), q) {
		e.ObserveEpoch(a.Epoch, a.Node)
	}
}

func (e *Elector) others(nodes []string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == e.cfg.Node })
}

// canTakeOver reports whether this node should take over from the holder in row.
// A released row can be taken over at once. Otherwise this node must not have
// heard the holder for silenceTimeout, a majority of every witness set (this node
// included) must have replied, and no member that replied may hear the holder or
// know a later epoch. The check only prevents needless takeovers; fencing after
// the write makes them safe.
func (e *Elector) canTakeOver(ctx context.Context, row Row) bool {
	if row.Released() {
		return true
	}
	e.mu.Lock()
	silent := e.cfg.Clock.Now() >= e.lastHeard+silenceTimeout
	e.mu.Unlock()
	if !silent {
		return false
	}
	ask := e.others(e.chooseWitnesses(nil))
	for _, set := range row.witnessSets() {
		for _, n := range e.others(set) {
			if !slices.Contains(ask, n) {
				ask = append(ask, n)
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := e.cfg.MemberClient.Ask(ctx, ask, Query{DataCentre: e.cfg.DataCentre, Epoch: row.Epoch, Node: row.Node})
	free := true
	for _, a := range answers {
		e.ObserveEpoch(a.Epoch, a.Node)
		free = free && !a.HearsHolder && a.Epoch <= row.Epoch
	}
	if !free {
		return false
	}
	for _, set := range row.witnessSets() {
		n := countIn(set, func(n string) bool { _, ok := answers[n]; return ok || n == e.cfg.Node })
		if 2*n <= len(set) {
			return false
		}
	}
	return true
}

// ReadRows reads the holder rows of all data centres, by data centre.
func (e *Elector) ReadRows(ctx context.Context) (map[string]Row, error) {
	rows, err := e.cfg.Table.List(ctx, RowPrefix, 0)
	if err != nil {
		return nil, err
	}
	rowsByDC := make(map[string]Row, len(rows))
	for _, r := range rows {
		row, err := DecodeRow(r.Value)
		if err != nil {
			return nil, err
		}
		rowsByDC[r.Key[len(RowPrefix):]] = row
	}
	return rowsByDC, nil
}
