package gossip

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	bucketCount = 32 // digests list one hash per bucket and scope
	// Limits that bound the memory that peers can make a store use.
	maxRecords    = 1 << 17
	maxValueBytes = 512 << 10
	maxKeyBytes   = 256
	// A dropped record cannot return with an old version for this long. It covers
	// regions that are partitioned for an hour.
	tombstoneTTL  = 2 * time.Hour
	maxTombstones = 1 << 12 // per bucket
)

// scope is how far a record is replicated.
type scope uint8

const (
	scopeLocal  scope = iota // within the data centre
	scopeGlobal              // to all data centres
	scopeCount
)

// Config holds the settings of a Store.
type Config struct {
	Transport Transport
	Metrics   metrics.Registry // default: a new registry
	Now       func() time.Time // default time.Now
	// LocalPrefixes are the prefixes of keys that are not replicated to other
	// data centres; default "node/".
	LocalPrefixes []string
	// VolatilePrefixes are the prefixes of keys that change so often that digests
	// omit them and their pushes are delayed to be batched; default "beat/".
	VolatilePrefixes []string
	Fanout           int           // peers that receive a push; default 3
	Interval         time.Duration // between two comparisons of digests; default 500 ms
}

func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.LocalPrefixes == nil {
		c.LocalPrefixes = []string{"node/"}
	}
	if c.VolatilePrefixes == nil {
		c.VolatilePrefixes = []string{"beat/"}
	}
	if c.Fanout == 0 {
		c.Fanout = 3
	}
	if c.Interval == 0 {
		c.Interval = 500 * time.Millisecond
	}
	return c
}

// entry is a stored record. It is immutable.
type entry struct {
	Record
	hash uint64
	from peer.Identity // peer that sent it; zero for records set by this node
}

// tombstone holds the version of a dropped record, so that older versions are
// rejected.
type tombstone struct {
	version  uint64
	expires  int64     // of the dropped record, unix seconds
	forgetAt time.Time // when the tombstone itself is removed
}

// bucket is one shard of the store. mu guards its other fields.
type bucket struct {
	mu         sync.RWMutex
	entries    map[string]*entry
	tombstones map[string]tombstone
	hashes     [scopeCount]uint64 // XOR of the hashes of the records in digests
}

type watcher struct {
	prefix string
	f      func(key string)
}

// Store holds the records of one node. It is safe for concurrent use.
type Store struct {
	cfg      Config
	self     peer.Identity
	buckets  [bucketCount]bucket
	count    atomic.Int64
	pusher   pusher
	fetches  fetchTracker
	rejected metrics.Counter

	mu       sync.RWMutex
	watchers []watcher
	topology Topology
}

// New returns an empty store and registers its handlers on the transport.
func New(cfg Config) *Store {
	cfg = cfg.withDefaults()
	s := &Store{
		cfg: cfg, self: cfg.Transport.Identity(),
		pusher:   newPusher(),
		fetches:  fetchTracker{started: map[string]fetch{}},
		rejected: metrics.GetOrRegisterCounter("gossip_records_refused", cfg.Metrics),
		topology: noTopology{},
	}
	for i := range s.buckets {
		s.buckets[i].entries = map[string]*entry{}
		s.buckets[i].tombstones = map[string]tombstone{}
	}
	s.register()
	return s
}

// SetTopology sets which peers the store exchanges records with.
func (s *Store) SetTopology(t Topology) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topology = t
}

// Set stores a version of a record that this node wrote and replicates it. It
// reports false, and changes nothing, if the store already has the same or a
// newer version, or if a limit is exceeded (256 bytes of key, 512 KiB of value,
// 131072 records). value must not be modified afterwards.
func (s *Store) Set(key string, version uint64, value []byte) bool {
	return s.merge(&Record{Key: key, Version: version, Origin: s.self.Node, Value: value}, peer.Identity{})
}

// SetShared is like Set for a record whose value is determined by its key and
// version. The record has no origin, so that the same record set by several
// nodes is replicated only once.
func (s *Store) SetShared(key string, version uint64, value []byte) bool {
	return s.merge(&Record{Key: key, Version: version, Value: value}, peer.Identity{})
}

// SetExpiring is like Set for a record that all stores drop at expires.
func (s *Store) SetExpiring(key string, version uint64, value []byte, expires time.Time) bool {
	r := &Record{Key: key, Version: version, Origin: s.self.Node, Value: value, Expires: expires.Unix()}
	return s.merge(r, peer.Identity{})
}

// Get returns the record with the given key.
func (s *Store) Get(key string) (Record, bool) {
	r, _, ok := s.Source(key)
	return r, ok
}

// Source is like Get and also returns the peer that sent the record; the
// identity is zero for a record set by this node.
func (s *Store) Source(key string) (Record, peer.Identity, bool) {
	b := &s.buckets[bucketOf(key)]
	b.mu.RLock()
	defer b.mu.RUnlock()
	e, ok := b.entries[key]
	if !ok {
		return Record{}, peer.Identity{}, false
	}
	return e.Record, e.from, true
}

