package keys

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/membership"
	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	beatPrefix = membership.HeartbeatPrefix
	kindState  = "KeysState"

	// Gateways read changed key rows this often.
	pollInterval = time.Second
	// The cut-off rule is evaluated this often, and after each contact.
	evaluateInterval = 500 * time.Millisecond
	stateLimit       = time.Second
	// A gap of this length between two evaluations counts as a pause of the
	// process. Beats do not count as contact for a while after it.
	pauseNoticed     = 2 * time.Second
	resumeQuarantine = time.Second
	syncLimit        = 10 * time.Second
)

// contact remembers when news could last have arrived, by this node's clock.
type contact struct {
	mu       sync.Mutex
	loaded   bool                 // all keys known at the start have been read
	platform time.Time            // last read of the key rows in this data centre
	read     time.Time            // last read by this node
	beats    map[string]time.Time // last beat, by data centre
	tick     time.Time            // last evaluation
	resumed  time.Time            // when the process last noticed that it had been paused
}

// notePause notes at each step whether the process was paused since the last
// one. The caller holds c.mu.
func (c *contact) notePause(now time.Time) {
	if now.Sub(c.tick) >= pauseNoticed {
		c.resumed = now
	}
	c.tick = now
}

// staleBeat reports whether a beat that arrives now may have waited in a
// buffer while the process was paused. The caller holds c.mu.
func (c *contact) staleBeat(now time.Time) bool {
	c.notePause(now)
	return !c.resumed.IsZero() && now.Sub(c.resumed) < resumeQuarantine
}

// PlatformContact returns when this node last read the key rows; zero if never.
func (s *Store) PlatformContact() time.Time {
	s.contact.mu.Lock()
	defer s.contact.mu.Unlock()
	return s.contact.read
}

// DataCentreContact returns when a gateway of this data centre last read the
// key rows, as far as this node knows; zero if never.
func (s *Store) DataCentreContact() time.Time {
	s.contact.mu.Lock()
	defer s.contact.mu.Unlock()
	return s.contact.platform
}

// freshUntil returns until when keys may be accepted: limit after the last
// contact with the platform or with a majority of all data centres, the own
// one included, whichever is later. Without a known list of data centres only
// the platform counts.
func freshUntil(p Policy, own string, platform time.Time, beats map[string]time.Time) time.Time {
	latest := platform
	needed := len(p.DataCentres)/2 + 1
	if slices.Contains(p.DataCentres, own) {
		needed--
	}
	if contactAt, ok := nthLatest(p.DataCentres, own, beats, needed); ok && contactAt.After(latest) {
		latest = contactAt
	}
	if latest.IsZero() {
		return time.Time{}
	}
	return latest.Add(p.CutOffLimit)
}

// nthLatest returns the n-th latest beat of the data centres other than own.
func nthLatest(dcs []string, own string, beats map[string]time.Time, n int) (time.Time, bool) {
	if n <= 0 {
		return time.Time{}, false // evaluate covers a single data centre
	}
	latest := make([]time.Time, 0, len(dcs))
	for _, dc := range dcs {
		at, ok := beats[dc]
		if dc == own || !ok {
			continue
		}
		i := len(latest)
		for i > 0 && at.After(latest[i-1]) {
			i--
		}
		latest = append(latest, time.Time{})
		copy(latest[i+1:], latest[i:])
		latest[i] = at
	}
	if len(latest) < n {
		return time.Time{}, false
	}
	return latest[n-1], true
}

// evaluate applies the cut-off rule.
func (s *Store) evaluate() {
	p, own, now := s.cfg.Policy(), s.cfg.Mesh.Identity().DataCentre, s.cfg.Now()
	s.contact.mu.Lock()
	defer s.contact.mu.Unlock()
	stale := s.contact.staleBeat(now)
	if !s.contact.loaded {
		return
	}
	until := freshUntil(p, own, s.contact.platform, s.contact.beats)
	if s.alone(p, own) && !stale {
		until = now.Add(p.CutOffLimit)
	}
	if until.IsZero() {
		s.freshUntil.Store(0)
		return
	}
	s.freshUntil.Store(int64(until.Sub(s.start)))
}

// alone reports whether the own data centre is the only one, and hence a
// majority, and this node is in contact with another node of it.
func (s *Store) alone(p Policy, own string) bool {
	return len(p.DataCentres) == 1 && p.DataCentres[0] == own && len(s.cfg.Peers.Local()) > 0
}

