// Package directory knows the endpoints of all nodes through rows of the store:
// each node writes its own row when its backend server changes, and follows the
// changes of the others. While the store is away, the last known rows hold, and
// nodes learn rows from each other.
package directory

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/internal/interrupt"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/store"
)

// RowPrefix begins the keys of the nodes' rows.
const RowPrefix = "endpoint/"

const (
	// watchWait is how long one call waits for a change of the rows.
	watchWait = 25 * time.Second
	// settleTime is the pause after a change for each settleNodes nodes, up to
	// maxSettleTime, so that several changes in a row cost one call and the store's
	// reads do not grow with the square of the fleet.
	settleTime    = 500 * time.Millisecond
	settleNodes   = 16
	maxSettleTime = 2 * time.Second
	// retryTime bounds the random pause after a failed call to the store.
	retryTime = 600 * time.Millisecond
	// writeLimit bounds one write of the node's own row.
	writeLimit = 2 * time.Second
)

// Config describes a Directory. All fields but Client are required.
type Config struct {
	Node   string
	Table  store.Table
	Log    logr.Logger
	Client *http.Client // for calls to other nodes; nil: rows come from the store only
}

// Directory implements node.Directory. It is safe for concurrent use.
type Directory struct {
	cfg Config

	mu         sync.Mutex
	rows       map[string]entry               // by node
	byService  map[string][]balancer.Endpoint // replaced, never changed
	members    []balancer.Endpoint            // replaced, never changed
	watchers   []func(service string)
	own        *balancer.Endpoint // what the own row is to say; nil: no backend server
	ownVersion uint64             // of the own row as last written; used by write only
	changed    chan struct{}      // has a value when own differs from the row
	version    uint64             // changes with every change of the rows
	watching   bool               // the store answered the latest call
	known      bool               // all rows were read once, from the store or another node
	heardFrom  string             // peers address of another node; used until known

	waiting interrupt.Interrupter
	wanted  chan struct{} // has a value when rows of another node are needed
}

type entry struct {
	revision uint64
	endpoint balancer.Endpoint
}

// New returns an empty Directory. Run keeps it up to date.
func New(cfg Config) *Directory {
	return &Directory{
		cfg: cfg, rows: map[string]entry{}, byService: map[string][]balancer.Endpoint{},
		changed: make(chan struct{}, 1), watching: true, wanted: make(chan struct{}, 1),
	}
}

// Endpoints implements node.Directory.
func (d *Directory) Endpoints(service string) []balancer.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service]
}

// Watch implements node.Directory.
func (d *Directory) Watch(f func(service string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, f)
}

// Members returns the endpoints of all nodes that have a row and still their
// address, also of those without a backend server that serves, and a number that
// changes with them. There are none before the rows were read once: a node that
// knows only itself must not take itself for the whole fleet. The result must not
// be changed.
func (d *Directory) Members() (version uint64, nodes []balancer.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known {
		return d.version, nil
	}
	return d.version, d.members
}

// Resync reads all rows again, on another connection to the store.
func (d *Directory) Resync() { d.waiting.Interrupt() }

// Announce implements node.Directory. Without a backend server the row stays
// and names none that serves.
func (d *Directory) Announce(e *balancer.Endpoint) {
	d.mu.Lock()
	switch {
	case e != nil:
		own := *e
		d.own = &own
	case d.own != nil:
		own := *d.own
		own.State = balancer.Starting
		d.own = &own
	}
	own := d.own
	d.mu.Unlock()
	if own == nil {
		return
	}
	// The node's own view does not wait for the store.
	d.apply([]store.Row{}, own)
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Run writes the own row and follows the others until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { d.write(ctx) })
	parts.Go(func() { d.follow(ctx) })
	parts.Go(func() { d.learn(ctx) })
	parts.Wait()
}

// Deregister removes the own row. The error tells why it stays; then the other nodes
// find the node gone by their failing calls.
func (d *Directory) Deregister(ctx context.Context) error {
	d.mu.Lock()
	d.own = nil
	d.mu.Unlock()
	key := RowPrefix + d.cfg.Node
	row, err := d.cfg.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	return d.cfg.Table.Remove(ctx, key, row.Version)
}

// write keeps the own row at what Announce said last.
func (d *Directory) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
		}
		for !d.writeOwn(ctx) {
			if !pause.For(ctx, retryTime/2+rand.N(retryTime/2)) {
				return
			}
		}
	}
}