// Version returns the highest version of a key that this store has seen,
// including dropped records whose tombstone is still kept; 0 if there is none.
func (s *Store) Version(key string) uint64 {
	b := &s.buckets[bucketOf(key)]
	b.mu.RLock()
	defer b.mu.RUnlock()
	version := b.tombstones[key].version
	if e, ok := b.entries[key]; ok {
		version = max(version, e.Version)
	}
	return version
}

// Prefix returns the records whose keys start with prefix, ordered by key.
func (s *Store) Prefix(prefix string) []Record {
	var out []Record
	for i := range s.buckets {
		b := &s.buckets[i]
		b.mu.RLock()
		for key, e := range b.entries {
			if strings.HasPrefix(key, prefix) {
				out = append(out, e.Record)
			}
		}
		b.mu.RUnlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Watch registers f, which is called after each change of a record whose key
// starts with prefix, including when the record is dropped. Calls may be
// concurrent. f reads the current record with Get and must not wait for other
// nodes.
func (s *Store) Watch(prefix string, f func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, watcher{prefix, f})
}

// Len returns the number of records.
func (s *Store) Len() int { return int(s.count.Load()) }

func (s *Store) scopeOf(key string) scope {
	for _, p := range s.cfg.LocalPrefixes {
		if strings.HasPrefix(key, p) {
			return scopeLocal
		}
	}
	return scopeGlobal
}

func (s *Store) isVolatile(key string) bool {
	for _, p := range s.cfg.VolatilePrefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// merge stores r if it is valid and newer than the known version, queues it for
// replication and notifies watchers. It reports whether the store changed.
func (s *Store) merge(r *Record, from peer.Identity) bool {
	if r.Key == "" || len(r.Key) > maxKeyBytes || len(r.Value) > maxValueBytes {
		s.rejected.Inc(1)
		return false
	}
	if !s.storeIfNewer(r, from) {
		return false
	}
	s.pusher.add(r.Key, !s.isVolatile(r.Key))
	s.notify(r.Key)
	return true
}

// storeIfNewer reports whether r changed the store. An expired r only drops the
// stored record and leaves a tombstone.
func (s *Store) storeIfNewer(r *Record, from peer.Identity) bool {
	b := &s.buckets[bucketOf(r.Key)]
	now := s.cfg.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if ts, ok := b.tombstones[r.Key]; ok && r.Version <= ts.version {
		return false
	}
	old := b.entries[r.Key]
	if old != nil && r.compare(&old.Record) <= 0 {
		return false
	}
	if r.Expired(now) {
		if old != nil {
			s.remove(b, old)
		}
		b.addTombstone(r, now)
		return old != nil
	}
	if old == nil && s.count.Load() >= maxRecords {
		s.rejected.Inc(1)
		return false
	}
	s.put(b, &entry{Record: *r, hash: r.hash(), from: from}, old)
	return true
}

// put replaces old, which may be nil, by e. The caller holds b.mu.
func (s *Store) put(b *bucket, e, old *entry) {
	if old != nil {
		s.remove(b, old)
	}
	b.entries[e.Key] = e
	delete(b.tombstones, e.Key)
	s.count.Add(1)
	if !s.isVolatile(e.Key) {
		b.hashes[s.scopeOf(e.Key)] ^= e.hash
	}
}

// remove deletes e from b. The caller holds b.mu.
func (s *Store) remove(b *bucket, e *entry) {
	delete(b.entries, e.Key)
	s.count.Add(-1)
	if !s.isVolatile(e.Key) {
		b.hashes[s.scopeOf(e.Key)] ^= e.hash
	}
}

// addTombstone records that r was dropped. If there are too many tombstones it
// removes an arbitrary one. The caller holds b.mu.
func (b *bucket) addTombstone(r *Record, now time.Time) {
	if len(b.tombstones) >= maxTombstones {
		for key := range b.tombstones {
			delete(b.tombstones, key)
			break
		}
	}
	b.tombstones[r.Key] = tombstone{r.Version, r.Expires, now.Add(tombstoneTTL)}
}

func (s *Store) notify(key string) {
	s.mu.RLock()
	watchers := s.watchers
	s.mu.RUnlock()
	for _, w := range watchers {
		if strings.HasPrefix(key, w.prefix) {
			w.f(key)
		}
	}
}

// Sweep drops expired records and old tombstones; Run calls it every second.
func (s *Store) Sweep() {
	now := s.cfg.Now()
	var dropped []string
	for i := range s.buckets {
		dropped = append(dropped, s.sweepBucket(&s.buckets[i], now)...)
	}
	for _, key := range dropped {
		s.notify(key)
	}
}

func (s *Store) sweepBucket(b *bucket, now time.Time) (dropped []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, e := range b.entries {
		if e.Expired(now) {
			s.remove(b, e)
			b.addTombstone(&e.Record, now)
			dropped = append(dropped, key)
		}
	}
	for key, ts := range b.tombstones {
		if now.After(ts.forgetAt) {
			delete(b.tombstones, key)
		}
	}
	return dropped
}
