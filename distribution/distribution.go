// Package distribution keeps a node on the newest published configuration. A node never
// replaces the version that it has applied by a lower one. Distribution uses gossip and
// the object store; Follower watches a Source and reads from other nodes over HTTP.
package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/publish"
	"github.com/dotterelseam/dotterelseam/store"
)

// Error is the class of errors of this package.
var Error = errs.Class("distribution")

const (
	recordKey    = "config" // of the gossip record with the newest known version
	pollInterval = 500 * time.Millisecond
	// The pause between two tries to get a snapshot doubles from retryPause to
	// maxRetryPause.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = time.Second
)

// Platform is the part of the platform client that this package uses.
type Platform interface {
	Get(ctx context.Context, key string) (store.Row, error)
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// Mesh is the part of peer.Mesh that this package uses.
type Mesh interface {
	Identity() peer.Identity
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, node, kind string, req, resp any) error
}

// Peers lists the nodes that can be asked for a configuration.
type Peers interface {
	Local() []string             // other nodes of this data centre
	Remote() map[string][]string // gateways of the other data centres
	IsGateway() bool             // whether this node polls the platform
}

// Config holds the settings of a Distribution.
type Config struct {
	Platform Platform
	Mesh     Mesh
	Store    *gossip.Store
	Peers    Peers
	Metrics  metrics.Registry // default: a new registry
	Now      func() time.Time // default time.Now
}

// documentRef is the value of the platform's row and of the gossip record: the digest of
// the document. Its version is that of the row or record.
type documentRef struct {
	Digest string `cbor:"1,keyasint"`
}

// cachedDocument is an encoded document whose digest was verified.
type cachedDocument struct {
	digest    string
	encoded   []byte
	patch     []byte // encoded patch to this document that was sent last, nil if none
	patchBase string // digest of the base of patch
}

// Distribution holds the active configuration of one node and keeps it up to date. It
// implements node.Configuration and is safe for concurrent use.
type Distribution struct {
	cfg     Config
	current atomic.Pointer[config.Snapshot]
	ready   chan struct{}
	changed chan struct{} // signals that the gossip record may have a higher version
	invalid metrics.Counter

	applyMu  sync.Mutex // held while a snapshot is applied
	watchers []func(*config.Snapshot)

	mu           sync.Mutex
	started      bool             // start has succeeded
	cached       []cachedDocument // newest last, at most maxCachedDocuments
	cacheChanged chan struct{}    // closed and replaced when cached changes
	queriedPeers peerSet          // peers of the last query at start
}

// maxCachedDocuments is how many documents a node caches for its peers: the newest one
// and the one before it, which is the base of patches.
const maxCachedDocuments = 2

// New returns a distribution without an active configuration.
func New(cfg Config) *Distribution {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	d := &Distribution{
		cfg: cfg, ready: make(chan struct{}), changed: make(chan struct{}, 1), cacheChanged: make(chan struct{}),
		invalid: metrics.GetOrRegisterCounter("config_invalid", cfg.Metrics),
	}
	cfg.Mesh.Handle(kindRequest, d.handleRequest)
	cfg.Mesh.Handle(kindQuery, d.handleQuery)
	cfg.Mesh.Handle(kindOffer, d.handleOffer)
	cfg.Store.Watch(recordKey, func(string) { d.signalChange() })
	return d
}

// Current returns the active snapshot, or nil before the first one.
func (d *Distribution) Current() *config.Snapshot { return d.current.Load() }

// Ready returns a channel that is closed when the first configuration is active.
func (d *Distribution) Ready() <-chan struct{} { return d.ready }

// Watch registers f, which is called after each change of the active snapshot, one
// call at a time. f is not called for the snapshot that is already active. It must not
// block or call Watch.
func (d *Distribution) Watch(f func(*config.Snapshot)) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.watchers = append(d.watchers, f)
}

// Run keeps the configuration up to date until ctx ends. It must be called once.
func (d *Distribution) Run(ctx context.Context) {
	if !d.start(ctx) {
		return
	}
	go d.pollLoop(ctx)
	wait := retryPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
		case <-time.After(maxRetryPause):
		}
		for d.isBehind() {
			if d.applyRecord(ctx) == nil {
				wait = retryPause
				continue
			}
			if !pause.For(ctx, wait) {
				return
			}
			wait = min(2*wait, maxRetryPause)
		}
	}
}

func (d *Distribution) signalChange() {
	select {
	case d.changed <- struct{}{}:
	default: // already signalled
	}
}

// version returns the active version, 0 if there is none.
func (d *Distribution) version() uint64 {
	if s := d.Current(); s != nil {
		return s.Version
	}
	return 0
}

func (d *Distribution) isBehind() bool {
	return d.cfg.Store.Version(recordKey) > d.version()
}

// applyRecord fetches and applies the version of the gossip record. If this node read
// the version from the platform, it offers it to a peer first.
func (d *Distribution) applyRecord(ctx context.Context) error {
	record, from, ok := d.cfg.Store.Source(recordKey)
	if !ok {
		return Error.New("no gossip record of the configuration")
	}
	var ref documentRef
	if err := peer.Unmarshal(record.Value, &ref); err != nil {
		return Error.Wrap(err)
	}
	encoded, err := d.fetchDocument(ctx, ref.Digest, from.Node)
	if err != nil {
		return err
	}
	d.cacheDocument(cachedDocument{digest: ref.Digest, encoded: encoded})
	snapshot, err := config.Decode(record.Version, encoded)
	if err != nil {
		d.invalid.Inc(1)
		return Error.Wrap(err)
	}
	if from.Node == "" {
		d.offerToPeer(ctx, record.Version, ref)
	}
	d.apply(snapshot)
	return nil
}

// apply makes a snapshot the active one if its version is higher than that of the
// present one, and calls the watchers.
func (d *Distribution) apply(s *config.Snapshot) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if s.Version <= d.version() {
		return
	}
	first := d.Current() == nil
	d.current.Store(s)
	if first {
		close(d.ready)
	}
	for _, f := range d.watchers {
		f(s)
	}
}

// pollLoop reads the row on gateways until ctx ends.
func (d *Distribution) pollLoop(ctx context.Context) {
	for pause.For(ctx, pollInterval) {
		if d.cfg.Peers.IsGateway() {
			_ = d.readRow(ctx) // the next poll retries
		}
	}
}

// readRow copies the version of the platform's row to the gossip record if it is higher.
// A missing row is no error.
func (d *Distribution) readRow(ctx context.Context) error {
	row, err := d.cfg.Platform.Get(ctx, publish.RowKey)
	if store.ErrNotFound.Has(err) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := publish.DecodeRow(row); err != nil {
		d.invalid.Inc(1)
		return Error.Wrap(err)
	}
	if row.Version > d.cfg.Store.Version(recordKey) {
		d.cfg.Store.SetShared(recordKey, row.Version, row.Value)
	}
	return nil
}

// start finds the highest version before any is applied, so that a restarted node does
// not go back to an older one: it reads the platform's row or, in an outage, takes the
// highest version of all peers. It retries until it succeeds and returns false if ctx
// ends first.
func (d *Distribution) start(ctx context.Context) bool {
	wait := retryPause
	for {
		err := d.readRow(ctx)
		if err != nil && store.IsOutage(err) {
			err = d.queryPeers(ctx)
		}
		if err == nil {
			d.mu.Lock()
			d.started = true
			d.mu.Unlock()
			d.signalChange()
			return true
		}
		if !pause.For(ctx, wait) {
			return false
		}
		wait = min(2*wait, maxRetryPause)
	}
}

func mustMarshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types of this package can always be encoded
	}
	return b
}
