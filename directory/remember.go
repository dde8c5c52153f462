package directory

import (
	"context"

	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/store"
)

// Recall implements node.BackendStore. Only the store knows what an earlier process of this
// node wrote last: the copies of other nodes may be older. If ctx ends first, it returns what
// such a copy says, with an error of class Error.
func (d *Directory) Recall(ctx context.Context) (edge.Departures, error) {
	var err error
	select {
	case <-d.ownRead:
	case <-ctx.Done():
		err = Error.Wrap(ctx.Err())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		copied := d.rows[d.cfg.Node]
		return copied.departures(), err
	}
	return d.recalled, nil
}

// noteOwnRow records what the own row in the store says, nil if there is none.
func (d *Directory) noteOwnRow(value []byte) {
	var own rowValue
	if value != nil {
		var err error
		if own, err = decodeRow(d.cfg.Node, value); err != nil {
			d.cfg.Log.Info("endpoint_unreadable", "node", d.cfg.Node, "error", err.Error())
		}
	}
	d.mu.Lock()
	d.recalled = d.recalled.Merge(own.departures())
	d.mu.Unlock()
	d.ownReadOnce.Do(func() { close(d.ownRead) })
}

// findOwn returns the value of the own row among all rows of the store, or nil.
func (d *Directory) findOwn(rows []store.Row) []byte {
	for i := range rows {
		if rows[i].Key == RowPrefix+d.cfg.Node && !rows[i].Deleted {
			return rows[i].Value
		}
	}
	return nil
}

// knowsOwnRow reports whether the own row in the store is known.
func (d *Directory) knowsOwnRow() bool {
	select {
	case <-d.ownRead:
		return true
	default:
		return false
	}
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

// noteStored records that the row contains the first changes of own and departures.
func (d *Directory) noteStored(changes uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stored = changes
	close(d.ownStored)
	d.ownStored = make(chan struct{})
}
