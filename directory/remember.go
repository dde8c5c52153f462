package directory

import (
	"context"

	"github.com/dotterelseam/dotterelseam/edge"
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
		return d.view.Departures(d.cfg.Node), err
	}
	return d.recall.Departures(), nil
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

// Flush implements node.BackendStore. It returns at once if no endpoint was announced. Other
// nodes are told at the same time.
func (d *Directory) Flush(ctx context.Context) error {
	d.mu.Lock()
	wanted, written := d.changes, d.own != nil
	d.mu.Unlock()
	told := d.tellOnce()
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
	<-told
	return nil
}

// tellOnce tells other nodes of the departures unless one knows them already, and closes the
// returned channel at the end.
func (d *Directory) tellOnce() <-chan struct{} {
	d.mu.Lock()
	departures := d.departures
	needed := d.cfg.Client != nil && !departures.Equal(d.told)
	d.mu.Unlock()
	done := make(chan struct{})
	if !needed {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		if d.tell(departures) == 0 {
			return
		}
		d.mu.Lock()
		d.told = departures
		d.mu.Unlock()
	}()
	return done
}