// writeOwn writes the own row once and reports whether it is up to date.
func (d *Directory) writeOwn(ctx context.Context) bool {
	d.mu.Lock()
	own := d.own
	d.mu.Unlock()
	if own == nil {
		return true
	}
	value, err := cbor.Marshal(own)
	if err != nil {
		d.cfg.Log.Error(err, "endpoint_not_encoded")
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	version, err := d.putOwn(ctx, value)
	if err != nil {
		d.cfg.Log.Info("endpoint_not_written", "error", err.Error())
		return false
	}
	d.cfg.Log.Info("endpoint_written", "service", own.Service, "state", int(own.State), "version", version)
	return true
}

// putOwn writes the own row over the version that is known. Another version was
// written by a process before this one, or by a call whose answer was lost.
func (d *Directory) putOwn(ctx context.Context, value []byte) (uint64, error) {
	key := RowPrefix + d.cfg.Node
	version, err := d.cfg.Table.Put(ctx, key, d.ownVersion, value)
	if store.ErrConflict.Has(err) {
		row, getErr := d.cfg.Table.Get(ctx, key)
		if getErr != nil {
			return 0, getErr
		}
		version, err = d.cfg.Table.Put(ctx, key, row.Version, value)
	}
	if err == nil {
		d.ownVersion = version
	}
	return version, err
}

// follow applies the changes of all rows.
func (d *Directory) follow(ctx context.Context) {
	var revision uint64
	synced := false
	for ctx.Err() == nil {
		changes, err := d.next(ctx, revision, synced)
		switch {
		case store.ErrCompacted.Has(err):
			synced = false
			continue
		case err != nil:
			d.reachable(false, err)
			d.wantRows()
			synced = false // changes in between may be lost to compaction
			pause.For(ctx, retryTime/2+rand.N(retryTime/2))
			continue
		}
		d.reachable(true, nil)
		if !synced {
			changes.Rows = append(changes.Rows, d.missing(changes)...)
			d.mu.Lock()
			d.known = true
			d.mu.Unlock()
		}
		revision, synced = changes.Revision, true
		d.apply(changes.Rows, nil)
		if len(changes.Rows) > 0 {
			pause.For(ctx, d.settle())
		}
	}
}

// next waits for changes, or reads all rows.
func (d *Directory) next(ctx context.Context, revision uint64, synced bool) (store.Changes, error) {
	ctx, done := d.waiting.Context(ctx)
	defer done()
	if synced {
		return d.cfg.Table.Watch(ctx, revision, watchWait)
	}
	return d.cfg.Table.Snapshot(ctx, RowPrefix)
}

// settle returns the pause after a change.
func (d *Directory) settle() time.Duration {
	_, nodes := d.Members()
	return min(max(settleTime*time.Duration(len(nodes))/settleNodes, settleTime), maxSettleTime)
}

// missing returns removals for the known rows that a snapshot does not hold.
func (d *Directory) missing(snapshot store.Changes) []store.Row {
	present := map[string]bool{}
	for _, row := range snapshot.Rows {
		present[row.Key] = true
	}
	var gone []store.Row
	d.mu.Lock()
	defer d.mu.Unlock()
	for node, e := range d.rows {
		if key := RowPrefix + node; !present[key] && e.revision <= snapshot.Revision && e.revision > 0 {
			gone = append(gone, store.Row{Key: key, Revision: snapshot.Revision, Deleted: true})
		}
	}
	return gone
}

// apply takes over changed rows, and the node's own endpoint if it is not nil.
func (d *Directory) apply(rows []store.Row, own *balancer.Endpoint) {
	d.mu.Lock()
	before := d.byService
	for _, row := range rows {
		d.applyRow(row)
	}
	if own != nil {
		d.rows[d.cfg.Node] = entry{revision: d.rows[d.cfg.Node].revision, endpoint: *own}
	}
	next := map[string][]balancer.Endpoint{}
	newest := d.newestByAddress()
	members := make([]balancer.Endpoint, 0, len(d.rows))
	for node, e := range d.rows {
		if newest[e.endpoint.PeerAddress] != node {
			continue
		}
		members = append(members, e.endpoint)
		next[e.endpoint.Service] = append(next[e.endpoint.Service], e.endpoint)
	}
	d.byService = next
	d.members = members
	d.version++
	watchers := d.watchers
	d.mu.Unlock()
	for service := range next {
		notify(watchers, service)
	}
	for service := range before {
		if _, still := next[service]; !still {
			notify(watchers, service)
		}
	}
}

// newestByAddress returns the node of the newest row of each address. An address
// that another node has taken over tells that the one before is gone. The caller
// holds d.mu.
func (d *Directory) newestByAddress() map[string]string {
	newest := make(map[string]string, len(d.rows))
	for node, e := range d.rows {
		other, taken := newest[e.endpoint.PeerAddress]
		if !taken || node == d.cfg.Node || other != d.cfg.Node && d.rows[other].revision < e.revision {
			newest[e.endpoint.PeerAddress] = node
		}
	}
	return newest
}

func notify(watchers []func(string), service string) {
	for _, f := range watchers {
		f(service)
	}
}

// applyRow takes over one row, which may be older than what is known.
func (d *Directory) applyRow(row store.Row) {
	node, ok := strings.CutPrefix(row.Key, RowPrefix)
	if !ok || row.Revision < d.rows[node].revision {
		return
	}
	if node == d.cfg.Node && d.own != nil {
		d.rows[node] = entry{revision: row.Revision, endpoint: *d.own}
		return
	}
	if row.Deleted {
		if _, known := d.rows[node]; known {
			delete(d.rows, node)
			d.cfg.Log.Info("node_removed", "node", node, "revision", row.Revision)
		}
		return
	}
	var e balancer.Endpoint
	if err := cbor.Unmarshal(row.Value, &e); err != nil {
		d.cfg.Log.Info("endpoint_unreadable", "node", node, "error", err.Error())
		return
	}
	d.rows[node] = entry{revision: row.Revision, endpoint: e}
	d.cfg.Log.Info("endpoint_known", "node", node, "service", e.Service, "state", int(e.State), "revision", row.Revision)
}

// reachable logs when the store is lost and when it is regained.
func (d *Directory) reachable(up bool, err error) {
	d.mu.Lock()
	before := d.watching
	d.watching = up
	d.mu.Unlock()
	switch {
	case before == up:
	case up:
		d.cfg.Log.Info("store_regained", "what", "endpoints")
	default:
		d.cfg.Log.Info("store_lost", "what", "endpoints", "error", err.Error())
	}
}
