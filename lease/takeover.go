package lease

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/dotterelseam/dotterelseam/store"
)

func (k *Elector) key() string { return RowPrefix + k.cfg.DataCentre }

// read gets the row and takes note of it. It returns false if the platform gave
// no answer. A row that does not exist reads as the zero Row.
func (k *Elector) read(ctx context.Context) (Row, bool) {
	start := k.cfg.Clock.Now()
	got, err := k.cfg.Table.Get(ctx, k.key())
	if store.ErrNotFound.Has(err) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.hasRead = true
		return Row{}, true
	}
	if err != nil {
		return Row{}, false
	}
	row, err := DecodeRow(got.Value)
	if err != nil {
		k.cfg.Log.Error(err, "holder row", "dc", k.cfg.DataCentre)
		return Row{}, false
	}
	k.note(row, got.Version, start)
	return row, true
}

// note takes over the content of a row that was read or written at start.
func (k *Elector) note(row Row, version uint64, start time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version < k.rowVersion {
		return
	}
	k.hasRead = true
	k.row, k.rowVersion = row, version
	if version > k.unsettledAt {
		k.unsettled = nil // the row has moved on, so a late write cannot take effect any more
	}
	fresh := row.Epoch > k.epoch
	k.learn(row.Epoch, row.Node)
	mine := row.Node == k.cfg.Node && row.Incarnation == k.cfg.Incarnation && row.Epoch == k.epoch
	if !mine {
		if k.role != stopped {
			k.role = follower
		}
		return
	}
	if k.role == follower || fresh {
		k.role, k.startAt, k.loansAt = waiting, 0, 0
		clear(k.fenced)
		clear(k.contacts)
	}
	k.readAt = max(k.readAt, start)
}

// lead is the round of the node that the row names.
func (k *Elector) lead(ctx context.Context) {
	_, ok := k.read(ctx)
	if st := k.Status(); !st.IsHolder {
		return
	}
	if k.cfg.StateOwner != nil {
		k.mu.Lock()
		state := k.row.State
		k.mu.Unlock()
		k.cfg.StateOwner.Stored(state)
	}
	k.start(ctx)
	// A tenant that stored a new version may go on to use it at once.
	for range maxWrites {
		if !ok || !k.refresh(ctx) {
			return
		}
	}
}

// start raises the fences and begins the wait once they are up.
func (k *Elector) start(ctx context.Context) {
	k.mu.Lock()
	row, role := k.row, k.role
	k.mu.Unlock()
	if role != waiting {
		return
	}
	if !k.fence(ctx, row) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.role != waiting || k.epoch != row.Epoch {
		return
	}
	now := k.cfg.Clock.Now()
	k.role = holding
	k.startAt, k.loansAt = now+TakeoverWait, now+LoanWait
	switch {
	case row.FirstHolder, row.Handover != "" && row.Handover == k.continued:
		k.startAt, k.loansAt = now, now
	case row.PlannedStop:
		k.startAt, k.loansAt = now+stoppedWait, now+stoppedLoans
	}
	k.cfg.Log.Info("holder", "dc", k.cfg.DataCentre, "epoch", k.epoch, "lends_in", k.startAt-now)
}

// fence asks the witnesses of earlier holders to acknowledge the own epoch and
// returns whether a majority of each set did so.
func (k *Elector) fence(ctx context.Context, row Row) bool {
	missing := k.unfenced(row.Fences)
	if len(missing) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeLimit)
	defer cancel()
	q := Query{DataCentre: k.cfg.DataCentre, Epoch: row.Epoch, Node: row.Node, Fence: true}
	for node, a := range k.cfg.MemberClient.Ask(ctx, missing, q) {
		k.mu.Lock()
		if a.Fenced && k.epoch == row.Epoch {
			k.fenced[node] = true
		}
		k.learn(a.Epoch, a.Node)
		k.mu.Unlock()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, set := range row.Fences {
		if 2*countIn(set, func(n string) bool { return n == k.cfg.Node || k.fenced[n] }) <= len(set) {
			return false
		}
	}
	return k.epoch == row.Epoch
}

