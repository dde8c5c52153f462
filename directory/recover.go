package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/fleetview"
	"github.com/dotterelseam/dotterelseam/internal/pause"
)

// After the store has come back from a copy, each node writes its row again, once, at a random
// moment.
const (
	// rewriteTimePerNode keeps the writes of all nodes together to 400 a second.
	rewriteTimePerNode = 2500 * time.Microsecond
	// recoveryTime is how long a node waits for rows that the store has lost, beyond the
	// time in which all are written again. In it a node that lives notices the restore.
	recoveryTime = 2 * time.Second
)

// requestRecovery makes recoverLoop wait until all nodes have written their rows again, and
// write the own row if rewrite is set.
func (d *Directory) requestRecovery(rewrite bool) {
	d.mu.Lock()
	if rewrite {
		d.rewrite = true
		d.changes++ // Flush waits until the row is stored again
	}
	d.mu.Unlock()
	select {
	case d.recovering <- struct{}{}:
	default:
	}
}

// recoverLoop restores what the store has lost of the own row, each time that it has come back
// from a copy, and then gives up the rows that are still missing. It runs until ctx ends.
func (d *Directory) recoverLoop(ctx context.Context) {
	var ended <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			ended = nil
			if !d.isStoreReachable() { // other nodes may have written their rows without this one knowing
				ended = time.After(recoveryTime)
				continue
			}
			d.update((*fleetview.View).EndRecovery)
		case <-d.recovering:
			spread := d.rewriteSpread()
			if d.takeRewrite() {
				if !pause.For(ctx, rand.N(spread)) {
					return
				}
				d.requestWrite()
			}
			ended = time.After(spread + recoveryTime)
		}
	}
}

func (d *Directory) isStoreReachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeReachable
}

func (d *Directory) takeRewrite() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	rewrite := d.rewrite
	d.rewrite = false
	return rewrite
}

// rewriteSpread returns the time in which all nodes write their rows again.
func (d *Directory) rewriteSpread() time.Duration {
	return rewriteTimePerNode * time.Duration(d.CountPeers()+1)
}
