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
	kindRequest = "SnapshotRequest"
	kindQuery   = "ConfigQuery"
	kindOffer   = "ConfigOffer"

	partBytes   = 512 << 10
	maxDocument = 16 << 20 // bytes, the limit of the object store
	// A peer that has not received the document yet holds a request this long.
	holdRequest = 500 * time.Millisecond
	// Limit of one part from a peer.
	partLimit = time.Second
	// Limit of the whole transfer from one source.
	transferLimit = 10 * time.Second
	// Limit of one offer; the peer obtains the document within it.
	offerLimit = time.Second
	// Limit of a query to all peers at start.
	queryLimit = time.Second
	// The known peers must have been the same for this long before their
	// answers count as those of all peers in reach.
	peersSettle = 500 * time.Millisecond
	// Peers tried for a document or an offer in one round.
	peersPerRound = 2
)

// partRequest asks for a part of the patch that leads to a document.
type partRequest struct {
	Digest string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`           // bytes of the patch
	Base   string `cbor:"3,keyasint,omitempty"` // digest of a document that the receiver holds
}

type partReply struct {
	Total int    `cbor:"1,keyasint"` // bytes of the patch; 0 if the peer lacks the document
	Part  []byte `cbor:"2,keyasint"`
}

// versionMessage names a version: in an offer the one that the sender is about
// to apply, in the reply to a query the highest one that the peer knows.
type versionMessage struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

type queryMessage struct{}

// hold keeps a verified document for peers and wakes those that wait for it.
func (d *Distribution) hold(doc heldDocument) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.find(doc.digest); ok {
		return
	}
	d.held = append(d.held, doc)
	if len(d.held) > heldDocuments {
		d.held = d.held[len(d.held)-heldDocuments:]
	}
	close(d.arrived)
	d.arrived = make(chan struct{})
}

// find returns a held document. The caller holds d.mu.
func (d *Distribution) find(digest string) ([]byte, bool) {
	for i := range d.held {
		if d.held[i].digest == digest {
			return d.held[i].encoded, true
		}
	}
	return nil, false
}

// holds returns a held document, or a channel that is closed when another
// document is held.
func (d *Distribution) holds(digest string) ([]byte, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if encoded, ok := d.find(digest); ok {
		return encoded, nil
	}
	return nil, d.arrived
}

// obtain returns the document with the given digest: from memory, from the
// peer that told this node, from another peer or from the object store.
func (d *Distribution) obtain(ctx context.Context, digest, teller string) ([]byte, error) {
	if encoded, missing := d.holds(digest); missing == nil {
		return encoded, nil
	}
	if teller != "" {
		for _, node := range append([]string{teller}, d.somePeers(1)...) {
			if encoded, err := d.fromPeer(ctx, node, digest); err == nil {
				return encoded, nil
			}
		}
	}
	encoded, platformErr := d.cfg.Platform.GetObject(ctx, digest)
	if platformErr == nil {
		return encoded, nil
	}
	for _, node := range d.somePeers(peersPerRound) {
		if encoded, err := d.fromPeer(ctx, node, digest); err == nil {
			return encoded, nil
		}
	}
	return nil, Error.Wrap(platformErr)
}

// fromPeer fetches a document in parts and verifies its digest.
func (d *Distribution) fromPeer(ctx context.Context, node, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, transferLimit)
	defer cancel()
	var packed []byte
	base := d.newest()
	for {
		part, err := d.part(ctx, node, partRequest{Digest: digest, Offset: len(packed), Base: base})
		if err != nil {
			return nil, err
		}
		packed = append(packed, part.Part...)
		if len(packed) >= part.Total {
			break
		}
	}
	encoded, err := applyPatch(packed, func(digest string) ([]byte, bool) {
		b, missing := d.holds(digest)
		return b, missing == nil
	})
	if err != nil {
		return nil, err
	}
	if config.Digest(encoded) != digest {
		return nil, Error.New("document from %s does not match its digest", node)
	}
	return encoded, nil
}

func (d *Distribution) part(ctx context.Context, node string, req partRequest) (partReply, error) {
	ctx, cancel := context.WithTimeout(ctx, partLimit)
	defer cancel()
	var reply partReply
	if err := d.cfg.Mesh.Call(ctx, node, kindRequest, req, &reply); err != nil {
		return reply, Error.Wrap(err)
	}
	if reply.Total == 0 || reply.Total > maxDocument || len(reply.Part) == 0 || req.Offset+len(reply.Part) > reply.Total {
		return reply, Error.New("%s does not have the document", node)
	}
	return reply, nil
}

func (d *Distribution) handleRequest(ctx context.Context, _ peer.Identity, payload []byte) (any, error) {
	var req partRequest
	if err := peer.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	if d.await(ctx, req.Digest) == nil {
		return partReply{}, nil
	}
	packed := d.packed(req.Digest, req.Base)
	if req.Offset < 0 || req.Offset >= len(packed) {
		return partReply{}, nil
	}
	end := min(req.Offset+partBytes, len(packed))
	return partReply{Total: len(packed), Part: packed[req.Offset:end]}, nil
}

// newest returns the digest of the document that was held last, "" if none.
func (d *Distribution) newest() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.held) == 0 {
		return ""
	}
	return d.held[len(d.held)-1].digest
}

// packed returns the patch from base to a held document, without a base if
// this node does not hold it. The last patch of each document is kept, because
// several peers ask for the same one.
func (d *Distribution) packed(digest, base string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	baseDocument, _ := d.find(base)
	if baseDocument == nil {
		base = ""
	}
	for i := range d.held {
		h := &d.held[i]
		if h.digest != digest {
			continue
		}
		if h.patch == nil || h.patchBase != base {
			h.patch, h.patchBase = makePatch(base, baseDocument, h.encoded), base
		}
		return h.patch
	}
	return nil
}

// await returns a document that this node has or receives within holdRequest.
// A node waits only for the document that it is obtaining itself.
func (d *Distribution) await(ctx context.Context, digest string) []byte {
	ctx, cancel := context.WithTimeout(ctx, holdRequest)
	defer cancel()
	for {
		encoded, arrived := d.holds(digest)
		if arrived == nil {
			return encoded
		}
		if v, ok := d.known(); !ok || v.Digest != digest {
			return nil
		}
		select {
		case <-arrived:
		case <-ctx.Done():
			return nil
		}
	}
}

// known returns the highest version that this node has heard of.
func (d *Distribution) known() (versionMessage, bool) {
	record, ok := d.cfg.Store.Get(recordKey)
	var ref reference
	if !ok || peer.Unmarshal(record.Value, &ref) != nil {
		return versionMessage{}, false
	}
	return versionMessage{record.Version, ref.Digest}, true
}

// offer passes a version that this node read from the platform to a peer
// before it is applied, so that a restart of this node cannot revert it. With
// no peer in reach the version is applied all the same.
func (d *Distribution) offer(ctx context.Context, version uint64, ref reference) {
	for _, node := range d.somePeers(peersPerRound) {
		callCtx, cancel := context.WithTimeout(ctx, offerLimit)
		err := d.cfg.Mesh.Call(callCtx, node, kindOffer, versionMessage{version, ref.Digest}, nil)
		cancel()
		if err == nil {
			return
		}
	}
}

// handleOffer takes over a version and its document from the sender.
func (d *Distribution) handleOffer(ctx context.Context, from peer.Identity, payload []byte) (any, error) {
	var msg versionMessage
	if err := peer.Unmarshal(payload, &msg); err != nil {
		return nil, err
	}
	if msg.Version > d.cfg.Store.Version(recordKey) {
		d.cfg.Store.SetShared(recordKey, msg.Version, mustMarshal(reference{msg.Digest}))
	}
	if _, missing := d.holds(msg.Digest); missing == nil {
		return nil, nil
	}
	encoded, err := d.fromPeer(ctx, from.Node, msg.Digest)
	if err != nil {
		return nil, err
	}
	if _, err := config.Decode(msg.Version, encoded); err != nil {
		return nil, err
	}
	d.hold(heldDocument{digest: msg.Digest, encoded: encoded})
	return nil, nil
}

// handleQuery answers with the highest known version. A node that has not met
// the start rule itself does not answer for the fleet.
func (d *Distribution) handleQuery(context.Context, peer.Identity, []byte) (any, error) {
	d.mu.Lock()
	started := d.started
	d.mu.Unlock()
	if !started {
		return nil, Error.New("starting")
	}
	v, _ := d.known()
	return v, nil
}

// peerSet is the set of peers that were asked at start, and when they became
// known.
type peerSet struct {
	nodes []string
	since time.Time
}

// settled reports whether the known peers have been the same for a while, so
// that a starting node does not rely on the first peer it finds.
func (p *peerSet) settled(nodes []string, now time.Time) bool {
	slices.Sort(nodes)
	if !slices.Equal(p.nodes, nodes) {
		p.nodes, p.since = nodes, now
	}
	return now.Sub(p.since) >= peersSettle
}

// askPeers asks all known peers for their version and takes the highest one
// into the record. It fails if no peer answers with a version or if peers are
// still being found.
func (d *Distribution) askPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, queryLimit)
	defer cancel()
	nodes := d.allPeers()
	settled := d.asked.settled(nodes, d.cfg.Now())
	answers := make(chan versionMessage, len(nodes))
	for _, node := range nodes {
		go func() {
			var v versionMessage
			if d.cfg.Mesh.Call(ctx, node, kindQuery, queryMessage{}, &v) != nil {
				v = versionMessage{}
			}
			answers <- v
		}()
	}
	var highest versionMessage
	for range nodes {
		if v := <-answers; v.Version > highest.Version {
			highest = v
		}
	}
	if highest.Version == 0 || !settled {
		return Error.New("neither the platform nor the peers told the version yet")
	}
	if highest.Version > d.cfg.Store.Version(recordKey) {
		d.cfg.Store.SetShared(recordKey, highest.Version, mustMarshal(reference{highest.Digest}))
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

// somePeers returns up to n random peers, of this data centre if possible.
func (d *Distribution) somePeers(n int) []string {
	nodes := append([]string(nil), d.cfg.Peers.Local()...)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, gateways := range d.cfg.Peers.Remote() { // random order
		nodes = append(nodes, gateways...)
	}
	return nodes[:min(n, len(nodes))]
}
