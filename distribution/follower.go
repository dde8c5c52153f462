package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/interrupt"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/store"
)

const (
	// A watch whose answer was lost is noticed only at its timeout. In a small fleet each
	// node notices it itself, well within the 5 s within which a change has to be applied.
	// In a large one the first node that does tells the others, so that the calls to the
	// source do not grow with the fleet.
	minWatchTimeout  = 1500 * time.Millisecond
	maxWatchTimeout  = 25 * time.Second
	watchTimePerNode = 125 * time.Millisecond
	// askInterval is the time after which another node is asked for its version.
	askInterval = time.Second
	// maxFollowerPause limits the pause after a failed call. It is well below the 5 s
	// within which a change has to be applied. The pause is random, so that the nodes do
	// not retry at the same time.
	maxFollowerPause = 500 * time.Millisecond
)

// staleThreshold is how long the follower waits for the source to deliver a version
// that another node has, before it treats the watch as stalled. It is above the usual
// delay of a change, so that slow watches are not interrupted.
const staleThreshold = time.Second

// Source is a store in which others publish a configuration under increasing versions.
// Implementations are safe for concurrent use.
type Source interface {
	// Read returns the newest configuration, encoded, or nil if there is none yet, and
	// the position from which Watch continues.
	Read(ctx context.Context) (raw []byte, position store.Position, err error)
	// Watch returns the newest configuration after a position, or nil if none was
	// published within the time to wait, and the position from which the next Watch
	// continues.
	Watch(ctx context.Context, after store.Position, wait time.Duration) (raw []byte, position store.Position, err error)
	// IsCompacted reports whether the error means that the changes after the position
	// have been discarded, or that it is of an earlier era, so that Read has to be used.
	IsCompacted(err error) bool
	// Decode decodes a configuration into a snapshot.
	Decode(raw []byte) (*config.Snapshot, error)
}

// Follower applies each new configuration of a Source and never replaces a version by a
// lower one. It is safe for concurrent use, except that Watch, SetPeerClient and
// OnStalledWatch must be called before all other methods.
type Follower struct {
	source Source
	log    logr.Logger

	applyMu          sync.Mutex // held while current changes
	current          atomic.Pointer[appliedConfiguration]
	watchers         []func(*config.Snapshot)
	sourceReachable  atomic.Bool
	peerClient       *PeerClient  // nil: the configuration is not read from other nodes
	fetching         atomic.Bool  // a fetch of ObserveVersion is in progress
	epoch            time.Time    // creation of the follower
	lastVersionCheck atomic.Int64 // time of the latest CheckForUpdate that asked another node, ns since epoch; 0: none
	interrupter      interrupt.Interrupter
	stallWatchers    []func()
}

// appliedConfiguration is an active configuration, decoded and as received. Other nodes
// are sent the raw form.
type appliedConfiguration struct {
	snapshot *config.Snapshot
	raw      []byte
}

// NewFollower returns a Follower without a configuration.
func NewFollower(source Source, log logr.Logger) *Follower {
	f := &Follower{source: source, log: log, epoch: time.Now()}
	f.sourceReachable.Store(true)
	return f
}

// Current returns the active snapshot, or nil before the first one.
func (f *Follower) Current() *config.Snapshot {
	if c := f.current.Load(); c != nil {
		return c.snapshot
	}
	return nil
}

// Reachable reports whether the latest call to the source succeeded, or true before the
// first one.
func (f *Follower) Reachable() bool { return f.sourceReachable.Load() }

// Watch registers w, which is called after each change of the active snapshot, one
// call at a time. w must not block or call Apply.
func (f *Follower) Watch(w func(*config.Snapshot)) { f.watchers = append(f.watchers, w) }

// SetPeerClient makes the follower read from other nodes if necessary.
func (f *Follower) SetPeerClient(p *PeerClient) { f.peerClient = p }

// OnStalledWatch registers w, which is called when a watch of the source has failed or has
// timed out, or when another node has had a newer version for staleThreshold although the
// source seems to answer: other connections to the source may be broken without a sign of
// it. w must not block.
func (f *Follower) OnStalledWatch(w func()) { f.stallWatchers = append(f.stallWatchers, w) }

// Resync interrupts a waiting call to the source, so that the configuration is read again. It
// has no effect if no call is waiting. It does not block.
func (f *Follower) Resync() { f.interrupter.Interrupt() }

