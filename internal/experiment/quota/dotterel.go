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

	"github.com/dotterelseam/dotterelseam/internal/experiment/countconn"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/quota"
	"github.com/dotterelseam/dotterelseam/store"
)

const clusterSecret = "experiment"

// dotterelFleet is a fleet of nodes that run only the quota service and a mesh over
// loopback.
type dotterelFleet struct {
	cancel    context.CancelFunc
	table     *httptest.Server
	nodes     []*fleetNode
	cutOff    atomic.Int32 // index of the data centre that is cut off, plus 1; 0 means none
	wireBytes atomic.Int64 // bytes to and from the platform
}

// fleetNode is one node of a dotterelFleet.
type fleetNode struct {
	fleet   *dotterelFleet
	index   int
	id      string
	mesh    *peer.Mesh
	server  *http.Server
	address string
	service *quota.Service
	cancel  context.CancelFunc
	done    sync.WaitGroup
	dead    atomic.Bool
}

func startDotterelFleet(ctx context.Context) (fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &dotterelFleet{cancel: cancel, table: httptest.NewServer(standin.NewPlatform().Handler())}
	for index := range nodeCount {
		n, err := f.listen(index)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.run(ctx)
	}
	return f, nil
}

func dataCentreOf(node int) int { return node / nodesPerDC }

// listen creates a node and starts its mesh listener. run starts its quota service.
func (f *dotterelFleet) listen(index int) (*fleetNode, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &fleetNode{fleet: f, index: index, id: fmt.Sprintf("%s-n%d", dataCentreName(dataCentreOf(index)), index), address: l.Addr().String()}
	n.mesh = peer.NewMesh(peer.Config{Identity: peer.Identity{Node: n.id, Incarnation: 1, DataCentre: dataCentreName(dataCentreOf(index))},
		Secret: clusterSecret, Resolve: f.resolve})
	mux := http.NewServeMux()
	mux.Handle(peer.ControlPath, n.mesh)
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = n.server.Serve(l) }() // ends with Close
	n.service = quota.New(quota.Config{Node: n.id, Incarnation: 1, DataCentre: dataCentreName(dataCentreOf(index)), Transport: n,
		Table: nodeTable{n, countingClient(f.table.URL, &f.wireBytes)}, Members: func() []string { return f.members(dataCentreName(dataCentreOf(index))) }, RemoteMembers: f.members})
	for kind, handle := range n.service.Handlers() {
		n.mesh.Handle(kind, func(ctx context.Context, from peer.Identity, payload []byte) (any, error) {
			return handle(ctx, from.Node, payload)
		})
	}
	return n, nil
}

func (f *dotterelFleet) resolve(id string) (string, bool) {
	for _, n := range f.nodes {
		if n.id == id {
			return n.address, true
		}
	}
	return "", false
}

func (f *dotterelFleet) members(dc string) []string {
	var ids []string
	for _, n := range f.nodes {
		if dataCentreName(dataCentreOf(n.index)) == dc && !n.dead.Load() {
			ids = append(ids, n.id)
		}
	}
	return ids
}

func (n *fleetNode) run(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	n.service.Configure(1, fleetConfig())
	n.done.Go(func() { n.service.Run(ctx) })
}

// Call implements quota.Transport. Calls across the partition, and all calls by a
// killed node, block until ctx ends.
func (n *fleetNode) Call(ctx context.Context, id, kind string, req, resp any) error {
	if n.dead.Load() || n.fleet.isCutOff(n, id) {
		<-ctx.Done()
		return ctx.Err()
	}
	err := n.mesh.Call(ctx, id, kind, req, resp)
	if n.fleet.isCutOff(n, id) {
		<-ctx.Done() // the partition began before the answer arrived
		return ctx.Err()
	}
	return err
}

// isCutOff reports whether the partition separates two nodes.
func (f *dotterelFleet) isCutOff(from *fleetNode, id string) bool {
	cut := int(f.cutOff.Load()) - 1
	if cut < 0 {
		return false
	}
	for _, n := range f.nodes {
		if n.id == id {
			return (dataCentreOf(n.index) == cut) != (dataCentreOf(from.index) == cut)
		}
	}
	return false
}

func (f *dotterelFleet) take(ctx context.Context, index int, workspace string) bool {
	return f.nodes[index].service.Bucket.Take(ctx, workspace) == nil
}

func (f *dotterelFleet) partition(dc int, on bool) {
	if on {
		f.cutOff.Store(int32(dc + 1))
		return
	}
	f.cutOff.Store(0)
}

func (f *dotterelFleet) holder(dc int) int {
	for _, n := range f.nodes {
		if dataCentreOf(n.index) == dc && n.service.Elector.Status().Lending {
			return n.index
		}
	}
	return dc * nodesPerDC
}

// kill stops a node abruptly: it returns no quota.
func (f *dotterelFleet) kill(index int) {
	n := f.nodes[index]
	n.dead.Store(true)
	n.mesh.Close()
	_ = n.server.Close() // an error makes no difference to a killed node
}

func (f *dotterelFleet) controlBytes() int64 {
	total := f.wireBytes.Load()
	for _, n := range f.nodes {
		sent, received := n.mesh.Traffic()
		total += sent + received
	}
	return total
}

func (f *dotterelFleet) close() {
	for _, n := range f.nodes {
		n.dead.Store(true) // no handover at the end of the experiment
	}
	f.cancel()
	for _, n := range f.nodes {
		n.mesh.Close()
		_ = n.server.Close()
		n.done.Wait()
	}
	f.table.Close()
}

// nodeTable is a node's client of the platform. Its calls fail if the node is dead
// or in the data centre that is cut off.
type nodeTable struct {
	node   *fleetNode
	client *platform.Client
}

func (t nodeTable) reachable() error {
	if t.node.dead.Load() || int(t.node.fleet.cutOff.Load())-1 == dataCentreOf(t.node.index) {
		return store.ErrUnavailable.New("cut off")
	}
	return nil
}

// Get implements lease.Table.
func (t nodeTable) Get(ctx context.Context, key string) (store.Row, error) {
	if err := t.reachable(); err != nil {
		return store.Row{}, err
	}
	return t.client.Get(ctx, key)
}

// Put implements lease.Table.
func (t nodeTable) Put(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	if err := t.reachable(); err != nil {
		return 0, err
	}
	return t.client.Put(ctx, key, ifVersion, value)
}

// List implements lease.Table.
func (t nodeTable) List(ctx context.Context, prefix string, after uint64) ([]store.Row, error) {
	if err := t.reachable(); err != nil {
		return nil, err
	}
	return t.client.List(ctx, prefix, after)
}

var _ lease.Table = nodeTable{}

// countingClient returns a client of the platform that adds the bytes of its
// connections to count.
func countingClient(url string, count *atomic.Int64) *platform.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countconn.Conn{Conn: c, Count: count}, nil
	}
	return platform.New(platform.Config{URL: url, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8}}})
}
