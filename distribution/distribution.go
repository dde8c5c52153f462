// Package distribution brings published configurations into force on a node.
// Versions in force only rise.
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

// Error groups the errors of this package.
var Error = errs.Class("distribution")

const (
	recordKey    = "config"
	pollInterval = 500 * time.Millisecond
	// Pause between two rounds of tries to get a snapshot.
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

// Peers names the nodes that can be asked for a configuration.
type Peers interface {
	Local() []string
	Remote() map[string][]string
	IsGateway() bool
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

// reference is the value of the row and of the record: the digest of the
// snapshot. The version is that of the row or record.
type reference struct {
	Digest string `cbor:"1,keyasint"`
}

// heldDocument is an encoded snapshot that was verified.
type heldDocument struct {
	digest    string
	encoded   []byte
	patch     []byte // last patch that was sent, nil if none
	patchBase string
}

// Distribution keeps the configuration in force on one node. It implements
// node.Configuration and is safe for concurrent use.
type Distribution struct {
	cfg     Config
	current atomic.Pointer[config.Snapshot]
	ready   chan struct{}
	changed chan struct{} // the record config may have a higher version
	invalid metrics.Counter

	applyMu  sync.Mutex // held while a snapshot is put into force
	watchers []func(*config.Snapshot)

	mu      sync.Mutex
	started bool           // the start rule is met
	held    []heldDocument // newest last, at most heldDocuments
	arrived chan struct{}  // closed and replaced when held changes
	asked   peerSet        // peers of the last query at start
}

// heldDocuments is how many documents a node keeps for its peers: the one in
// force and the next one.
const heldDocuments = 2

// New returns a distribution without a configuration in force.
func New(cfg Config) *Distribution {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	d := &Distribution{
		cfg: cfg, ready: make(chan struct{}), changed: make(chan struct{}, 1), arrived: make(chan struct{}),
		invalid: metrics.GetOrRegisterCounter("config_invalid", cfg.Metrics),
	}
	cfg.Mesh.Handle(kindRequest, d.handleRequest)
	cfg.Mesh.Handle(kindQuery, d.handleQuery)
	cfg.Mesh.Handle(kindOffer, d.handleOffer)
	cfg.Store.Watch(recordKey, func(string) { d.signal() })
	return d
}

// Current returns the snapshot in force, or nil before the first one.
func (d *Distribution) Current() *config.Snapshot { return d.current.Load() }

// Ready is closed when the first configuration is in force.
func (d *Distribution) Ready() <-chan struct{} { return d.ready }

// Watch calls f after each change of the snapshot in force, one call at a time.
func (d *Distribution) Watch(f func(*config.Snapshot)) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.watchers = append(d.watchers, f)
}

// Run keeps the configuration up to date until ctx ends.
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
		for d.behind() {
			if d.follow(ctx) == nil {
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

func (d *Distribution) signal() {
	select {
	case d.changed <- struct{}{}:
	default: // already signalled
	}
}

// version returns the version in force, 0 if there is none.
func (d *Distribution) version() uint64 {
	if s := d.Current(); s != nil {
		return s.Version
	}
	return 0
}

func (d *Distribution) behind() bool {
	return d.cfg.Store.Version(recordKey) > d.version()
}

// follow puts the version of the record into force.
func (d *Distribution) follow(ctx context.Context) error {
	record, from, ok := d.cfg.Store.Source(recordKey)
	if !ok {
		return Error.New("no record")
	}
	var ref reference
	if err := peer.Unmarshal(record.Value, &ref); err != nil {
		return Error.Wrap(err)
	}
	encoded, err := d.obtain(ctx, ref.Digest, from.Node)
	if err != nil {
		return err
	}
	d.hold(heldDocument{digest: ref.Digest, encoded: encoded})
	snapshot, err := config.Decode(record.Version, encoded)
	if err != nil {
		d.invalid.Inc(1)
		return Error.Wrap(err)
	}
	if from.Node == "" {
		d.offer(ctx, record.Version, ref)
	}
	d.apply(snapshot)
	return nil
}

// apply puts a snapshot into force if its version is higher.
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
			_ = d.readRow(ctx) // an outage ends by itself; the next poll tells
		}
	}
}

// readRow takes over the row's version into the record. A missing row counts
// as read.
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

// start meets the start rule: it reads the row or, if the platform gives no
// answer, asks all peers and takes the highest version.
func (d *Distribution) start(ctx context.Context) bool {
	wait := retryPause
	for {
		err := d.readRow(ctx)
		if err != nil && store.IsOutage(err) {
			err = d.askPeers(ctx)
		}
		if err == nil {
			d.mu.Lock()
			d.started = true
			d.mu.Unlock()
			d.signal()
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
		panic(err) // the types of this package always encode
	}
	return b
}
