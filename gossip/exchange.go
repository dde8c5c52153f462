package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	sweepInterval = time.Second
	// Maximum number of record versions in one message. A message with the
	// versions of a single bucket may exceed it.
	maxVersions = 8192
	// Maximum number of rounds of one Sync; each one moves up to maxBatchBytes in
	// each direction.
	maxSyncRounds = 256
)

// scopeHashes holds one hash per scope.
type scopeHashes [scopeCount]uint64

type digestRequest struct {
	Roots scopeHashes `cbor:"1,keyasint"`
}

type digestReply struct {
	Equal   bool       `cbor:"1,keyasint"`
	Buckets [][]uint64 `cbor:"2,keyasint,omitempty"` // bucket hashes of each scope that differs
}

type deltaRequest struct {
	Buckets  [][]int         `cbor:"1,keyasint"` // compared buckets, per scope
	Versions []recordVersion `cbor:"2,keyasint"` // the sender's records in these buckets
}

type deltaReply struct {
	Records []Record `cbor:"1,keyasint,omitempty"` // newer than the sender's
	Wanted  []string `cbor:"2,keyasint,omitempty"` // keys whose records the sender should push
}

type fetchMessage struct {
	Keys []string `cbor:"1,keyasint"`
}

type recordsMessage struct {
	Records []Record `cbor:"1,keyasint"`
}

func (s *Store) register() {
	s.cfg.Transport.Handle(kindPush, s.handlePush)
	s.cfg.Transport.Handle(kindFetch, s.handleFetch)
	s.cfg.Transport.Handle(kindDigest, s.handleDigest)
	s.cfg.Transport.Handle(kindDelta, s.handleDelta)
}

// Run pushes changes, compares digests and drops expired records until ctx ends.
func (s *Store) Run(ctx context.Context) {
	go s.pushLoop(ctx)
	compare := time.NewTicker(s.cfg.Interval)
	defer compare.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-compare.C:
			s.compareRandom(ctx)
		case <-sweep.C:
			s.Sweep()
		}
	}
}

// compareRandom starts a comparison of digests with one random peer of this data
// centre and, on a gateway, with one gateway of a random other data centre.
func (s *Store) compareRandom(ctx context.Context) {
	topo := s.currentTopology()
	for _, node := range sample(topo.Local(), 1) {
		go s.compareWith(ctx, peer.Identity{Node: node, DataCentre: s.self.DataCentre})
	}
	if !topo.IsGateway() {
		return
	}
	for dc, gateways := range topo.Remote() { // random order
		for _, node := range sample(gateways, 1) {
			go s.compareWith(ctx, peer.Identity{Node: node, DataCentre: dc})
		}
		return
	}
}

// compareWith compares digests with a peer and exchanges records once. Errors
// are ignored because the next comparison repeats the exchange.
func (s *Store) compareWith(ctx context.Context, id peer.Identity) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var digest digestReply
	call := s.callNode(id)
	if _, err := call(ctx, kindDigest, digestRequest{s.rootHashes()}, &digest); err != nil || digest.Equal {
		return
	}
	_, _ = s.exchange(ctx, call, id, digest)
}

// callFunc sends one request to a peer and returns the peer's identity.
// Identities from callNode may lack fields other than the node's ID.
type callFunc func(ctx context.Context, kind string, req, resp any) (peer.Identity, error)

// callNode returns a callFunc for a peer whose ID is known.
func (s *Store) callNode(id peer.Identity) callFunc {
	return func(ctx context.Context, kind string, req, resp any) (peer.Identity, error) {
		return id, s.cfg.Transport.Call(ctx, id.Node, kind, req, resp)
	}
}

// Sync exchanges records with a node until both have the same records, apart
// from those that one side does not accept and from volatile records, which are
// only pushed. The error is of class Error.
func (s *Store) Sync(ctx context.Context, node string) error {
	_, err := s.sync(ctx, s.callNode(peer.Identity{Node: node}))
	return err
}

// SyncAddress is like Sync for the node whose peers listener is at addr
// (ip:port), whose ID need not be known. It returns the node's identity.
func (s *Store) SyncAddress(ctx context.Context, addr string) (peer.Identity, error) {
	return s.sync(ctx, func(ctx context.Context, kind string, req, resp any) (peer.Identity, error) {
		return s.cfg.Transport.CallAddress(ctx, addr, kind, req, resp)
	})
}