// ObserveVersion records that the node whose peers listener is at address (ip:port) has
// applied a version. A newer one is fetched from there if the source does not answer or
// does not deliver it within staleThreshold. At most one fetch is in progress; further
// calls are ignored meanwhile. A fetch does not end with Run. It does not block.
func (f *Follower) ObserveVersion(version uint64, address string) {
	if s := f.Current(); s != nil && version <= s.Version || f.peerClient == nil {
		return
	}
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), staleThreshold+fetchTimeout)
		defer cancel()
		if s := f.Current(); s != nil && f.sourceReachable.Load() {
			pause.For(ctx, staleThreshold)
			if f.Current().Version >= version {
				return
			}
			f.log.Info("store_silent", "what", "configuration", "version", f.Current().Version, "heard", version)
			f.interrupter.Interrupt() // Run repeats the call on another connection
		}
		raw, err := f.peerClient.configuration(ctx, address)
		if err != nil {
			f.log.Info("configuration_not_fetched", "from", address, "version", version, "error", err.Error())
			return
		}
		if f.Apply(raw, address) {
			f.tellPeers()
		}
	}()
}

// Run reads and watches the source until ctx ends. It must be called once.
func (f *Follower) Run(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	asking.Go(func() { f.askPeers(ctx) })
	var position store.Position
	synced := false
	for ctx.Err() == nil {
		raw, next, err := f.readOrWatch(ctx, position, synced)
		switch {
		case err != nil && f.source.IsCompacted(err):
			synced = false
			continue
		case err != nil:
			f.setReachable(false, err)
			f.CheckForUpdate()
			if synced {
				synced = false // a read, unlike a watch, shows at once whether the source is back
				f.notifyStalled()
				continue
			}
			pause.For(ctx, maxFollowerPause/2+rand.N(maxFollowerPause/2))
			continue
		}
		f.setReachable(true, nil)
		position = next
		if f.Current() == nil && position.Era.IsLater() {
			f.learnFromPeers(ctx) // the store may have lost a newer version
		}
		late := !synced && f.Current() != nil
		synced = true
		if raw != nil && f.Apply(raw, "store") && late {
			f.tellPeers()
		}
	}
}

// readOrWatch waits for a change after a position, or reads the newest configuration if
// synced is false.
func (f *Follower) readOrWatch(ctx context.Context, after store.Position, synced bool) ([]byte, store.Position, error) {
	ctx, done := f.interrupter.Context(ctx)
	defer done()
	if !synced {
		return f.source.Read(ctx)
	}
	return f.source.Watch(ctx, after, f.watchTimeout())
}

// watchTimeout returns how long one watch call waits for a change.
func (f *Follower) watchTimeout() time.Duration {
	others := 0
	if f.peerClient != nil {
		others = f.peerClient.CountPeers()
	}
	return min(max(watchTimePerNode*time.Duration(others+1), minWatchTimeout), maxWatchTimeout)
}

// askPeers asks other nodes for their version until ctx ends, one after the other. It does
// not depend on requests between nodes, which also carry versions.
func (f *Follower) askPeers(ctx context.Context) {
	for pause.For(ctx, askInterval) {
		f.CheckForUpdate()
	}
}

func (f *Follower) notifyStalled() {
	for _, w := range f.stallWatchers {
		w()
	}
}

// Apply makes an encoded configuration the active one if its version is higher, and
// calls the watchers. It reports whether it did. from is the origin, for the log. A
// configuration that cannot be decoded is logged and ignored.
func (f *Follower) Apply(raw []byte, from string) bool {
	s, err := f.source.Decode(raw)
	if err != nil {
		f.log.Error(err, "configuration_unreadable", "from", from, "bytes", len(raw))
		return false
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	before := uint64(0)
	if old := f.current.Load(); old != nil {
		before = old.snapshot.Version
	}
	if s.Version <= before {
		return false
	}
	f.current.Store(&appliedConfiguration{snapshot: s, raw: raw})
	f.log.Info("configuration_applied", "version", s.Version, "before", before, "from", from, "bytes", len(raw))
	for _, w := range f.watchers {
		w(s)
	}
	return true
}

// setReachable records whether the source answered, and logs each change.
func (f *Follower) setReachable(up bool, err error) {
	if f.sourceReachable.Swap(up) == up {
		return
	}
	if up {
		f.log.Info("store_regained", "what", "configuration")
		return
	}
	f.log.Info("store_lost", "what", "configuration", "error", err.Error())
}
