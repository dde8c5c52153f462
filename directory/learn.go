package directory

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/nodecall"
	"github.com/dotterelseam/dotterelseam/store"
)

// Error is the class of rows that could not be read from another node.
var Error = errs.Class("directory")

// EndpointsPath is where nodes read the rows that another one knows, on the peers
// listener.
const EndpointsPath = "/v1/endpoints"

const (
	// learnInterval is the time between two readings of another node's rows while
	// the store is away.
	learnInterval = 2 * time.Second
	learnLimit    = time.Second
	maxLearned    = 8 << 20 // bytes
)

// Handler serves the rows that this node knows to other nodes, and 404 while it
// has not read any.
func (d *Directory) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rows, known := d.rowsKnown()
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		raw, err := cbor.Marshal(rows)
		if err != nil {
			d.cfg.Log.Error(err, "endpoints_not_encoded")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(raw) // a write error means that the reader is gone
	})
}

// rowsKnown returns the rows that lie in the store as far as this node knows, and
// whether it has read them all once.
func (d *Directory) rowsKnown() (rows []store.Row, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node, e := range d.rows {
		if e.revision == 0 {
			continue // the own one, which is not written yet
		}
		value, err := cbor.Marshal(&e.endpoint)
		if err != nil {
			d.cfg.Log.Error(err, "endpoint_not_encoded", "node", node)
			continue
		}
		rows = append(rows, store.Row{Key: RowPrefix + node, Revision: e.revision, Value: value})
	}
	return rows, d.known
}

// ObservePeer tells that the node at a peers address lives. A node that has not read any
// rows learns them from there. It does not block.
func (d *Directory) ObservePeer(address string) {
	d.mu.Lock()
	needed := !d.known && address != ""
	if needed {
		d.heardFrom = address
	}
	d.mu.Unlock()
	if needed {
		d.wantRows()
	}
}

// wantRows asks for the rows of another node.
func (d *Directory) wantRows() {
	select {
	case d.wanted <- struct{}{}:
	default:
	}
}

// learn reads rows from other nodes while the store is away.
func (d *Directory) learn(ctx context.Context) {
	var latest time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wanted:
		}
		address := d.RandomPeer()
		if d.cfg.Client == nil || address == "" || time.Since(latest) < learnInterval {
			continue
		}
		latest = time.Now()
		if err := d.learnFrom(ctx, address); err != nil {
			d.cfg.Log.Info("endpoints_not_fetched", "from", address, "error", err.Error())
		}
	}
}

// RandomPeer returns the peers address of a random other node, or "".
func (d *Directory) RandomPeer() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	address, seen := d.heardFrom, 0
	for _, e := range d.members {
		if e.Node == d.cfg.Node {
			continue
		}
		if seen++; rand.IntN(seen) == 0 {
			address = e.PeerAddress
		}
	}
	return address
}

// learnFrom takes over the rows that the node at address knows. Removals are not
// among them; the store tells of them when it is back.
func (d *Directory) learnFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, learnLimit)
	defer cancel()
	raw, err := nodecall.Do(ctx, d.cfg.Client, http.MethodGet, address, EndpointsPath, maxLearned)
	if err != nil {
		return Error.Wrap(err)
	}
	var rows []store.Row
	if err := cbor.Unmarshal(raw, &rows); err != nil {
		return Error.Wrap(err)
	}
	d.mu.Lock()
	first := !d.known
	d.known = true
	d.mu.Unlock()
	if first {
		d.cfg.Log.Info("endpoints_learned", "from", address, "rows", len(rows))
	}
	d.apply(rows, nil)
	return nil
}
