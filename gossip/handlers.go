package gossip

import (
	"context"

	"github.com/dotterelseam/dotterelseam/peer"
)

// accepts reports whether a peer may exchange the record with this key: records
// of local scope stay within the data centre.
func (s *Store) accepts(key string, from peer.Identity) bool {
	return s.scopeOf(key) == scopeGlobal || from.DataCentre == s.self.DataCentre
}

func (s *Store) handlePush(ctx context.Context, from peer.Identity, payload []byte) (any, error) {
	var msg pushMessage
	if err := peer.Unmarshal(payload, &msg); err != nil {
		return nil, err
	}
	for i := range msg.Records {
		if s.accepts(msg.Records[i].Key, from) {
			s.merge(&msg.Records[i], from)
		}
	}
	if missing := s.claimMissing(msg.Announced, from); len(missing) > 0 {
		return nil, s.fetch(ctx, from, missing)
	}
	return nil, nil
}

// claimMissing returns the keys of the announced versions that this store should
// fetch now, and registers their fetches.
func (s *Store) claimMissing(announced []recordVersion, from peer.Identity) (keys []string) {
	for _, rv := range announced {
		if s.accepts(rv.Key, from) && s.mayLack(rv) && s.fetches.claim(rv, s.cfg.Now()) {
			keys = append(keys, rv.Key)
		}
	}
	return keys
}

// mayLack reports whether the given version may win over the stored one. It is
// true for equal versions with different hashes.
func (s *Store) mayLack(rv recordVersion) bool {
	b := &s.buckets[bucketOf(rv.Key)]
	b.mu.RLock()
	defer b.mu.RUnlock()
	if ts, ok := b.tombstones[rv.Key]; ok && rv.Version <= ts.version {
		return false
	}
	e := b.entries[rv.Key]
	return e == nil || e.Version < rv.Version || (e.Version == rv.Version && e.hash != rv.Hash)
}

func (s *Store) fetch(ctx context.Context, from peer.Identity, keys []string) error {
	defer s.fetches.done(keys)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply recordsMessage
	if err := s.cfg.Transport.Call(ctx, from.Node, kindFetch, fetchMessage{keys}, &reply); err != nil {
		return Error.Wrap(err)
	}
	for i := range reply.Records {
		if s.accepts(reply.Records[i].Key, from) {
			s.merge(&reply.Records[i], from)
		}
	}
	return nil
}

func (s *Store) handleFetch(_ context.Context, from peer.Identity, payload []byte) (any, error) {
	var msg fetchMessage
	if err := peer.Unmarshal(payload, &msg); err != nil {
		return nil, err
	}
	records, _ := s.records(s.acceptedKeys(msg.Keys, from))
	return recordsMessage{records}, nil
}

func (s *Store) acceptedKeys(keys []string, from peer.Identity) (out []string) {
	for _, k := range keys {
		if s.accepts(k, from) {
			out = append(out, k)
		}
	}
	return out
}

// handleDigest compares the root hashes of the scopes that the peer shares, and
// answers with the bucket hashes of the scopes that differ.
func (s *Store) handleDigest(_ context.Context, from peer.Identity, payload []byte) (any, error) {
	var req digestRequest
	if err := peer.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	own := s.rootHashes()
	reply := digestReply{Equal: true, Buckets: make([][]uint64, scopeCount)}
	for sc := range own {
		if scope(sc) == scopeLocal && from.DataCentre != s.self.DataCentre {
			continue
		}
		if own[sc] != req.Roots[sc] {
			reply.Equal = false
			reply.Buckets[sc] = s.bucketHashes(scope(sc))
		}
	}
	if reply.Equal {
		reply.Buckets = nil
	}
	return reply, nil
}

// handleDelta answers with the records that are newer on this node and the keys
// that may be newer on the peer.
func (s *Store) handleDelta(_ context.Context, from peer.Identity, payload []byte) (any, error) {
	var req deltaRequest
	if err := peer.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	if len(req.Buckets) != int(scopeCount) || len(req.Versions) > maxVersions+maxRecords/bucketCount {
		return nil, peer.ErrMalformed.New("delta with %d scopes and %d records", len(req.Buckets), len(req.Versions))
	}
	theirs := make(map[string]recordVersion, len(req.Versions))
	var reply deltaReply
	for _, rv := range req.Versions {
		if !s.accepts(rv.Key, from) {
			continue
		}
		theirs[rv.Key] = rv
		if dropped, ok := s.tombstoneFor(rv); ok {
			reply.Records = append(reply.Records, dropped)
		} else if s.mayLack(rv) {
			reply.Wanted = append(reply.Wanted, rv.Key)
		}
	}
	newer, _ := s.records(s.newerKeys(req.Buckets, theirs, from))
	reply.Records = append(reply.Records, newer...)
	return reply, nil
}

// tombstoneFor returns an expired record that makes the peer drop the given older
// version, if this store dropped a newer one.
func (s *Store) tombstoneFor(rv recordVersion) (Record, bool) {
	b := &s.buckets[bucketOf(rv.Key)]
	b.mu.RLock()
	defer b.mu.RUnlock()
	ts, ok := b.tombstones[rv.Key]
	if !ok || rv.Version >= ts.version {
		return Record{}, false
	}
	return Record{Key: rv.Key, Version: ts.version, Origin: s.self.Node, Expires: ts.expires}, true
}

// newerKeys returns the keys in the given buckets whose records may be newer on
// this node than in theirs.
func (s *Store) newerKeys(buckets [][]int, theirs map[string]recordVersion, from peer.Identity) (keys []string) {
	for sc, list := range buckets {
		if scope(sc) == scopeLocal && from.DataCentre != s.self.DataCentre {
			continue
		}
		for _, i := range list {
			if i < 0 || i >= bucketCount {
				continue
			}
			for _, rv := range s.bucketVersions(i, scope(sc)) {
				t, ok := theirs[rv.Key]
				if !ok || t.Version < rv.Version || (t.Version == rv.Version && t.Hash != rv.Hash) {
					keys = append(keys, rv.Key)
				}
			}
		}
	}
	return keys
}
