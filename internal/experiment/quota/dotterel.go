package quota

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/experiment/wire"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/quota"
	"github.com/dotterelseam/dotterelseam/store"
)

const secret = "experiment"

// dotterel is a fleet of quota services with a mesh over loopback.
type dotterel struct {
	cancel context.CancelFunc
	table  *httptest.Server
	nodes  []*member
	cut    atomic.Int32 // data centre that is cut off plus 1; 0 means none
	wire   atomic.Int64 // bytes to and from the platform
}

// member is one node.
type member struct {
	fleet    *dotterel
	index    int
	id       string
	mesh     *peer.Mesh
	server   *http.Server
	address  string
	service  *quota.Service
	cancel   context.CancelFunc
	finished sync.WaitGroup
	dead     atomic.Bool
}

func startDotterel(ctx context.Context) (fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &dotterel{cancel: cancel, table: httptest.NewServer(standin.NewPlatform().Handler())}
	for i := range nodeCount {
		m, err := f.listen(i)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, m)
	}
	for _, m := range f.nodes {
		m.run(ctx)
	}
	return f, nil
}

func dcOf(node int) int { return node / nodesPerDC }

func (f *dotterel) listen(i int) (*member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &member{fleet: f, index: i, id: fmt.Sprintf("%s-n%d", dcName(dcOf(i)), i), address: l.Addr().String()}
	m.mesh = peer.NewMesh(peer.Config{Identity: peer.Identity{Node: m.id, Incarnation: 1, DataCentre: dcName(dcOf(i))},
		Secret: secret, Resolve: f.resolve})
	mux := http.NewServeMux()
	mux.Handle(peer.ControlPath, m.mesh)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = m.server.Serve(l) }() // ends with Close
	m.service = quota.New(quota.Config{Node: m.id, Incarnation: 1, DataCentre: dcName(dcOf(i)), Transport: m,
		Table: cutTable{m, countedClient(f.table.URL, &f.wire)}, Members: func() []string { return f.members(dcName(dcOf(i))) }, RemoteMembers: f.members})
	for kind, handle := range m.service.Handlers() {
		m.mesh.Handle(kind, func(ctx context.Context, from peer.Identity, payload []byte) (any, error) {
			return handle(ctx, from.Node, payload)
		})
	}
	return m, nil
}

func (f *dotterel) resolve(node string) (string, bool) {
	for _, m := range f.nodes {
		if m.id == node {
			return m.address, true
		}
	}
	return "", false
}

func (f *dotterel) members(dc string) []string {
	var ids []string
	for _, m := range f.nodes {
		if dcName(dcOf(m.index)) == dc && !m.dead.Load() {
			ids = append(ids, m.id)
		}
	}
	return ids
}

func (m *member) run(ctx context.Context) {
	ctx, m.cancel = context.WithCancel(ctx)
	m.service.Configure(1, fleetConfig())
	m.finished.Go(func() { m.service.Run(ctx) })
}

// Call implements quota.Transport. Messages across the partition are lost.
func (m *member) Call(ctx context.Context, node, kind string, req, resp any) error {
	if m.dead.Load() || m.fleet.isCut(m, node) {
		<-ctx.Done()
		return ctx.Err()
	}
	err := m.mesh.Call(ctx, node, kind, req, resp)
	if m.fleet.isCut(m, node) {
		<-ctx.Done() // the answer came too late
		return ctx.Err()
	}
	return err
}

func (f *dotterel) isCut(from *member, node string) bool {
	cut := int(f.cut.Load()) - 1
	if cut < 0 {
		return false
	}
	for _, m := range f.nodes {
		if m.id == node {
			return (dcOf(m.index) == cut) != (dcOf(from.index) == cut)
		}
	}
	return false
}

func (f *dotterel) take(ctx context.Context, node int, workspace string) bool {
	return f.nodes[node].service.Bucket.Take(ctx, workspace) == nil
}

func (f *dotterel) partition(dc int, on bool) {
	if on {
		f.cut.Store(int32(dc + 1))
		return
	}
	f.cut.Store(0)
}

func (f *dotterel) holder(dc int) int {
	for _, m := range f.nodes {
		if dcOf(m.index) == dc && m.service.Elector.Status().Lending {
			return m.index
		}
	}
	return dc * nodesPerDC
}

// kill ends a node without handing anything back.
func (f *dotterel) kill(node int) {
	m := f.nodes[node]
	m.dead.Store(true)
	m.mesh.Close()
	_ = m.server.Close() // the node is gone either way
}

func (f *dotterel) bytes() int64 {
	total := f.wire.Load()
	for _, m := range f.nodes {
		sent, received := m.mesh.Traffic()
		total += sent + received
	}
	return total
}

func (f *dotterel) close() {
	for _, m := range f.nodes {
		m.dead.Store(true) // nothing is handed over at the end of the experiment
	}
	f.cancel()
	for _, m := range f.nodes {
		m.mesh.Close()
		_ = m.server.Close()
		m.finished.Wait()
	}
	f.table.Close()
}

// cutTable is the platform, which a cut off data centre and a dead node do not reach.
type cutTable struct {
	m    *member
	next *platform.Client
}

func (t cutTable) reachable() error {
	if t.m.dead.Load() || int(t.m.fleet.cut.Load())-1 == dcOf(t.m.index) {
		return store.ErrUnavailable.New("cut off")
	}
	return nil
}

// Get implements lease.Table.
func (t cutTable) Get(ctx context.Context, key string) (store.Row, error) {
	if err := t.reachable(); err != nil {
		return store.Row{}, err
	}
	return t.next.Get(ctx, key)
}

// Put implements lease.Table.
func (t cutTable) Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	if err := t.reachable(); err != nil {
		return 0, err
	}
	return t.next.Put(ctx, key, ifVersion, value)
}

// List implements lease.Table.
func (t cutTable) List(ctx context.Context, prefix string, after uint64) ([]store.Row, error) {
	if err := t.reachable(); err != nil {
		return nil, err
	}
	return t.next.List(ctx, prefix, after)
}

var _ lease.Table = cutTable{}

// countedClient counts the bytes of its connections.
func countedClient(url string, count *atomic.Int64) *platform.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return wire.CountingConn{Conn: c, Count: count}, nil
	}
	return platform.New(platform.Config{URL: url, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8}}})
}
