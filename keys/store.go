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

// Table is the part of the platform client that this package uses.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	List(ctx context.Context, prefix string, after uint64) ([]store.Row, error)
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
}

// Mesh is the part of peer.Mesh that this package uses.
type Mesh interface {
	Identity() peer.Identity
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, node, kind string, req, resp any) error
}

// Peers names the nodes to which withdrawals are sent.
type Peers interface {
	Local() []string
	Remote() map[string][]string
	IsGateway() bool
	DataCentres() []string
}

// Policy is the operators' cut-off rule.
type Policy struct {
	CutOffLimit time.Duration
	DataCentres []string // all data centres of the fleet
}

// PolicyOf returns the policy in a snapshot; the strictest one if it is nil.
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
	Policy func() Policy    // called a few times a second
	Now    func() time.Time // default time.Now; must count pauses of the process
}

// grant is a key as the lookup sees it. It is immutable.
type grant struct {
	workspace string
	digest    [DigestSize]byte
	state     State
}

const shardCount = 32

type shard struct {
	mu   sync.RWMutex
	keys map[string]*grant
}

// Store holds the digests of all keys on one node. It is safe for concurrent
// use.
type Store struct {
	cfg     Config
	shards  [shardCount]shard
	contact contact
	pending pending

	start      time.Time
	freshUntil atomic.Int64 // nanoseconds after start until which keys are accepted; monotonic

	pollMu   sync.Mutex
	revision uint64           // last revision of the table that was read
	inTable  map[string]State // state of each row that was read
}

// New returns a store that accepts no key until it has had contact by the
// cut-off rule.
func New(cfg Config) *Store {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Store{cfg: cfg, start: cfg.Now(), inTable: map[string]State{}}
	s.contact.beats, s.contact.tick = map[string]time.Time{}, s.start
	s.pending.ids = map[string]struct{}{}
	for i := range s.shards {
		s.shards[i].keys = map[string]*grant{}
	}
	cfg.Store.Watch(RowPrefix, s.recordChanged)
	cfg.Store.Watch(beatPrefix, s.beatChanged)
	cfg.Mesh.Handle(kindWithdraw, s.handleWithdraw)
	cfg.Mesh.Handle(kindState, s.handleState)
	for _, r := range cfg.Store.Prefix(RowPrefix) {
		s.recordChanged(r.Key)
	}
	return s
}

func (s *Store) shard(id string) *shard {
	h := uint32(2166136261)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return &s.shards[h%shardCount]
}

func (s *Store) find(id string) *grant {
	sh := s.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.keys[id]
}

var (
	refuseNoKey      = refusal.New(refusal.NoKey, "the request has no key")
	refuseUnknown    = refusal.New(refusal.UnknownKey, "the key is not known")
	refuseWithdrawn  = refusal.New(refusal.WithdrawnKey, "the key was withdrawn")
	refuseUnverified = refusal.New(refusal.KeysUnverified,
		"this data centre is cut off; keys cannot be verified").WithRetryAfter(time.Second)
	unknownGrant grant
)

// Lookup returns the workspace of a key. The error is a *refusal.Refusal with
// reason no_key, unknown_key, withdrawn_key or keys_unverified. It does not
// say whether an ID exists unless the whole key is right.
func (s *Store) Lookup(key string) (workspace string, err error) {
	if key == "" {
		return "", refuseNoKey
	}
	id, ok := split(key)
	if !ok {
		return "", refuseUnknown
	}
	g := s.find(id)
	if g == nil {
		g = &unknownGrant
	}
	digest := Digest(key)
	right := equalDigest(&digest, &g.digest)
	switch {
	case right && g.state == Withdrawn:
		return "", refuseWithdrawn
	case !s.Verified():
		return "", refuseUnverified
	case !right || g.state != Granted:
		return "", refuseUnknown
	}
	return g.workspace, nil
}

// recordChanged takes over a changed record key/<id>.
func (s *Store) recordChanged(key string) {
	r, ok := s.cfg.Store.Get(key)
	var v value
	if !ok || peer.Unmarshal(r.Value, &v) != nil {
		return
	}
	s.put(strings.TrimPrefix(key, RowPrefix), v)
}

// put stores a key's state if it is higher than the known one. A withdrawal
// without a digest keeps the known digest.
func (s *Store) put(id string, v value) {
	g := &grant{workspace: v.Workspace, state: v.State}
	copy(g.digest[:], v.Digest)
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.keys[id]
	if old != nil && old.state >= g.state {
		return
	}
	if old != nil && len(v.Digest) == 0 {
		g.workspace, g.digest = old.workspace, old.digest
	}
	sh.keys[id] = g
}

// Info describes a key to operators, without its secret.
type Info struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	State     string `json:"state"`
}
