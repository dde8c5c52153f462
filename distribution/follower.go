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
)

const (
	// followWait is how long one call waits for a change of the configuration.
	followWait = 25 * time.Second
	// followBackoff bounds the random pause after a failed call. It is well below
	// the time in which a change has to be in force.
	followBackoff = 500 * time.Millisecond
)

// behindTime is how long a version that another node knows may be missing here
// while the source seems to answer. It is above the usual delay of a change.
const behindTime = time.Second

// Source holds a configuration under rising versions, which others write.
type Source interface {
	// Read returns the newest configuration, encoded, and the revision from which
	// Watch continues; nil if there is none yet.
	Read(ctx context.Context) (raw []byte, revision uint64, err error)
	// Watch returns the newest configuration after a revision, or nil if none
	// came within the time to wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (raw []byte, revision uint64, err error)
	// IsCompacted reports whether the error means that the changes after the revision
	// are not kept any more.
	IsCompacted(err error) bool
	// Decode returns an encoded configuration.
	Decode(raw []byte) (*config.Snapshot, error)
}

// Follower keeps the newest configuration of a Source in force. A version in
// force is never replaced by a lower one. It is safe for concurrent use.
type Follower struct {
	source Source
	log    logr.Logger

	applying sync.Mutex // serialises changes of current
	current  atomic.Pointer[followed]
	watchers []func(*config.Snapshot)
	up       atomic.Bool
	peers    *PeerClient // nil: other nodes are not asked
	asking   atomic.Bool
	doubted  atomic.Int64 // time of the latest question after a doubt, Unix nanoseconds
	waiting  interrupt.Interrupter
	silence  []func()
}

// followed is a configuration with the form in which it is passed on.
type followed struct {
	snapshot *config.Snapshot
	raw      []byte
}

// NewFollower returns a Follower without a configuration.
func NewFollower(source Source, log logr.Logger) *Follower {
	f := &Follower{source: source, log: log}
	f.up.Store(true)
	return f
}

// Current returns the snapshot in force, or nil before the first one.
func (f *Follower) Current() *config.Snapshot {
	if c := f.current.Load(); c != nil {
		return c.snapshot
	}
	return nil
}

// Reachable reports whether the source answered the latest call.
func (f *Follower) Reachable() bool { return f.up.Load() }

// Watch calls w after each change. It must be called before Run.
func (f *Follower) Watch(w func(*config.Snapshot)) { f.watchers = append(f.watchers, w) }

// SetPeerClient lets the follower read from other nodes. It must be called before Run.
func (f *Follower) SetPeerClient(p *PeerClient) { f.peers = p }

// OnStalledWatch calls f when another node has known a newer version for some time
// although the source seems to answer: the connection to it may be silent. It must
// be called before Run.
func (f *Follower) OnStalledWatch(w func()) { f.silence = append(f.silence, w) }

// ObserveVersion tells that the node at address has a version in force. A newer one is taken
// over from there if the source does not answer, or does not bring it soon. It does
// not block.
func (f *Follower) ObserveVersion(version uint64, address string) {
	if s := f.Current(); s != nil && version <= s.Version || f.peers == nil {
		return
	}
	if !f.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.asking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), behindTime+fetchLimit)
		defer cancel()
		if s := f.Current(); s != nil && f.up.Load() {
			pause.For(ctx, behindTime)
			if f.Current().Version >= version {
				return
			}
			f.interrupt(version)
		}
		raw, err := f.peers.configuration(ctx, address)
		if err != nil {
			f.log.Info("configuration_not_fetched", "from", address, "version", version, "error", err.Error())
			return
		}
		f.Apply(raw, address)
	}()
}

// interrupt ends calls that wait for the source, which are then made again on
// another connection.
func (f *Follower) interrupt(version uint64) {
	f.log.Info("store_silent", "what", "configuration", "version", f.Current().Version, "heard", version)
	f.waiting.Interrupt()
	for _, w := range f.silence {
		w()
	}
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var revision uint64
	synced := false
	for ctx.Err() == nil {
		raw, next, err := f.next(ctx, revision, synced)
		switch {
		case err != nil && f.source.IsCompacted(err):
			synced = false
			continue
		case err != nil:
			f.reachable(false, err)
			synced = false // a read tells at once whether the source is back
			pause.For(ctx, followBackoff/2+rand.N(followBackoff/2))
			continue
		}
		f.reachable(true, nil)
		revision = next
		synced = true
		if raw != nil {
			f.Apply(raw, "store")
		}
	}
}

func (f *Follower) next(ctx context.Context, revision uint64, synced bool) ([]byte, uint64, error) {
	ctx, done := f.waiting.Context(ctx)
	defer done()
	if !synced {
		return f.source.Read(ctx)
	}
	return f.source.Watch(ctx, revision, followWait)
}

// Apply puts an encoded configuration into force if its version is above the
// present one. from tells where it came from. An unreadable one is logged and
// left aside.
func (f *Follower) Apply(raw []byte, from string) {
	s, err := f.source.Decode(raw)
	if err != nil {
		f.log.Error(err, "configuration_unreadable", "from", from, "bytes", len(raw))
		return
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	before := uint64(0)
	if old := f.current.Load(); old != nil {
		before = old.snapshot.Version
	}
	if s.Version <= before {
		return
	}
	f.current.Store(&followed{snapshot: s, raw: raw})
	f.log.Info("configuration_applied", "version", s.Version, "before", before, "from", from, "bytes", len(raw))
	for _, w := range f.watchers {
		w(s)
	}
}

// reachable logs when the source is lost and when it is regained.
func (f *Follower) reachable(up bool, err error) {
	if f.up.Swap(up) == up {
		return
	}
	if up {
		f.log.Info("store_regained", "what", "configuration")
		return
	}
	f.log.Info("store_lost", "what", "configuration", "error", err.Error())
}
