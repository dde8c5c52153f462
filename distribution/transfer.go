package distribution

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	// Kinds of the messages between nodes.
	kindRequest = "SnapshotRequest"
	kindQuery   = "ConfigQuery"
	kindOffer   = "ConfigOffer"

	maxPartBytes     = 512 << 10
	maxDocumentBytes = 16 << 20 // the limit of the object store
	// documentWait limits how long a peer that is still fetching a document delays its
	// reply to a request for it.
	documentWait = 500 * time.Millisecond
	// partTimeout limits the transfer of one part from a peer.
	partTimeout = time.Second
	// transferTimeout limits the transfer of a whole document from one peer.
	transferTimeout = 10 * time.Second
	// offerTimeout limits one offer, within which the peer fetches the document.
	offerTimeout = time.Second
	// queryTimeout limits a query of all peers at start.
	queryTimeout = time.Second
	// peersStableTime is how long the set of known peers must not have changed before
	// their replies count as those of all reachable peers.
	peersStableTime = 500 * time.Millisecond
	// peersPerRound is the number of peers tried for a document or an offer in one round.
	peersPerRound = 2
)

// partRequest requests a part of the encoded patch that yields a document.
type partRequest struct {
	Digest string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`           // bytes of the patch
	Base   string `cbor:"3,keyasint,omitempty"` // digest of a document that the sender of the request has
}

type partReply struct {
	Total int    `cbor:"1,keyasint"` // bytes of the patch; 0 if the peer lacks the document
	Part  []byte `cbor:"2,keyasint"`
}

// versionMessage identifies a version: in an offer the one that the sender is about
// to apply, in the reply to a query the highest one that the peer knows.
type versionMessage struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

type queryMessage struct{}

// cacheDocument caches a verified document for peers and wakes the requests that wait
// for it. It drops the oldest document beyond maxCachedDocuments.
func (d *Distribution) cacheDocument(doc cachedDocument) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.lookup(doc.digest); ok {
		return
	}
	d.cached = append(d.cached, doc)
	if len(d.cached) > maxCachedDocuments {
		d.cached = d.cached[len(d.cached)-maxCachedDocuments:]
	}
	close(d.cacheChanged)
	d.cacheChanged = make(chan struct{})
}

// lookup returns a cached document. The caller holds d.mu.
func (d *Distribution) lookup(digest string) ([]byte, bool) {
	for i := range d.cached {
		if d.cached[i].digest == digest {
			return d.cached[i].encoded, true
		}
	}
	return nil, false
}

// lookupOrNotify returns a cached document, or else a channel that is closed when another
// document is cached.
func (d *Distribution) lookupOrNotify(digest string) ([]byte, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if encoded, ok := d.lookup(digest); ok {
		return encoded, nil
	}
	return nil, d.cacheChanged
}

// fetchDocument returns the document with the given digest. It tries the cache; then, if
// announcer (the peer that sent the version) is not empty, announcer and a random peer;
// then the object store; then other peers.
func (d *Distribution) fetchDocument(ctx context.Context, digest, announcer string) ([]byte, error) {
	if encoded, changed := d.lookupOrNotify(digest); changed == nil {
		return encoded, nil
	}
	if announcer != "" {
		for _, node := range append([]string{announcer}, d.randomPeers(1)...) {
			if encoded, err := d.fetchFromPeer(ctx, node, digest); err == nil {
				return encoded, nil
			}
		}
	}
	encoded, platformErr := d.cfg.Platform.GetObject(ctx, digest)
	if platformErr == nil {
		return encoded, nil
	}
	for _, node := range d.randomPeers(peersPerRound) {
		if encoded, err := d.fetchFromPeer(ctx, node, digest); err == nil {
			return encoded, nil
		}
	}
	return nil, Error.Wrap(platformErr)
}

// fetchFromPeer fetches a document in parts and verifies its digest.
func (d *Distribution) fetchFromPeer(ctx context.Context, node, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var encodedPatch []byte
	base := d.newestDigest()
	for {
		part, err := d.fetchPart(ctx, node, partRequest{Digest: digest, Offset: len(encodedPatch), Base: base})
		if err != nil {
			return nil, err
		}
		encodedPatch = append(encodedPatch, part.Part...)
		if len(encodedPatch) >= part.Total {
			break
		}
	}
	encoded, err := applyPatch(encodedPatch, func(digest string) ([]byte, bool) {
		b, changed := d.lookupOrNotify(digest)
		return b, changed == nil
	})
	if err != nil {
		return nil, err
	}
	if config.Digest(encoded) != digest {
		return nil, Error.New("document from %s does not match its digest", node)
	}
	return encoded, nil
}

// fetchPart requests one part of an encoded patch and checks its bounds.
func (d *Distribution) fetchPart(ctx context.Context, node string, req partRequest) (partReply, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var reply partReply
	if err := d.cfg.Mesh.Call(ctx, node, kindRequest, req, &reply); err != nil {
		return reply, Error.Wrap(err)
	}
	if reply.Total == 0 || reply.Total > maxDocumentBytes || len(reply.Part) == 0 || req.Offset+len(reply.Part) > reply.Total {
		return reply, Error.New("%s does not have the document", node)
	}
	return reply, nil
}

// handleRequest replies with a part of the patch to the requested document, with Total
// 0 if this node lacks the document or the offset is invalid.
func (d *Distribution) handleRequest(ctx context.Context, _ peer.Identity, payload []byte) (any, error) {
	var req partRequest
	if err := peer.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	if d.awaitDocument(ctx, req.Digest) == nil {
		return partReply{}, nil
	}
	encodedPatch := d.patchTo(req.Digest, req.Base)
	if req.Offset < 0 || req.Offset >= len(encodedPatch) {
		return partReply{}, nil
	}
	end := min(req.Offset+maxPartBytes, len(encodedPatch))
	return partReply{Total: len(encodedPatch), Part: encodedPatch[req.Offset:end]}, nil
}

// newestDigest returns the digest of the document cached last, or "".
func (d *Distribution) newestDigest() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.cached) == 0 {
		return ""
	}
	return d.cached[len(d.cached)-1].digest
}

// patchTo returns the encoded patch from the document with the digest base to a cached
// document; without a base if this node has not cached base; nil if it has not cached
// the document. The last patch of each document is kept, because several peers request
// the same one.
func (d *Distribution) patchTo(digest, base string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	baseDocument, _ := d.lookup(base)
	if baseDocument == nil {
		base = ""
	}
	for i := range d.cached {
		doc := &d.cached[i]
		if doc.digest != digest {
			continue
		}
		if doc.patch == nil || doc.patchBase != base {
			doc.patch, doc.patchBase = makePatch(base, baseDocument, doc.encoded), base
		}
		return doc.patch
	}
	return nil
}

// awaitDocument returns a document that this node has cached or caches within
// documentWait, or nil. It waits only for the document of the highest known version,
// which this node is fetching itself.
func (d *Distribution) awaitDocument(ctx context.Context, digest string) []byte {
	ctx, cancel := context.WithTimeout(ctx, documentWait)
	defer cancel()
	for {
		encoded, changed := d.lookupOrNotify(digest)
		if changed == nil {
			return encoded
		}
		if v, ok := d.knownVersion(); !ok || v.Digest != digest {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// knownVersion returns the version of the gossip record, which is the highest that this
// node knows, or false if there is no valid record.
func (d *Distribution) knownVersion() (versionMessage, bool) {
	record, ok := d.cfg.Store.Get(recordKey)
	var ref documentRef
	if !ok || peer.Unmarshal(record.Value, &ref) != nil {
		return versionMessage{}, false
	}
	return versionMessage{record.Version, ref.Digest}, true
}

// offerToPeer sends a version that this node read from the platform to one peer before
// it is applied, so that a restart of this node cannot revert the version. If no peer
// accepts the offer, the version is applied all the same.
func (d *Distribution) offerToPeer(ctx context.Context, version uint64, ref documentRef) {
	for _, node := range d.randomPeers(peersPerRound) {
		callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
		err := d.cfg.Mesh.Call(callCtx, node, kindOffer, versionMessage{version, ref.Digest}, nil)
		cancel()
		if err == nil {
			return
		}
	}
}

// handleOffer stores the offered version in the gossip record and fetches its document
// from the sender.
func (d *Distribution) handleOffer(ctx context.Context, from peer.Identity, payload []byte) (any, error) {
	var msg versionMessage
	if err := peer.Unmarshal(payload, &msg); err != nil {
		return nil, err
	}
	if msg.Version > d.cfg.Store.Version(recordKey) {
		d.cfg.Store.SetShared(recordKey, msg.Version, mustMarshal(documentRef{msg.Digest}))
	}
	if _, changed := d.lookupOrNotify(msg.Digest); changed == nil {
		return nil, nil
	}
	encoded, err := d.fetchFromPeer(ctx, from.Node, msg.Digest)
	if err != nil {
		return nil, err
	}
	if _, err := config.Decode(msg.Version, encoded); err != nil {
		return nil, err
	}
	d.cacheDocument(cachedDocument{digest: msg.Digest, encoded: encoded})
	return nil, nil
}

// handleQuery replies with the highest known version. A node that has not completed its
// own start returns an error, because it may not know the highest version of the fleet.
func (d *Distribution) handleQuery(context.Context, peer.Identity, []byte) (any, error) {
	d.mu.Lock()
	started := d.started
	d.mu.Unlock()
	if !started {
		return nil, Error.New("starting")
	}
	v, _ := d.knownVersion()
	return v, nil
}

// peerSet is the set of peers that were queried at start, and since when it has not
// changed.
type peerSet struct {
	nodes []string
	since time.Time
}

// update records the known peers, which it sorts in place, and reports whether they have
// not changed for peersStableTime. A starting node thus does not rely on the first peer
// that it discovers.
func (p *peerSet) update(nodes []string, now time.Time) bool {
	slices.Sort(nodes)
	if !slices.Equal(p.nodes, nodes) {
		p.nodes, p.since = nodes, now
	}
	return now.Sub(p.since) >= peersStableTime
}

// queryPeers queries the version of all known peers and stores the highest one in the
// gossip record. It fails if no peer replies with a version or if peers are still being
// discovered.
func (d *Distribution) queryPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	nodes := d.allPeers()
	stable := d.queriedPeers.update(nodes, d.cfg.Now())
	replies := make(chan versionMessage, len(nodes))
	for _, node := range nodes {
		go func() {
			var v versionMessage
			if d.cfg.Mesh.Call(ctx, node, kindQuery, queryMessage{}, &v) != nil {
				v = versionMessage{}
			}
			replies <- v
		}()
	}
	var highest versionMessage
	for range nodes {
		if v := <-replies; v.Version > highest.Version {
			highest = v
		}
	}
	if highest.Version == 0 || !stable {
		return Error.New("no version known yet: the platform is unavailable and no stable set of peers has replied with one")
	}
	if highest.Version > d.cfg.Store.Version(recordKey) {
		d.cfg.Store.SetShared(recordKey, highest.Version, mustMarshal(documentRef{highest.Digest}))
	}
	return nil
}

// allPeers returns the members of this data centre and the gateways of others.
func (d *Distribution) allPeers() []string {
	nodes := append([]string(nil), d.cfg.Peers.Local()...)
	for _, gateways := range d.cfg.Peers.Remote() {
		nodes = append(nodes, gateways...)
	}
	return nodes
}

// randomPeers returns up to n random peers, of this data centre if possible.
func (d *Distribution) randomPeers(n int) []string {
	nodes := append([]string(nil), d.cfg.Peers.Local()...)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, gateways := range d.cfg.Peers.Remote() { // random order
		nodes = append(nodes, gateways...)
	}
	return nodes[:min(n, len(nodes))]
}
