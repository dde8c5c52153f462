// Package directory distributes the endpoints of all nodes through rows of the
// store. Each node writes its own row when the state of its backend server changes
// and watches the rows of the others. While the store is unavailable, the node
// keeps using the last known rows and fetches rows from other nodes.
package directory

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/internal/fleetview"
	"github.com/dotterelseam/dotterelseam/internal/interrupt"
	"github.com/dotterelseam/dotterelseam/store"
)

// RowPrefix is the key prefix of the endpoint rows; the node ID follows it.
const RowPrefix = fleetview.RowPrefix

// Config describes a Directory. All fields but Client are required.
type Config struct {
	Node   string
	Table  store.Table
	Log    logr.Logger
	Client *http.Client // for calls to other nodes; nil: rows are read from the store only
}

// Directory implements node.Directory and node.BackendStore. It is safe for concurrent use.
type Directory struct {
	cfg Config

	mu             sync.Mutex
	view           *fleetview.View                // of all rows
	byService      map[string][]balancer.Endpoint // replaced, never changed
	members        []balancer.Endpoint            // replaced, never changed
	watchers       []func(service string)
	own            *balancer.Endpoint // desired endpoint of the own row; nil: the row is not written
	departures     edge.Departures    // desired, with own
	ownVersion     uint64             // of the own row as last read or written; used by writeLoop only
	ownEra         store.Era          // in which ownVersion was read or written; used by writeLoop only
	ownChanged     chan struct{}      // signals that own or departures may differ from the row
	changes        uint64             // of own and departures so far
	stored         uint64             // how many of them are in the row
	ownStored      chan struct{}      // closed and replaced when stored rises
	version        uint64             // incremented by each call of update, even if no row changed
	storeReachable bool               // the latest read or watch of the store succeeded; true before the first one
	loaded         bool               // all rows were read once, from the store or another node
	recall         fleetview.Recall   // departures that earlier processes of this node have acknowledged
	ownRead        chan struct{}      // closed once recall is complete
	told           edge.Departures    // departures that another node was told of last
	rewrite        bool               // the own row has to be written again since the store came back from a copy
	ownReadOnce    sync.Once          // guards the close of ownRead
	seedAddress    string             // peers address passed to ObservePeer; used while no other member is known

	recovering       chan struct{} // signals that the store may lack rows that are written again
	consultRequested chan struct{} // signals that other nodes have to be asked what the store has lost
	interrupter      interrupt.Interrupter
	fetchRequested   chan struct{} // signals that rows of another node are needed
}

// New returns an empty Directory; Run fills it and keeps it up to date.
func New(cfg Config) *Directory {
	return &Directory{
		cfg: cfg, view: fleetview.New(cfg.Node, cfg.Log), byService: map[string][]balancer.Endpoint{},
		recovering: make(chan struct{}, 1), consultRequested: make(chan struct{}, 1),
		ownChanged: make(chan struct{}, 1), ownStored: make(chan struct{}), ownRead: make(chan struct{}),
		storeReachable: true, fetchRequested: make(chan struct{}, 1),
	}
}

// Endpoints implements node.Directory.
func (d *Directory) Endpoints(service string) []balancer.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service]
}

// Watch implements node.Directory. f may be called concurrently, and also for services
// whose endpoints did not change. It must not call Announce.
func (d *Directory) Watch(f func(service string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, f)
}

// Members returns the endpoints of all nodes that have a row and whose address has
// not been taken over by another node, and a version that increases with each of their
// changes. Nodes whose backend server is not serving are included. The list is empty
// until all rows were read once, because a node that knows only itself must not act as
// if it were the whole fleet. The result must not be changed.
func (d *Directory) Members() (version uint64, nodes []balancer.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return d.version, nil
	}
	return d.version, d.members
}

// knownMembers returns what Members returns once all rows were read.
func (d *Directory) knownMembers() []balancer.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

// Resync interrupts a waiting call to the store, so that all rows are read again on
// another connection. It has no effect if no call is waiting. It does not block.
func (d *Directory) Resync() { d.interrupter.Interrupt() }

// Announce implements node.Directory. After a nil endpoint the row stays, with the
// state Starting.
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
	d.changes++
	d.mu.Unlock()
	if own == nil {
		return
	}
	// The local view is updated without waiting for the store.
	d.update(func(v *fleetview.View) { v.SetOwn(*own) })
	d.requestWrite()
}

// Run writes the node's own row, watches all rows, and fetches rows from other nodes
// while the store is unavailable, until ctx ends. It must be called once.
func (d *Directory) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.writeLoop(ctx) })
	wg.Go(func() { d.watchLoop(ctx) })
	wg.Go(func() { d.fetchLoop(ctx) })
	wg.Go(func() { d.recoverLoop(ctx) })
	wg.Go(func() { d.consultLoop(ctx) })
	wg.Wait()
}

// Deregister removes the node's own row. It must be called after the last Announce; a
// write of Run that is in progress may create the row again. The error is of a class of
// package store: ErrNotFound if there was no row. After another error the row may stay,
// and the other nodes detect by their failing calls that the node has stopped.
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

// apply merges changed rows and notifies the watchers of all services that have or had
// endpoints.
func (d *Directory) apply(rows []store.Row) {
	d.update(func(v *fleetview.View) { v.Apply(rows) })
}

// update changes the view and notifies the watchers.
func (d *Directory) update(change func(*fleetview.View)) {
	d.mu.Lock()
	change(d.view)
	before := d.byService
	d.members, d.byService = d.view.Fleet()
	next := d.byService
	d.version++
	watchers := d.watchers
	d.mu.Unlock()
	for service := range next {
		notify(watchers, service)
	}
	for service := range before {
		if _, present := next[service]; !present {
			notify(watchers, service)
		}
	}
}

func notify(watchers []func(string), service string) {
	for _, f := range watchers {
		f(service)
	}
}

// setStoreReachable records whether the store answered, and logs each change.
func (d *Directory) setStoreReachable(up bool, err error) {
	d.mu.Lock()
	before := d.storeReachable
	d.storeReachable = up
	d.mu.Unlock()
	switch {
	case before == up:
	case up:
		d.cfg.Log.Info("store_regained", "what", "endpoints")
	default:
		d.cfg.Log.Info("store_lost", "what", "endpoints", "error", err.Error())
	}
}
