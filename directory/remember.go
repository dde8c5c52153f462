package directory

import (
	"context"

	"github.com/dotterelseam/dotterelseam/edge"
)

// Recall implements node.BackendStore. What an earlier process of this node stored is read
// with the rows, from the store or another node.
func (d *Directory) Recall(ctx context.Context) (edge.Departures, error) {
	select {
	case <-d.ownRead:
	case <-ctx.Done():
		return edge.Departures{}, Error.Wrap(ctx.Err())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.rows[d.cfg.Node]
	return own.departures(), nil
}

// Remember implements node.BackendStore.
func (d *Directory) Remember(departures edge.Departures) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !departures.Equal(d.departures) {
		d.departures = departures
		d.changes++
	}
}

// Flush implements node.BackendStore. It returns at once if no endpoint was announced.
func (d *Directory) Flush(ctx context.Context) error {
	d.mu.Lock()
	wanted, written := d.changes, d.own != nil
	d.mu.Unlock()
	for written {
		d.mu.Lock()
		done, stored := d.stored >= wanted, d.ownStored
		d.mu.Unlock()
		if done {
			break
		}
		d.requestWrite()
		select {
		case <-stored:
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}

// noteStored records that the row contains the first changes of own and departure.
func (d *Directory) noteStored(changes uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stored = changes
	close(d.ownStored)
	d.ownStored = make(chan struct{})
}
