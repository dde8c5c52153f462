package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/store"
)

// Table is the part of the platform client that this package uses.
type Table interface {
	List(ctx context.Context, prefix string, after uint64) ([]store.Row, error)
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
}

// Mesh is the part of peer.Mesh that this package uses.
type Mesh interface {
	Identity() peer.Identity
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, node, kind string, req, resp any) error
	SetResolve(f func(node string) (addr string, ok bool))
}

// Config holds the settings of a Membership.
type Config struct {
	Mesh             Mesh
	Store            *gossip.Store
	Table            Table            // platform rows; nil means that only Seeds are used to find nodes
	Region           string           // region of this data centre
	PeerAddress      string           // this node's peers listener, ip:port
	OperatorsAddress string           // this node's operators listener, ip:port
	Seeds            []string         // peers listeners (ip:port) of nodes to join through
	Now              func() time.Time // default time.Now
	// DataCentres returns the data centres named in the configuration in
	// force. It may be nil.
	DataCentres func() []string
	// PlatformContact returns when this node last read the rows of the API keys
	// from the platform; zero if never. It may be nil.
	PlatformContact func() time.Time
}

// refuteDelay limits the traffic when two processes share an ID by mistake and
// refute each other's records.
const refuteDelay = 100 * time.Millisecond

// An attempt to publish fails only when another record about this node arrives
// at the same time.
const maxPublishAttempts = 16

// Membership tracks the nodes of the fleet. It is safe for concurrent use.
type Membership struct {
	cfg    Config
	id     peer.Identity
	view   atomic.Pointer[view]
	ring   ring
	joined atomic.Bool
	dirty  chan struct{} // the record of this data centre may have changed

	mu                  sync.Mutex // guards the fields below up to watchMu, and serialises changes of view
	self                nodeValue
	version             uint64              // of this node's record, as published last
	refuting            bool                // a refutation is scheduled
	nodes               map[string]Member   // nodes of this data centre, by ID
	remotes             map[string]remoteDC // by data centre; includes this one
	rows                map[string]rowPeer  // nodes read from platform rows, by node ID
	lastPlatformContact time.Time           // latest contact of any gateway of this data centre with the platform

	watchMu  sync.RWMutex
	watchers []func(service string)
}

// New returns the membership of a node that has not announced a backend server.
// It stores this node's record in cfg.Store, and registers itself as the topology
// of cfg.Store and the resolver of cfg.Mesh.
func New(cfg Config) *Membership {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	id := cfg.Mesh.Identity()
	m := &Membership{
		cfg: cfg, id: id, version: id.Incarnation,
		dirty: make(chan struct{}, 1),
		ring:  ring{misses: map[string]int{}},
		self: nodeValue{
			Incarnation: id.Incarnation, Region: cfg.Region,
			PeerAddress: cfg.PeerAddress, OperatorsAddress: cfg.OperatorsAddress,
		},
		nodes: map[string]Member{}, remotes: map[string]remoteDC{}, rows: map[string]rowPeer{},
	}
	m.view.Store(buildView(m.self.member(id.Node, id.DataCentre), nil, nil, cfg.Now()))
	cfg.Mesh.SetResolve(m.Resolve)
	cfg.Mesh.Handle(kindProbe, m.handleProbe)
	cfg.Mesh.Handle(kindProbeFor, m.handleProbeFor)
	cfg.Store.SetTopology(m)
	cfg.Store.Watch(nodePrefix, m.nodeChanged)
	cfg.Store.Watch(dcPrefix, m.dcChanged)
	cfg.Store.Watch(HeartbeatPrefix, m.heartbeatChanged)
	m.publishSelf(func(*nodeValue) {})
	return m
}

// Members returns the nodes of this data centre that are not known to be dead,
// including this node, ordered by ID. The caller must not modify the result.
func (m *Membership) Members() []Member { return m.view.Load().members }

// Gateways returns the gateways of a data centre. The caller must not modify
// the result.
func (m *Membership) Gateways(dc string) []Member {
	v := m.view.Load()
	if dc != m.id.DataCentre {
		return v.remoteGW[dc]
	}
	var out []Member
	for i := range v.members {
		if slices.Contains(v.gateways, v.members[i].ID) {
			out = append(out, v.members[i])
		}
	}
	return out
}