func (s *Store) sync(ctx context.Context, call callFunc) (peer.Identity, error) {
	var id peer.Identity
	for range maxSyncRounds {
		var digest digestReply
		var err error
		id, err = call(ctx, kindDigest, digestRequest{s.rootHashes()}, &digest)
		if err != nil {
			return id, Error.Wrap(err)
		}
		if digest.Equal {
			return id, nil
		}
		changed, err := s.exchange(ctx, call, id, digest)
		if err != nil {
			return id, err
		}
		if !changed {
			return id, nil // the remaining differences are records that one side does not accept
		}
	}
	return id, Error.New("records still differ after %d rounds", maxSyncRounds)
}

// exchange compares record versions in the buckets that differ and transfers
// records in both directions. It reports whether another exchange may transfer
// more.
func (s *Store) exchange(ctx context.Context, call callFunc, from peer.Identity, digest digestReply) (bool, error) {
	var delta deltaReply
	req, complete := s.versionsInDifferingBuckets(digest)
	if _, err := call(ctx, kindDelta, req, &delta); err != nil {
		return false, Error.Wrap(err)
	}
	changed := s.mergeAll(delta.Records, from) || !complete
	records, _ := s.records(delta.Wanted)
	if len(records) == 0 {
		return changed, nil
	}
	if _, err := call(ctx, kindPush, pushMessage{Records: records}, nil); err != nil {
		return changed, Error.Wrap(err)
	}
	return true, nil
}

func (s *Store) mergeAll(records []Record, from peer.Identity) (changed bool) {
	for i := range records {
		if s.merge(&records[i], from) {
			changed = true
		}
	}
	return changed
}

// rootHashes returns for each scope one hash over all records in digests.
func (s *Store) rootHashes() (roots scopeHashes) {
	for sc := range roots {
		for i, sum := range s.bucketHashes(scope(sc)) {
			if sum != 0 {
				roots[sc] = mix(roots[sc]*fnvPrime + sum + uint64(i))
			}
		}
	}
	return roots
}

func (s *Store) bucketHashes(sc scope) []uint64 {
	out := make([]uint64, bucketCount)
	for i := range s.buckets {
		s.buckets[i].mu.RLock()
		out[i] = s.buckets[i].hashes[sc]
		s.buckets[i].mu.RUnlock()
	}
	return out
}

// versionsInDifferingBuckets builds a request with this store's record versions
// in the buckets that differ, and reports whether all of them fit. The message
// begins at a random bucket, so that repeated messages cover all of them.
func (s *Store) versionsInDifferingBuckets(digest digestReply) (req deltaRequest, complete bool) {
	req.Buckets = make([][]int, scopeCount)
	first := rand.IntN(bucketCount)
	for sc := range min(len(digest.Buckets), int(scopeCount)) {
		if len(digest.Buckets[sc]) != bucketCount {
			continue // the scope is equal, or the peer does not share it
		}
		own := s.bucketHashes(scope(sc))
		for k := range bucketCount {
			i := (first + k) % bucketCount
			if own[i] == digest.Buckets[sc][i] {
				continue
			}
			versions := s.bucketVersions(i, scope(sc))
			if len(req.Versions)+len(versions) > maxVersions && len(req.Versions) > 0 {
				return req, false
			}
			req.Buckets[sc] = append(req.Buckets[sc], i)
			req.Versions = append(req.Versions, versions...)
		}
	}
	return req, true
}

func (s *Store) bucketVersions(i int, sc scope) []recordVersion {
	b := &s.buckets[i]
	b.mu.RLock()
	defer b.mu.RUnlock()
	var out []recordVersion
	for _, e := range b.entries {
		if s.scopeOf(e.Key) == sc && !s.isVolatile(e.Key) {
			out = append(out, recordVersion{Key: e.Key, Version: e.Version, Hash: e.hash})
		}
	}
	return out
}

// records returns the records with the given keys and whether all of them fit
// into maxBatchBytes. It returns at least one, even if that is larger.
func (s *Store) records(keys []string) (out []Record, complete bool) {
	size := 0
	for _, key := range keys {
		r, ok := s.Get(key)
		if !ok {
			continue
		}
		size += len(r.Key) + len(r.Value)
		if size > maxBatchBytes && len(out) > 0 {
			return out, false
		}
		out = append(out, r)
	}
	return out, true
}
