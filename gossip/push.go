package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	kindPush   = "GossipPush"
	kindFetch  = "GossipFetch"
	kindDigest = "GossipDigest"
	kindDelta  = "GossipDelta"
)

// Transport carries messages between nodes; *peer.Mesh implements it.
type Transport interface {
	Identity() peer.Identity
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, node, kind string, req, resp any) error
	CallAddress(ctx context.Context, addr, kind string, req, resp any) (peer.Identity, error)
	Send(ctx context.Context, node, kind string, msg any) error
}

// Topology lists the peers of a node. Its methods are called often and must
// return quickly; callers must not modify the results. Implementations are safe
// for concurrent use.
type Topology interface {
	// Local returns the other live nodes of this data centre.
	Local() []string
	// Remote returns the gateways of each other data centre, by data centre.
	Remote() map[string][]string
	// IsGateway reports whether this node exchanges records with Remote.
	IsGateway() bool
}

type noTopology struct{}

func (noTopology) Local() []string             { return nil }
func (noTopology) Remote() map[string][]string { return nil }
func (noTopology) IsGateway() bool             { return false }

func (s *Store) currentTopology() Topology {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.topology
}

const (
	// Changes within this time are batched into one message.
	pushDelay = 5 * time.Millisecond
	// Changes of volatile records wait up to this long for others to batch with.
	volatilePushDelay = 250 * time.Millisecond
	// Larger values are announced by version. Peers that lack them fetch them
	// once, instead of receiving a copy from each of several peers.
	maxInlineBytes = 512
	// Limit of the bytes of records in one message, without tombstones. A message
	// may exceed it by one record.
	maxBatchBytes = 256 << 10
	// Timeout of one exchange with a peer.
	exchangeTimeout = 2 * time.Second
	// After this time, another announcement of the same record may start a second
	// fetch.
	refetchAfter = 300 * time.Millisecond
)

// recordVersion identifies one version of a record.
type recordVersion struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Hash    uint64
}

type pushMessage struct {
	Records   []Record        `cbor:"1,keyasint,omitempty"`
	Announced []recordVersion `cbor:"2,keyasint,omitempty"` // large records, to be fetched from the sender
}

// pusher collects the keys of changed records until the next push. It is safe
// for concurrent use.
type pusher struct {
	mu      sync.Mutex
	keys    map[string]struct{}
	urgent  chan struct{} // signalled after a change that is pushed after pushDelay
	pending chan struct{} // signalled after a change that may wait for volatilePushDelay
}

func newPusher() pusher {
	return pusher{keys: map[string]struct{}{}, urgent: make(chan struct{}, 1), pending: make(chan struct{}, 1)}
}

func (p *pusher) add(key string, urgent bool) {
	p.mu.Lock()
	p.keys[key] = struct{}{}
	p.mu.Unlock()
	ch := p.pending
	if urgent {
		ch = p.urgent
	}
	select {
	case ch <- struct{}{}:
	default: // already signalled
	}
}

func (p *pusher) takeKeys() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := make([]string, 0, len(p.keys))
	for k := range p.keys {
		keys = append(keys, k)
	}
	clear(p.keys)
	return keys
}

// pushLoop pushes changed records until ctx ends.
func (s *Store) pushLoop(ctx context.Context) {
	for {
		delay := pushDelay
		select {
		case <-ctx.Done():
			return
		case <-s.pusher.urgent:
		case <-s.pusher.pending:
			delay = volatilePushDelay
		}
		s.collectChanges(ctx, delay)
		s.pushNow(ctx)
	}
}

// collectChanges waits up to delay for more changes. An urgent change shortens
// the wait to pushDelay.
func (s *Store) collectChanges(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.pusher.urgent:
		time.Sleep(pushDelay)
	}
}

// push holds the records to send to one peer.
type push struct {
	peer    peer.Identity // only Node and DataCentre are set
	entries []*entry
}

// pushNow starts to send all pending changes to the peers that planPushes
// chooses.
func (s *Store) pushNow(ctx context.Context) {
	var local, global []*entry
	for _, key := range s.pusher.takeKeys() {
		e := s.entry(key)
		if e == nil {
			continue
		}
		local = append(local, e)
		if s.scopeOf(key) == scopeGlobal {
			global = append(global, e)
		}
	}
	if len(local) == 0 {
		return
	}
	for _, p := range s.planPushes(local, global) {
		go s.sendEntries(ctx, p)
	}
}

