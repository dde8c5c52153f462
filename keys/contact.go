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
	"github.com/dotterelseam/dotterelseam/store"
)

const (
	heartbeatPrefix = membership.HeartbeatPrefix
	kindState       = "KeysState"

	// pollInterval is the interval at which gateways read changed key rows.
	pollInterval = time.Second
	// evaluateInterval is the interval at which the cut-off rule is evaluated, in
	// addition to the evaluation after each contact.
	evaluateInterval = 500 * time.Millisecond
	stateTimeout     = time.Second
	// A gap of pauseThreshold between two evaluations means that the process was
	// paused. Heartbeats within resumeQuarantine after that do not count as
	// contact, because they may have been buffered during the pause.
	pauseThreshold   = 2 * time.Second
	resumeQuarantine = time.Second
	syncTimeout      = 10 * time.Second
)

// contact holds the times of the last contact with the platform and with other
// data centres, by this node's clock.
type contact struct {
	mu             sync.Mutex
	loaded         bool                 // the initial load of all keys is complete
	dataCentreRead time.Time            // last read of the key rows by any gateway of this data centre
	nodeRead       time.Time            // last read by this node
	heartbeats     map[string]time.Time // arrival of the last heartbeat, by data centre
	evaluatedAt    time.Time            // last evaluation
	resumedAt      time.Time            // when a pause of the process was last detected
}

// detectPause records whether the process was paused since the last evaluation.
// The caller holds c.mu.
func (c *contact) detectPause(now time.Time) {
	if now.Sub(c.evaluatedAt) >= pauseThreshold {
		c.resumedAt = now
	}
	c.evaluatedAt = now
}

// inQuarantine reports whether a heartbeat that arrives now may have been
// buffered while the process was paused. The caller holds c.mu.
func (c *contact) inQuarantine(now time.Time) bool {
	c.detectPause(now)
	return !c.resumedAt.IsZero() && now.Sub(c.resumedAt) < resumeQuarantine
}

// PlatformContact returns when this node last read the key rows, or the zero
// time if it never did.
func (s *Store) PlatformContact() time.Time {
	s.contact.mu.Lock()
	defer s.contact.mu.Unlock()
	return s.contact.nodeRead
}

// DataCentreContact returns when a gateway of this data centre last read the
// key rows, as far as this node knows, or the zero time if none did.
func (s *Store) DataCentreContact() time.Time {
	s.contact.mu.Lock()
	defer s.contact.mu.Unlock()
	return s.contact.dataCentreRead
}

// verifiedUntil returns until when keys may be accepted: p.CutOffLimit after the
// last contact with the platform or with a majority of all data centres,
// including the own one, whichever is later. Without a list of data centres only
// the platform counts.
func verifiedUntil(p Policy, own string, platform time.Time, heartbeats map[string]time.Time) time.Time {
	latest := platform
	needed := len(p.DataCentres)/2 + 1
	if slices.Contains(p.DataCentres, own) {
		needed--
	}
	if contactAt, ok := nthLatest(p.DataCentres, own, heartbeats, needed); ok && contactAt.After(latest) {
		latest = contactAt
	}
	if latest.IsZero() {
		return time.Time{}
	}
	return latest.Add(p.CutOffLimit)
}

