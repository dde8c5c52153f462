package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/fleetview"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/store"
)

// Times of the watch and of the pauses around it.
const (
	// A watch call waits for a change for watchTimePerNode per node, so that the calls to
	// the store do not grow with the fleet. A watch whose answer was lost is noticed only
	// at its timeout, unless Resync is called.
	watchTimePerNode = 300 * time.Millisecond
	minWatchTimeout  = 5 * time.Second
	maxWatchTimeout  = 25 * time.Second
	// After a change the watch pauses for batchDelay per batchDelayNodes nodes, at
	// least batchDelay and at most maxBatchDelay. One call then returns several
	// changes, and the reads of the store do not grow with the square of the fleet.
	batchDelay      = 500 * time.Millisecond
	batchDelayNodes = 16
	maxBatchDelay   = 2 * time.Second
	// maxRetryPause limits the random pause after a failed call to the store.
	maxRetryPause = 600 * time.Millisecond
)

// watchLoop reads all rows, then watches and applies their changes, until ctx ends.
func (d *Directory) watchLoop(ctx context.Context) {
	var position store.Position
	synced := false
	for ctx.Err() == nil {
		changes, err := d.nextChanges(ctx, position, synced)
		switch {
		case store.ErrCompacted.Has(err):
			synced = false
			continue
		case err != nil:
			d.setStoreReachable(false, err)
			d.requestFetch()
			synced = false // the store may compact changes in the meantime
			pause.For(ctx, maxRetryPause/2+rand.N(maxRetryPause/2))
			continue
		}
		d.setStoreReachable(true, nil)
		if !synced {
			d.applySnapshot(changes)
		} else {
			d.apply(changes.Rows)
		}
		position, synced = changes.Position, true
		if len(changes.Rows) > 0 {
			pause.For(ctx, d.delayAfterChange())
		}
	}
}

// nextChanges waits for changes after a position, or reads all rows if synced is false.
func (d *Directory) nextChanges(ctx context.Context, after store.Position, synced bool) (store.Changes, error) {
	ctx, done := d.interrupter.Context(ctx)
	defer done()
	if synced {
		return d.cfg.Table.Watch(ctx, after, d.watchTimeout())
	}
	return d.cfg.Table.Snapshot(ctx, RowPrefix)
}

// watchTimeout returns how long one watch call waits for a change.
func (d *Directory) watchTimeout() time.Duration {
	_, nodes := d.Members()
	return min(max(watchTimePerNode*time.Duration(len(nodes)), minWatchTimeout), maxWatchTimeout)
}

// CountPeers returns how many other nodes are known.
func (d *Directory) CountPeers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(len(d.members)-1, 0)
}

// delayAfterChange returns the pause after a change, which grows with the fleet.
func (d *Directory) delayAfterChange() time.Duration {
	_, nodes := d.Members()
	return min(max(batchDelay*time.Duration(len(nodes))/batchDelayNodes, batchDelay), maxBatchDelay)
}

// applySnapshot merges all rows of the store. A process that has started since the store came
// back from a copy has not read all rows before other nodes have told what the store lacks.
func (d *Directory) applySnapshot(snapshot store.Changes) {
	restored, complete := false, false
	d.update(func(v *fleetview.View) {
		restored = v.ApplySnapshot(snapshot, time.Now())
		complete = !snapshot.Position.Era.IsLater() || restored
		d.loaded = d.loaded || complete
	})
	if restored {
		d.requestRecovery(true)
	}
	d.noteOwnRow(d.findOwn(snapshot.Rows), snapshot.Position.Era)
	if !d.hasLoaded() {
		d.requestConsultation()
	}
}

func (d *Directory) hasLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}