func (s *Store) entry(key string) *entry {
	b := &s.buckets[bucketOf(key)]
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.entries[key] // the caller needs no lock, because entries are immutable
}

// planPushes chooses the receivers: a few peers of this data centre and, if this
// node is a gateway, one gateway of each other data centre. Records from another
// data centre are relayed to only one more data centre, so that they also reach a
// data centre that is cut off from their origin.
func (s *Store) planPushes(local, global []*entry) []push {
	topo := s.currentTopology()
	var out []push
	for _, node := range sample(topo.Local(), s.cfg.Fanout) {
		out = append(out, withoutSource(peer.Identity{Node: node, DataCentre: s.self.DataCentre}, local))
	}
	if !topo.IsGateway() || len(global) == 0 {
		return out
	}
	var own, relayed []*entry
	for _, e := range global {
		if e.from.DataCentre == "" || e.from.DataCentre == s.self.DataCentre {
			own = append(own, e)
		} else {
			relayed = append(relayed, e)
		}
	}
	relayLeft := 1
	for dc, gateways := range topo.Remote() { // random order
		target := sample(gateways, 1)
		if len(target) == 0 {
			continue
		}
		entries := own
		if relayLeft > 0 && !allFromDC(relayed, dc) {
			entries = append(own[:len(own):len(own)], relayed...)
			relayLeft--
		}
		out = append(out, withoutSource(peer.Identity{Node: target[0], DataCentre: dc}, entries))
	}
	return out
}

// allFromDC reports whether all entries were received from data centre dc.
func allFromDC(entries []*entry, dc string) bool {
	for _, e := range entries {
		if e.from.DataCentre != dc {
			return false
		}
	}
	return true
}

// withoutSource returns a push to peer p without the entries that p itself sent
// to this node.
func withoutSource(p peer.Identity, entries []*entry) push {
	out := push{peer: p, entries: make([]*entry, 0, len(entries))}
	for _, e := range entries {
		if e.from.Node != p.Node {
			out.entries = append(out.entries, e)
		}
	}
	return out
}

// sample returns up to n distinct random elements of nodes.
func sample(nodes []string, n int) []string {
	if len(nodes) <= n {
		return nodes
	}
	chosen := make([]string, 0, n)
	for len(chosen) < n {
		c := nodes[rand.IntN(len(nodes))]
		if !contains(chosen, c) {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// sendEntries pushes the entries in messages of bounded size. Send errors are
// ignored because the comparison of digests repairs lost pushes.
func (s *Store) sendEntries(ctx context.Context, p push) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var msg pushMessage
	size := 0
	for _, e := range p.entries {
		if len(e.Value) > maxInlineBytes {
			msg.Announced = append(msg.Announced, recordVersion{Key: e.Key, Version: e.Version, Hash: e.hash})
			size += len(e.Key)
		} else {
			msg.Records = append(msg.Records, e.Record)
			size += len(e.Key) + len(e.Value)
		}
		if size > maxBatchBytes {
			_ = s.cfg.Transport.Send(ctx, p.peer.Node, kindPush, msg)
			msg, size = pushMessage{}, 0
		}
	}
	if size > 0 {
		_ = s.cfg.Transport.Send(ctx, p.peer.Node, kindPush, msg)
	}
}

// fetch is a request in progress for an announced record.
type fetch struct {
	version   uint64
	startedAt time.Time
}

// fetchTracker delays a second fetch of the same record version by refetchAfter.
// It is safe for concurrent use.
type fetchTracker struct {
	mu      sync.Mutex
	started map[string]fetch
}

// claim reports whether the caller should fetch the record now, and registers
// the fetch if so.
func (f *fetchTracker) claim(rv recordVersion, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.started[rv.Key]; ok && c.version >= rv.Version && now.Sub(c.startedAt) < refetchAfter {
		return false
	}
	f.started[rv.Key] = fetch{rv.Version, now}
	return true
}

func (f *fetchTracker) done(keys []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range keys {
		delete(f.started, k)
	}
}