// nthLatest returns the time of the n-th latest heartbeat among the data centres
// other than own. It returns false if n is not positive or if fewer than n other data
// centres have sent a heartbeat.
func nthLatest(dcs []string, own string, heartbeats map[string]time.Time, n int) (time.Time, bool) {
	if n <= 0 {
		return time.Time{}, false // n is 0 in a fleet of one data centre, which evaluate handles
	}
	latest := make([]time.Time, 0, len(dcs))
	for _, dc := range dcs {
		at, ok := heartbeats[dc]
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

// evaluate applies the cut-off rule: it updates the time until which keys are
// accepted.
func (s *Store) evaluate() {
	p, own, now := s.cfg.Policy(), s.cfg.Mesh.Identity().DataCentre, s.cfg.Now()
	s.contact.mu.Lock()
	defer s.contact.mu.Unlock()
	stale := s.contact.inQuarantine(now)
	if !s.contact.loaded {
		return
	}
	until := verifiedUntil(p, own, s.contact.dataCentreRead, s.contact.heartbeats)
	if s.connectedSingleDataCentre(p, own) && !stale {
		until = now.Add(p.CutOffLimit)
	}
	if until.IsZero() {
		s.verifiedUntil.Store(0)
		return
	}
	s.verifiedUntil.Store(int64(until.Sub(s.start)))
}

// connectedSingleDataCentre reports whether the own data centre is the only one,
// and hence a majority, and this node is in contact with another node of it.
func (s *Store) connectedSingleDataCentre(p Policy, own string) bool {
	return len(p.DataCentres) == 1 && p.DataCentres[0] == own && len(s.cfg.Peers.Local()) > 0
}

// heartbeatChanged records contact with the data centre of a heartbeat record.
// A heartbeat of the own data centre carries the time at which one of its
// gateways last read the key rows.
func (s *Store) heartbeatChanged(key string) {
	dc := strings.TrimPrefix(key, heartbeatPrefix)
	now := s.cfg.Now()
	own := s.cfg.Mesh.Identity().DataCentre
	s.contact.mu.Lock()
	if s.contact.inQuarantine(now) {
		// Ignored; the next heartbeat counts.
	} else if dc != own {
		s.contact.heartbeats[dc] = now
	} else if at, ok := s.platformReadTime(key, now); ok && at.After(s.contact.dataCentreRead) {
		s.contact.dataCentreRead = at
	}
	s.contact.mu.Unlock()
	s.evaluate()
}

// platformReadTime returns when a gateway last read the key rows according to
// the heartbeat record at key.
func (s *Store) platformReadTime(key string, now time.Time) (time.Time, bool) {
	r, ok := s.cfg.Store.Get(key)
	var b membership.Heartbeat
	if !ok || peer.Unmarshal(r.Value, &b) != nil || b.PlatformAgeMS < 0 {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(b.PlatformAgeMS) * time.Millisecond), true
}

// Run loads the keys, applies changes of them and makes the pending table writes
// until ctx ends. It may be called only once. Its background goroutines may still run
// for a short time after it has returned.
func (s *Store) Run(ctx context.Context) {
	go s.writeLoop(ctx)
	go s.evaluateLoop(ctx)
	s.load(ctx)
	for pause.For(ctx, pollInterval) {
		if s.cfg.Peers.IsGateway() {
			_ = s.poll(ctx) // after an error, the next poll tries again
		}
	}
}

func (s *Store) evaluateLoop(ctx context.Context) {
	for pause.For(ctx, evaluateInterval) {
		s.evaluate()
	}
}

// load reads all keys from the platform or, during an outage of the platform,
// from a peer that has loaded them. No key is accepted before that, because a
// withdrawal could be missing.
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

// loadFromPeer exchanges all gossip records with a peer that has loaded its keys.
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
	stateCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var state stateMessage
	if s.cfg.Mesh.Call(stateCtx, node, kindState, stateMessage{}, &state) != nil || !state.Loaded {
		return false
	}
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return s.cfg.Store.Sync(syncCtx, node) == nil
}

// poll reads the key rows that changed since the last poll. The start of the
// read counts as the time of contact.
func (s *Store) poll(ctx context.Context) error {
	s.pollMu.Lock()
	defer s.pollMu.Unlock()
	start := s.cfg.Now()
	rows, err := s.cfg.Table.List(ctx, RowPrefix, s.revision)
	if err == nil && s.hasNewEra() {
		rows, err = s.listAll(ctx)
	}
	if err != nil {
		return Class.Wrap(err)
	}
	for _, row := range rows {
		s.applyRow(strings.TrimPrefix(row.Key, RowPrefix), row.Value)
		s.revision = max(s.revision, row.Revision)
	}
	s.contact.mu.Lock()
	s.contact.nodeRead, s.contact.dataCentreRead = start, start
	s.contact.mu.Unlock()
	s.evaluate()
	s.queueUnwritten()
	return nil
}

// listAll reads the key rows anew if the store has come back from a copy since the last poll:
// rows that were read before may be gone or have other revisions. The caller holds s.pollMu.
func (s *Store) listAll(ctx context.Context) ([]store.Row, error) {
	s.revision = 0
	clear(s.tableStates)
	return s.cfg.Table.List(ctx, RowPrefix, 0)
}

// hasNewEra reports whether the store has come back from a copy since the last call. The
// caller holds s.pollMu.
func (s *Store) hasNewEra() bool {
	before := s.era
	s.era = s.cfg.Table.Era()
	return before != 0 && s.era != before
}

// applyRow records the state in a key's row and publishes it as a gossip record. The
// caller holds s.pollMu.
func (s *Store) applyRow(id string, encoded []byte) {
	var v value
	if !ValidID(id) || peer.Unmarshal(encoded, &v) != nil {
		return
	}
	if v.State != Granted && v.State != Withdrawn {
		return
	}
	s.tableStates[id] = v.State
	s.cfg.Store.SetShared(RowPrefix+id, uint64(v.State), v.encode())
}

// queueUnwritten queues table writes for the withdrawals that the table does not
// show, such as those accepted during an outage by a node that has stopped since.
// The caller holds s.pollMu.
func (s *Store) queueUnwritten() {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		for id, e := range sh.keys {
			if e.state == Withdrawn && s.tableStates[id] != Withdrawn {
				s.pending.add(id)
			}
		}
		sh.mu.RUnlock()
	}
}
