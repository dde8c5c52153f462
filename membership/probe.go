package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/peer"
)

const (
	kindProbe    = "Probe"
	kindProbeFor = "ProbeFor"

	probeInterval = 300 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// Consecutive missed probes after which other nodes are asked to probe the
	// node.
	maxMissedProbes = 3
	// Number of successors on the ring that each node probes.
	successorCount = 2
	// Bounds the probes of one round when many successors do not answer.
	maxProbeTargets = 16
	// Number of other nodes that are asked to probe a node before it is marked
	// dead, so that a network cut between two nodes does not mark either of them.
	indirectProbers = 2
	// Records of dead nodes expire after this time.
	deadRecordTTL = 60 * time.Second
)

type probeMessage struct{}

type probeForMessage struct {
	Node string `cbor:"1,keyasint"`
}

type probeForReply struct {
	Reached bool `cbor:"1,keyasint"`
}

// ring chooses which nodes to probe and counts the probes that they miss. It is
// safe for concurrent use.
type ring struct {
	mu     sync.Mutex
	misses map[string]int // consecutive missed probes, by node ID
}

// targets returns the nodes to probe now: the successors of self on the ring, in
// order, until successorCount of them have answered their last probe, at most
// maxProbeTargets. Nodes are ordered by rendezvous hash, so that neighbours in a
// rack are seldom neighbours on the ring.
func (r *ring) targets(dc, self string, local []string) []string {
	place := func(id string) uint64 { return rendezvousHash(dc, id) }
	own := place(self)
	order := slices.Clone(local)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(place(a)-own, place(b)-own) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUnknown(order)
	answering := 0
	for i, id := range order {
		if r.misses[id] == 0 {
			answering++
		}
		if answering == successorCount || i+1 == maxProbeTargets {
			return order[:i+1]
		}
	}
	return order
}

// dropUnknown removes the counts of nodes that are not in known. The caller
// holds r.mu.
func (r *ring) dropUnknown(known []string) {
	for id := range r.misses {
		if !slices.Contains(known, id) {
			delete(r.misses, id)
		}
	}
}

// recordProbe records the outcome of a probe and reports whether the node has
// missed maxMissedProbes in a row.
func (r *ring) recordProbe(node string, answered bool) (suspect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.misses, node)
		return false
	}
	r.misses[node]++
	return r.misses[node] >= maxMissedProbes
}

// probeLoop probes this node's successors every probeInterval until ctx ends.
func (m *Membership) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, node := range m.ring.targets(m.id.DataCentre, m.id.Node, m.Local()) {
			go m.probe(ctx, node)
		}
	}
}

// probe sends one probe to a node and marks it dead if it missed too many and
// the other members that are asked do not reach it either.
func (m *Membership) probe(ctx context.Context, node string) {
	if !m.ring.recordProbe(node, m.reachable(ctx, node)) || ctx.Err() != nil {
		return
	}
	if m.reachableFromOthers(ctx, node) {
		return
	}
	m.markDead(node)
}

func (m *Membership) reachable(ctx context.Context, node string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := m.cfg.Mesh.Call(ctx, node, kindProbe, probeMessage{}, nil)
	return err == nil || peer.ErrRemote.Has(err) // an error reply, for example "busy", proves that the peer is alive
}

// reachableFromOthers reports whether any of indirectProbers random members
// reaches the node.
func (m *Membership) reachableFromOthers(ctx context.Context, node string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+probeTimeout/2)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(m.Local()), func(id string) bool { return id == node })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), indirectProbers)]
	answers := make(chan bool, len(others))
	for _, id := range others {
		go func() {
			var reply probeForReply
			err := m.cfg.Mesh.Call(ctx, id, kindProbeFor, probeForMessage{node}, &reply)
			answers <- err == nil && reply.Reached
		}()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
}

// markDead publishes a new version of a node's record with the state Dead. A
// node that is still alive refutes it with a higher version.
func (m *Membership) markDead(node string) {
	key := nodePrefix + node
	r, ok := m.cfg.Store.Get(key)
	if !ok {
		return
	}
	var v nodeValue
	if peer.Unmarshal(r.Value, &v) != nil || v.State == Dead {
		return
	}
	v.State, v.Endpoint = Dead, nil
	m.setNode(key, r.Version+1, mustMarshal(v), true)
}

func (m *Membership) handleProbe(context.Context, peer.Identity, []byte) (any, error) {
	return probeMessage{}, nil
}

func (m *Membership) handleProbeFor(ctx context.Context, _ peer.Identity, payload []byte) (any, error) {
	var msg probeForMessage
	if err := peer.Unmarshal(payload, &msg); err != nil {
		return nil, err
	}
	return probeForReply{m.reachable(ctx, msg.Node)}, nil
}
