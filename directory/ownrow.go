package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/internal/fleetview"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/store"
)

// writeTimeout limits one write of the node's own row.
const writeTimeout = 2 * time.Second

func (d *Directory) requestWrite() {
	select {
	case d.ownChanged <- struct{}{}:
	default:
	}
}

// writeLoop writes the endpoint announced last to the own row until ctx ends.
func (d *Directory) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.ownChanged:
		}
		for !d.writeOwn(ctx) {
			if !pause.For(ctx, maxRetryPause/2+rand.N(maxRetryPause/2)) {
				return
			}
		}
	}
}

// writeOwn writes the own row once and returns false if the write has to be repeated.
func (d *Directory) writeOwn(ctx context.Context) bool {
	d.mu.Lock()
	own, changes := d.own, d.changes
	d.mu.Unlock()
	if own == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	if d.ownEra != 0 && d.ownEra != d.cfg.Table.Era() {
		err = d.readOwn(ctx)
	}
	if err == nil {
		err = d.putOwn(ctx, own)
	}
	if store.ErrConflict.Has(err) {
		// The row was written by an earlier process of this node, by another writer, or by
		// a call whose response was lost.
		if err = d.readOwn(ctx); err == nil {
			err = d.putOwn(ctx, own)
		}
	}
	if err != nil {
		d.cfg.Log.Info("endpoint_not_written", "error", err.Error())
		return false
	}
	d.noteStored(changes)
	d.cfg.Log.Info("endpoint_written", "service", own.Service, "state", int(own.State), "version", d.ownVersion)
	return true
}

// putOwn writes the own row if its version in the store is ownVersion. What earlier
// processes have stored of departures stays in it. It returns an error if the store came back
// from a copy meanwhile, which may lack the row.
func (d *Directory) putOwn(ctx context.Context, own *balancer.Endpoint) error {
	era := d.cfg.Table.Era()
	d.mu.Lock()
	value := fleetview.NewRow(*own, d.recall.Departures().Merge(d.departures), era)
	d.mu.Unlock()
	encoded, err := cbor.Marshal(&value)
	if err != nil {
		return Error.Wrap(err)
	}
	version, err := d.cfg.Table.Put(ctx, RowPrefix+d.cfg.Node, d.ownVersion, encoded)
	if err != nil {
		return err
	}
	if d.ownVersion == 0 {
		d.noteOwnRow(nil, era)
	}
	now := d.cfg.Table.Era()
	if era == 0 && !now.IsLater() {
		era = now // a row that names no era counts as one of the first
	}
	d.ownVersion, d.ownEra = version, era
	d.mu.Lock()
	d.view.NoteWritten(era)
	d.mu.Unlock()
	if now != era {
		return Error.New("the row was written in era %d, and the store is in era %d", era, now)
	}
	return nil
}

// readOwn reads the version of the own row, 0 if there is none, and the departures in it.
func (d *Directory) readOwn(ctx context.Context) error {
	row, err := d.cfg.Table.Get(ctx, RowPrefix+d.cfg.Node)
	switch {
	case store.ErrNotFound.Has(err):
		d.ownVersion, d.ownEra = 0, d.cfg.Table.Era()
		d.noteOwnRow(nil, d.ownEra)
		return nil
	case err != nil:
		return err
	}
	d.ownVersion, d.ownEra = row.Version, row.Era
	d.noteOwnRow(row.Value, row.Era)
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

// noteOwnRow records what the own row in the store says, nil if there is none, when it was
// read in an era.
func (d *Directory) noteOwnRow(value []byte, era store.Era) {
	var own *fleetview.Row
	if value != nil {
		read, err := fleetview.DecodeRow(d.cfg.Node, value)
		if err != nil {
			d.cfg.Log.Info("endpoint_unreadable", "node", d.cfg.Node, "error", err.Error())
		}
		own = &read
	}
	d.noteOwn(func(r *fleetview.Recall) { r.NoteStored(own, era) })
	if !d.knowsOwnRow() {
		d.requestConsultation()
	}
}

// noteOwn adds to what is known of earlier processes of this node.
func (d *Directory) noteOwn(note func(*fleetview.Recall)) {
	d.mu.Lock()
	note(&d.recall)
	complete := d.recall.Complete()
	d.mu.Unlock()
	if complete {
		d.ownReadOnce.Do(func() { close(d.ownRead) })
	}
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