func (k *Elector) unfenced(sets [][]string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var missing []string
	for _, set := range sets {
		for _, n := range set {
			if n != k.cfg.Node && !k.fenced[n] && !slices.Contains(missing, n) {
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

// maxWrites bounds the writes of one step.
const maxWrites = 3

// refresh writes the row when its fences are done with, when members have come
// or gone, or when the tenant has a new state.
func (k *Elector) refresh(ctx context.Context) (written bool) {
	k.mu.Lock()
	next, role, now := k.row, k.role, k.cfg.Clock.Now()
	started := role == holding && now >= k.startAt
	k.mu.Unlock()
	changed := false
	if started && (len(next.Fences) > 0 || next.FirstHolder || next.PlannedStop) {
		next.Fences, next.FirstHolder, next.PlannedStop, changed = nil, false, false, true
	}
	if set := k.chooseWitnesses(next.Witnesses); started && !slices.Equal(set, next.Witnesses) {
		next.Witnesses, changed = set, true
	}
	if k.cfg.StateOwner != nil {
		if state, ok := k.cfg.StateOwner.Propose(ctx, k.ReadRows); ok {
			next.State, changed = state, true
		}
	}
	if !changed || !k.write(ctx, next) {
		return false
	}
	if k.cfg.StateOwner != nil {
		k.cfg.StateOwner.Stored(next.State)
	}
	return true
}

// chooseWitnesses picks the members with the highest hashes, and this node. If
// there are too few live members it keeps earlier witnesses: without them, the
// loss of the last ones would leave nobody who can take over.
func (k *Elector) chooseWitnesses(earlier []string) []string {
	members := slices.DeleteFunc(slices.Clone(k.cfg.MemberClient.Members()), func(n string) bool { return n == k.cfg.Node })
	slices.SortFunc(members, func(a, b string) int { return cmp.Compare(hash(b), hash(a)) })
	set := append([]string{k.cfg.Node}, members[:min(len(members), maxWitnesses-1)]...)
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

// write replaces the row if it still is the one last seen. With an unknown
// outcome the next read shows what happened.
func (k *Elector) write(ctx context.Context, next Row) bool {
	value, err := next.encode()
	if err != nil {
		k.cfg.Log.Error(err, "holder row", "dc", k.cfg.DataCentre)
		return false
	}
	k.mu.Lock()
	version := k.rowVersion
	if next.Epoch == k.row.Epoch && !slices.Equal(next.Witnesses, k.row.Witnesses) {
		k.unsettled, k.unsettledAt = next.Witnesses, version
	}
	k.mu.Unlock()
	start := k.cfg.Clock.Now()
	written, err := k.cfg.Table.Put(ctx, k.key(), version, value)
	if err == nil {
		k.note(next, written, start)
		return true
	}
	got, ok := k.read(ctx) // resolves an unknown outcome, and shows who was faster after a conflict
	return ok && store.ErrUnknownOutcome.Has(err) && sameRow(got, next)
}

func sameRow(a, b Row) bool {
	x, errX := a.encode()
	y, errY := b.encode()
	return errX == nil && errY == nil && slices.Equal(x, y)
}

// seek looks for the holder, first in the row and without the platform at the
// members, and takes over if nobody hears it.
func (k *Elector) seek(ctx context.Context) {
	row, ok := k.read(ctx)
	if !ok {
		k.askAround(ctx)
		return
	}
	st := k.Status()
	if st.IsHolder {
		k.lead(ctx)
		return
	}
	if !k.mayClaim(ctx, row) {
		return
	}
	next := Row{Node: k.cfg.Node, Incarnation: k.cfg.Incarnation, Epoch: row.Epoch + 1, Witnesses: k.chooseWitnesses(row.Witnesses),
		Fences: row.sets(), FirstHolder: row.Epoch == 0, PlannedStop: row.Epoch > 0 && row.Released() && len(row.Fences) == 0, State: row.State}
	if k.write(ctx, next) {
		k.lead(ctx)
	}
}

// askAround learns the epoch from members while the platform gives no answer.
func (k *Elector) askAround(ctx context.Context) {
	k.mu.Lock()
	q := Query{DataCentre: k.cfg.DataCentre, Epoch: k.epoch, Node: k.node}
	k.mu.Unlock()
	members := k.chooseWitnesses(nil)
	ctx, cancel := context.WithTimeout(ctx, callTimeLimit)
	defer cancel()
	for _, a := range k.cfg.MemberClient.Ask(ctx, k.others(members), q) {
		k.ObserveEpoch(a.Epoch, a.Node)
	}
}

func (k *Elector) others(nodes []string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == k.cfg.Node })
}

// mayClaim is the gate of a takeover: silence for silenceLimit, and a majority
// of every witness set that does not hear the holder either. The gate only
// prevents needless takeovers; the fences after the write keep them safe.
func (k *Elector) mayClaim(ctx context.Context, row Row) bool {
	if row.Released() {
		return true
	}
	k.mu.Lock()
	silent := k.cfg.Clock.Now() >= k.silentSince+silenceLimit
	k.mu.Unlock()
	if !silent {
		return false
	}
	ask := k.others(k.chooseWitnesses(nil))
	for _, set := range row.sets() {
		for _, n := range k.others(set) {
			if !slices.Contains(ask, n) {
				ask = append(ask, n)
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeLimit)
	defer cancel()
	answers := k.cfg.MemberClient.Ask(ctx, ask, Query{DataCentre: k.cfg.DataCentre, Epoch: row.Epoch, Node: row.Node})
	free := true
	for _, a := range answers {
		k.ObserveEpoch(a.Epoch, a.Node)
		free = free && !a.HearsHolder && a.Epoch <= row.Epoch
	}
	if !free {
		return false
	}
	for _, set := range row.sets() {
		n := countIn(set, func(n string) bool { _, ok := answers[n]; return ok || n == k.cfg.Node })
		if 2*n <= len(set) {
			return false
		}
	}
	return true
}

// ReadRows reads the holder rows of all data centres.
func (k *Elector) ReadRows(ctx context.Context) (map[string]Row, error) {
	rows, err := k.cfg.Table.List(ctx, RowPrefix, 0)
	if err != nil {
		return nil, err
	}
	peers := make(map[string]Row, len(rows))
	for _, r := range rows {
		row, err := DecodeRow(r.Value)
		if err != nil {
			return nil, err
		}
		peers[r.Key[len(RowPrefix):]] = row
	}
	return peers, nil
}
