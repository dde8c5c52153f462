package keys

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/store"
)

// Table is the subset of the platform client that this package uses.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	List(ctx context.Context, prefix string, after uint64) ([]store.Row, error)
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
	Era() store.Era
}

// Mesh is the subset of peer.Mesh that this package uses.
type Mesh interface {
	Identity() peer.Identity
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, node, kind string, req, resp any) error
}

// Peers provides the nodes to which withdrawals are sent.
type Peers interface {
	Local() []string
	Remote() map[string][]string
	IsGateway() bool
	DataCentres() []string
}

// Policy is the cut-off rule: a node refuses all keys if, for CutOffLimit, it had
// contact with neither the platform nor a majority of the data centres.
type Policy struct {
	CutOffLimit time.Duration
	DataCentres []string // all data centres of the fleet
}

// PolicyOf returns the policy in a snapshot, or the default limit without any data
// centres if s is nil. Then only contact with the platform counts.
func PolicyOf(s *config.Snapshot) Policy {
	if s == nil {
		return Policy{CutOffLimit: config.DefaultCutOffLimit}
	}
	p := Policy{CutOffLimit: s.Document.Fleet.Keys.CutOffLimit}
	for _, dc := range s.Document.Fleet.DataCentres {
		p.DataCentres = append(p.DataCentres, dc.Name)
	}
	return p
}

// Config holds the settings of a Store.
type Config struct {
	Table  Table
	Mesh   Mesh
	Store  *gossip.Store
	Peers  Peers
	Policy func() Policy    // called several times a second and concurrently; must be safe for concurrent use
	Now    func() time.Time // default time.Now; must advance while the process is paused
}

// entry is a key in the lookup table. It is immutable.
type entry struct {
	workspace string
	digest    [DigestSize]byte
	state     State
}

const shardCount = 32

type shard struct {
	mu   sync.RWMutex
	keys map[string]*entry
}

// Store holds the digests of all keys on one node. It is safe for concurrent
// use.
type Store struct {
	cfg     Config
	shards  [shardCount]shard
	contact contact
	pending pendingWrites

	start         time.Time
	verifiedUntil atomic.Int64 // end of the period in which keys are accepted, in nanoseconds since start

	pollMu      sync.Mutex
	revision    uint64           // highest table revision that was read
	era         store.Era        // of the table, in which revision was read
	tableStates map[string]State // last state read from the row of each key
}

// New returns a store that refuses all keys until Run has loaded them and the
// cut-off rule is met.
func New(cfg Config) *Store {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Store{cfg: cfg, start: cfg.Now(), tableStates: map[string]State{}}
	s.contact.heartbeats, s.contact.evaluatedAt = map[string]time.Time{}, s.start
	s.pending.ids = map[string]struct{}{}
	for i := range s.shards {
		s.shards[i].keys = map[string]*entry{}
	}
	cfg.Store.Watch(RowPrefix, s.recordChanged)
	cfg.Store.Watch(heartbeatPrefix, s.heartbeatChanged)
	cfg.Mesh.Handle(kindWithdraw, s.handleWithdraw)
	cfg.Mesh.Handle(kindState, s.handleState)
	for _, r := range cfg.Store.Prefix(RowPrefix) {
		s.recordChanged(r.Key)
	}
	return s
}

// shard selects the shard of an ID by its FNV-1a hash.
func (s *Store) shard(id string) *shard {
	h := uint32(2166136261)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return &s.shards[h%shardCount]
}

func (s *Store) find(id string) *entry {
	sh := s.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.keys[id]
}

var (
	errNoKey          = refusal.New(refusal.NoKey, "the request has no key")
	errUnknownKey     = refusal.New(refusal.UnknownKey, "the key is not known")
	errWithdrawnKey   = refusal.New(refusal.WithdrawnKey, "the key was withdrawn")
	errKeysUnverified = refusal.New(refusal.KeysUnverified,
		"this data centre is cut off; keys cannot be verified").WithRetryAfter(time.Second)
	unknownEntry entry
)

// Lookup returns the workspace of a key. The error is a *refusal.Refusal with
// reason no_key, unknown_key, withdrawn_key or keys_unverified. It does not
// reveal whether an ID exists unless the whole key matches.
func (s *Store) Lookup(key string) (workspace string, err error) {
	if key == "" {
		return "", errNoKey
	}
	id, ok := split(key)
	if !ok {
		return "", errUnknownKey
	}
	e := s.find(id)
	if e == nil {
		e = &unknownEntry
	}
	digest := Digest(key)
	matches := equalDigest(&digest, &e.digest)
	switch {
	case matches && e.state == Withdrawn:
		return "", errWithdrawnKey
	case !s.Verified():
		return "", errKeysUnverified
	case !matches || e.state != Granted:
		return "", errUnknownKey
	}
	return e.workspace, nil
}

// recordChanged stores the state in the changed gossip record key/<id>.
func (s *Store) recordChanged(key string) {
	r, ok := s.cfg.Store.Get(key)
	var v value
	if !ok || peer.Unmarshal(r.Value, &v) != nil {
		return
	}
	s.put(strings.TrimPrefix(key, RowPrefix), v)
}

// put stores the state of a key if it is higher than the known one. A withdrawal
// without a digest keeps the known workspace and digest.
func (s *Store) put(id string, v value) {
	e := &entry{workspace: v.Workspace, state: v.State}
	copy(e.digest[:], v.Digest)
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.keys[id]
	if old != nil && old.state >= e.state {
		return
	}
	if old != nil && len(v.Digest) == 0 {
		e.workspace, e.digest = old.workspace, old.digest
	}
	sh.keys[id] = e
}

// Info describes a key to operators, without its secret.
type Info struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	State     string `json:"state"`
}
