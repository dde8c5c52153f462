package directory

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/nodecall"
	"github.com/dotterelseam/dotterelseam/store"
)

// Error is the class of errors of reading rows from another node.
var Error = errs.Class("directory")

// EndpointsPath is the path of Handler on the peers listener.
const EndpointsPath = "/v1/endpoints"

const (
	// fetchInterval is the minimum time between two fetches of rows from other nodes.
	fetchInterval = 2 * time.Second
	// fetchTimeout limits one fetch.
	fetchTimeout = time.Second
	// maxFetchBytes limits the size of a response.
	maxFetchBytes = 8 << 20
	// nodeParameter of a request names the node whose row is to be read from the store.
	nodeParameter = "node"
)

// currentRow is what the store says of the row of one node.
type currentRow struct {
	Found bool      `cbor:"1,keyasint"`
	Value []byte    `cbor:"2,keyasint,omitempty"`
	Era   store.Era `cbor:"3,keyasint,omitempty"` // in which it was read
}

// Handler responds with the rows that this node knows, as a CBOR array of store.Row, or
// with 404 until all rows were read once. If the query names a node, it reads that node's
// row from the store and responds with a currentRow, or with 503 if it cannot. It also
// serves the requests that consult and tell send.
func (d *Directory) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			d.serveTold(w, r)
			return
		}
		if r.URL.Query().Has(knownParameter) {
			d.serveKnown(w)
			return
		}
		if node := r.URL.Query().Get(nodeParameter); node != "" {
			d.serveCurrentRow(w, r, node)
			return
		}
		rows, loaded := d.storedRows()
		if !loaded {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		d.respond(w, rows)
	})
}

func (d *Directory) serveCurrentRow(w http.ResponseWriter, r *http.Request, node string) {
	ctx, cancel := context.WithTimeout(r.Context(), fetchTimeout)
	defer cancel()
	row, err := d.cfg.Table.Get(ctx, RowPrefix+node)
	if err != nil && !store.ErrNotFound.Has(err) {
		d.cfg.Log.Info("endpoint_not_read", "node", node, "error", err.Error())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.respond(w, currentRow{Found: err == nil, Value: row.Value, Era: d.cfg.Table.Era()})
}

func (d *Directory) respond(w http.ResponseWriter, v any) {
	raw, err := cbor.Marshal(v)
	if err != nil {
		d.cfg.Log.Error(err, "endpoints_not_encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // a write error means that the client has disconnected
}

// storedRows returns the rows that are in the store as far as this node knows, and
// whether all rows were read once.
func (d *Directory) storedRows() (rows []store.Row, loaded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.StoredRows(), d.loaded
}

// ObservePeer records that the node whose peers listener is at address (ip:port) is
// alive. If this node has not read all rows yet, it fetches them from there. It does not
// block.
func (d *Directory) ObservePeer(address string) {
	d.mu.Lock()
	needed := !d.loaded && address != ""
	if needed {
		d.seedAddress = address
	}
	d.mu.Unlock()
	if needed {
		d.requestFetch()
	}
}

// requestFetch makes fetchLoop fetch rows from another node.
func (d *Directory) requestFetch() {
	select {
	case d.fetchRequested <- struct{}{}:
	default:
	}
}

// fetchLoop fetches rows from another node on request, until ctx ends. A request within
// fetchInterval of the last fetch is ignored.
func (d *Directory) fetchLoop(ctx context.Context) {
	var latest time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.fetchRequested:
		}
		address := d.RandomPeer()
		if d.cfg.Client == nil || address == "" || time.Since(latest) < fetchInterval {
			continue
		}
		latest = time.Now()
		if err := d.fetchFrom(ctx, address); err != nil {
			d.cfg.Log.Info("endpoints_not_fetched", "from", address, "error", err.Error())
			continue
		}
		if !d.knowsOwnRow() {
			d.readOwnThrough(ctx, address)
		}
	}
}

// readOwnThrough lets the node at address read the own row from the store, which may answer
// that node and not this one.
func (d *Directory) readOwnThrough(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	path := EndpointsPath + "?" + url.Values{nodeParameter: {d.cfg.Node}}.Encode()
	raw, err := nodecall.Do(ctx, d.cfg.Client, http.MethodGet, address, path, maxFetchBytes)
	var row currentRow
	if err == nil {
		err = cbor.Unmarshal(raw, &row)
	}
	if err != nil {
		d.cfg.Log.Info("own_endpoint_not_read", "through", address, "error", err.Error())
		return
	}
	d.cfg.Log.Info("own_endpoint_read", "through", address, "found", row.Found)
	d.noteOwnRow(row.Value, row.Era)
}

// RandomPeer returns the peers address (ip:port) of a random other node, or "" if none
// is known.
func (d *Directory) RandomPeer() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	address, seen := d.seedAddress, 0
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

// fetchFrom merges the rows that the node at address knows. They contain no deletions;
// those are read from the store when it is available again.
func (d *Directory) fetchFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	raw, err := nodecall.Do(ctx, d.cfg.Client, http.MethodGet, address, EndpointsPath, maxFetchBytes)
	if err != nil {
		return Error.Wrap(err)
	}
	var rows []store.Row
	if err := cbor.Unmarshal(raw, &rows); err != nil {
		return Error.Wrap(err)
	}
	d.mu.Lock()
	first := !d.loaded
	d.loaded = true
	d.mu.Unlock()
	if first {
		d.cfg.Log.Info("endpoints_learned", "from", address, "rows", len(rows))
	}
	d.apply(rows)
	return nil
}