// beatChanged notes contact with a data centre. A beat of the own data centre
// tells when one of its gateways last read the key rows.
func (s *Store) beatChanged(key string) {
	dc := strings.TrimPrefix(key, beatPrefix)
	now := s.cfg.Now()
	own := s.cfg.Mesh.Identity().DataCentre
	s.contact.mu.Lock()
	if s.contact.staleBeat(now) {
		// The next beat counts.
	} else if dc != own {
		s.contact.beats[dc] = now
	} else if at, ok := s.beatPlatform(key, now); ok && at.After(s.contact.platform) {
		s.contact.platform = at
	}
	s.contact.mu.Unlock()
	s.evaluate()
}

func (s *Store) beatPlatform(key string, now time.Time) (time.Time, bool) {
	r, ok := s.cfg.Store.Get(key)
	var b membership.Heartbeat
	if !ok || peer.Unmarshal(r.Value, &b) != nil || b.PlatformAgeMS < 0 {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(b.PlatformAgeMS) * time.Millisecond), true
}

// Run loads the keys and follows them until ctx ends.
func (s *Store) Run(ctx context.Context) {
	go s.writeLoop(ctx)
	go s.evaluateLoop(ctx)
	s.load(ctx)
	for pause.For(ctx, pollInterval) {
		if s.cfg.Peers.IsGateway() {
			_ = s.poll(ctx) // an outage ends by itself; the next poll tells
		}
	}
}

func (s *Store) evaluateLoop(ctx context.Context) {
	for pause.For(ctx, evaluateInterval) {
		s.evaluate()
	}
}

// load reads all keys from the platform or, in an outage, from a peer that has
// loaded them. Until then no key is accepted, because a withdrawal could be
// missing.
func (s *Store) load(ctx context.Context) {
	for {
		if s.poll(ctx) == nil || s.loadFromPeer(ctx) {
			s.contact.mu.Lock()
			s.contact.loaded = true
			s.contact.mu.Unlock()
			s.evaluate()
			return
		}
		if !pause.For(ctx, evaluateInterval+rand.N(evaluateInterval)) {
			return
		}
	}
}

type stateMessage struct {
	Loaded bool `cbor:"1,keyasint"`
}

func (s *Store) handleState(context.Context, peer.Identity, []byte) (any, error) {
	s.contact.mu.Lock()
	defer s.contact.mu.Unlock()
	return stateMessage{s.contact.loaded}, nil
}

// loadFromPeer exchanges all records with a peer that has loaded its keys.
func (s *Store) loadFromPeer(ctx context.Context) bool {
	nodes := append([]string(nil), s.cfg.Peers.Local()...)
	for _, gateways := range s.cfg.Peers.Remote() {
		nodes = append(nodes, gateways...)
	}
	for _, i := range rand.Perm(len(nodes)) {
		if s.loadFrom(ctx, nodes[i]) {
			return true
		}
	}
	return false
}

func (s *Store) loadFrom(ctx context.Context, node string) bool {
	stateCtx, cancel := context.WithTimeout(ctx, stateLimit)
	defer cancel()
	var state stateMessage
	if s.cfg.Mesh.Call(stateCtx, node, kindState, stateMessage{}, &state) != nil || !state.Loaded {
		return false
	}
	syncCtx, cancel := context.WithTimeout(ctx, syncLimit)
	defer cancel()
	return s.cfg.Store.Sync(syncCtx, node) == nil
}

// poll reads the key rows that changed since the last poll. The time of
// contact is that of the start of the read.
func (s *Store) poll(ctx context.Context) error {
	s.pollMu.Lock()
	defer s.pollMu.Unlock()
	start := s.cfg.Now()
	rows, err := s.cfg.Table.List(ctx, RowPrefix, s.revision)
	if err != nil {
		return Class.Wrap(err)
	}
	for _, row := range rows {
		s.takeRow(strings.TrimPrefix(row.Key, RowPrefix), row.Value)
		s.revision = max(s.revision, row.Revision)
	}
	s.contact.mu.Lock()
	s.contact.read, s.contact.platform = start, start
	s.contact.mu.Unlock()
	s.evaluate()
	s.queueUnwritten()
	return nil
}

// takeRow spreads a row's state as a record.
func (s *Store) takeRow(id string, encoded []byte) {
	var v value
	if !ValidID(id) || peer.Unmarshal(encoded, &v) != nil {
		return
	}
	if v.State != Granted && v.State != Withdrawn {
		return
	}
	s.inTable[id] = v.State
	s.cfg.Store.SetShared(RowPrefix+id, uint64(v.State), v.encode())
}

// queueUnwritten queues the withdrawals that the table does not show, such as
// those taken during an outage by a node that has ended since. The caller
// holds s.pollMu.
func (s *Store) queueUnwritten() {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		for id, g := range sh.keys {
			if g.state == Withdrawn && s.inTable[id] != Withdrawn {
				s.pending.add(id)
			}
		}
		sh.mu.RUnlock()
	}
}