// DataCentres returns the sorted names of this data centre, of those in the
// configuration in force, and of all others that are in contact.
func (m *Membership) DataCentres() []string {
	out := []string{m.id.DataCentre}
	if m.cfg.DataCentres != nil {
		out = append(out, m.cfg.DataCentres()...)
	}
	v := m.view.Load()
	for dc := range v.remote {
		if !slices.Contains(v.expired, dc) {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Endpoints returns the endpoints of a service that are not known to be dead.
// The caller must not modify the result.
func (m *Membership) Endpoints(service string) []balancer.Endpoint {
	return m.view.Load().endpoints[service]
}

// Watch registers f, which is called after each change of the endpoints of a
// service. Calls may be concurrent.
func (m *Membership) Watch(f func(service string)) {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	m.watchers = append(m.watchers, f)
}

// Announce publishes the state of the backend server on this host; a nil
// endpoint withdraws it. Only the fields Service, Slots, Connections, State and
// ColdStart are used.
func (m *Membership) Announce(e *balancer.Endpoint) {
	value := endpointToValue(e)
	m.mu.Lock()
	old := m.self.Endpoint
	same := (old == nil) == (value == nil) && (old == nil || *old == *value)
	m.mu.Unlock()
	if !same {
		m.publishSelf(func(v *nodeValue) { v.Endpoint = value })
	}
}

// Leave publishes that this node accepts no new work. It stays a member until
// Depart.
func (m *Membership) Leave() {
	m.publishSelf(func(v *nodeValue) { v.State = Leaving })
}

// Depart publishes that this node has stopped, and syncs with the other nodes of
// the data centre in turn until one has the record or ctx ends.
func (m *Membership) Depart(ctx context.Context) {
	m.publishSelf(func(v *nodeValue) { v.State = Dead; v.Endpoint = nil })
	for _, node := range m.Local() {
		if m.cfg.Store.Sync(ctx, node) == nil || ctx.Err() != nil {
			return
		}
	}
}

// Resolve returns the address of the peers listener of a node that is not known
// to be dead.
func (m *Membership) Resolve(node string) (addr string, ok bool) {
	addr, ok = m.view.Load().addresses[node]
	return addr, ok
}

// Local implements gossip.Topology.
func (m *Membership) Local() []string { return m.view.Load().local }

// Remote implements gossip.Topology.
func (m *Membership) Remote() map[string][]string { return m.view.Load().remote }

// IsGateway implements gossip.Topology.
func (m *Membership) IsGateway() bool { return m.gatewayRank() >= 0 }

// gatewayRank returns this node's index among the gateways of its data centre,
// or -1 if it is none.
func (m *Membership) gatewayRank() int { return slices.Index(m.view.Load().gateways, m.id.Node) }

// publishSelf changes this node's record and publishes it with a version above
// every version seen so far. It gives up after maxPublishAttempts; nodeChanged
// then schedules a refutation.
func (m *Membership) publishSelf(change func(*nodeValue)) {
	key := nodePrefix + m.id.Node
	for range maxPublishAttempts {
		m.mu.Lock()
		change(&m.self)
		m.version = max(m.version, m.cfg.Store.Version(key)) + 1
		version, value := m.version, mustMarshal(m.self)
		dead := m.self.State == Dead
		m.mu.Unlock()
		if m.setNode(key, version, value, dead) {
			return
		}
	}
}

func (m *Membership) setNode(key string, version uint64, value []byte, dead bool) bool {
	if dead {
		return m.cfg.Store.SetExpiring(key, version, value, m.cfg.Now().Add(deadRecordTTL))
	}
	return m.cfg.Store.Set(key, version, value)
}

// nodeChanged applies a changed record node/<id>.
func (m *Membership) nodeChanged(key string) {
	id := strings.TrimPrefix(key, nodePrefix)
	if id == m.id.Node {
		m.checkSelf(key)
	}
	m.update(func() {
		r, ok := m.cfg.Store.Get(key)
		var v nodeValue
		if !ok || peer.Unmarshal(r.Value, &v) != nil {
			delete(m.nodes, id)
			return
		}
		m.nodes[id] = v.member(id, m.id.DataCentre)
	})
	m.markDirty()
}

// checkSelf schedules the refutation of a newer record about this node that it
// did not write, such as a mark as dead or the record of an earlier process.
func (m *Membership) checkSelf(key string) {
	version := m.cfg.Store.Version(key)
	m.mu.Lock()
	refute := version > m.version && m.self.State != Dead && !m.refuting
	m.refuting = m.refuting || refute
	m.mu.Unlock()
	if refute {
		time.AfterFunc(refuteDelay, m.refute)
	}
}

func (m *Membership) refute() {
	m.mu.Lock()
	m.refuting = false
	m.mu.Unlock()
	m.publishSelf(func(*nodeValue) {})
}

// dcChanged applies a changed record dc/<name>.
func (m *Membership) dcChanged(key string) {
	dc := strings.TrimPrefix(key, dcPrefix)
	m.update(func() {
		r, ok := m.cfg.Store.Get(key)
		var v dcValue
		if !ok || peer.Unmarshal(r.Value, &v) != nil {
			return
		}
		m.remotes[dc] = remoteDC{value: v, lastContact: m.cfg.Now()}
	})
	if dc == m.id.DataCentre {
		m.markDirty()
	}
}

// heartbeatChanged applies a changed record beat/<dc>: it records that the data
// centre is in contact.
func (m *Membership) heartbeatChanged(key string) {
	dc := strings.TrimPrefix(key, HeartbeatPrefix)
	now := m.cfg.Now()
	m.mu.Lock()
	r, known := m.remotes[dc]
	expired := now.Sub(r.lastContact) > contactTimeout
	r.lastContact = now
	if known || dc == m.id.DataCentre {
		m.remotes[dc] = r
	}
	if dc == m.id.DataCentre {
		m.recordPlatformContact(key, now)
	}
	m.mu.Unlock()
	if known && expired {
		m.update(func() {})
	}
}

// update runs change under the lock, rebuilds the view, and notifies the
// watchers of services whose endpoints changed.
func (m *Membership) update(change func()) {
	m.mu.Lock()
	change()
	old := m.view.Load()
	v := buildView(m.self.member(m.id.Node, m.id.DataCentre), m.nodes, m.remotes, m.cfg.Now())
	m.view.Store(v)
	m.mu.Unlock()
	services := changedServices(old, v)
	m.watchMu.RLock()
	watchers := m.watchers
	m.watchMu.RUnlock()
	for _, f := range watchers {
		for _, s := range services {
			f(s)
		}
	}
}

// markDirty makes gatewayLoop check the record of this data centre.
func (m *Membership) markDirty() {
	select {
	case m.dirty <- struct{}{}:
	default: // already marked
	}
}
