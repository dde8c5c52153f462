// Package control measures the control plane of clusters of nodes, as separate
// processes or within one process. Its in-process cluster also serves tests with
// network partitions between data centres.
package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/distribution"
	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/internal/experiment/countconn"
	"github.com/dotterelseam/dotterelseam/keys"
	"github.com/dotterelseam/dotterelseam/membership"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/platform"
)

const clusterSecret = "experiment"

// NodeConfig holds the settings of one node.
type NodeConfig struct {
	Location
	Address     string   // of the peers listener; default: a free port on 127.78.0.1
	Seeds       []string // addresses of peers listeners
	PlatformURL string
	Network     *Network // nil if connections are not relayed
	Service     string   // service of the backend server; empty for none
}

// Node runs the control plane of one node.
type Node struct {
	Location
	Address string
	Mesh    *peer.Mesh
	Store   *gossip.Store
	Members *membership.Membership
	Config  *distribution.Distribution
	Keys    *keys.Store
	Table   *platform.Client

	wireBytes atomic.Int64 // sent and received on control connections between nodes
	network   *Network
	server    *http.Server
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

type countingListener struct {
	net.Listener
	count *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countconn.Conn{Conn: c, Count: l.count}, nil
}

// StartNode starts a node that runs until Kill or Stop.
func StartNode(cfg NodeConfig) (*Node, error) {
	addr := cfg.Address
	if addr == "" {
		addr = "127.78.0.1:0" // not 127.0.0.1, whose ports other processes take while a node restarts
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	n := &Node{Location: cfg.Location, Address: l.Addr().String(), network: cfg.Network}
	dial := (&net.Dialer{}).DialContext
	if cfg.Network != nil {
		cfg.Network.Register(n.Address, cfg.Location)
		dial = cfg.Network.Dialer(cfg.Location)
	}
	n.build(cfg, dial)
	mux := http.NewServeMux()
	mux.Handle(peer.ControlPath, n.Mesh)
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = n.server.Serve(countingListener{l, &n.wireBytes}) }() // ends with Kill
	n.run()
	if cfg.Service != "" {
		n.Members.Announce(&balancer.Endpoint{Service: cfg.Service, Slots: 150, Connections: 1000, State: balancer.Serving})
	}
	return n, nil
}

func (n *Node) build(cfg NodeConfig, dial func(context.Context, string, string) (net.Conn, error)) {
	n.Table = platform.New(platform.Config{
		URL:  cfg.PlatformURL,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4}},
	})
	n.Mesh = peer.NewMesh(peer.Config{
		Identity: peer.Identity{Node: cfg.Node, Incarnation: uint64(time.Now().UnixNano()), DataCentre: cfg.DataCentre},
		Secret:   clusterSecret,
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countconn.Conn{Conn: c, Count: &n.wireBytes}, nil
		},
	})
	n.Store = gossip.New(gossip.Config{Transport: n.Mesh})
	n.Members = membership.New(membership.Config{
		Mesh: n.Mesh, Store: n.Store, Table: n.Table, Region: "region", PeerAddress: n.Address, Seeds: cfg.Seeds,
		DataCentres:     func() []string { return keys.PolicyOf(n.Config.Current()).DataCentres },
		PlatformContact: func() time.Time { return n.Keys.PlatformContact() },
	})
	n.Config = distribution.New(distribution.Config{Platform: n.Table, Mesh: n.Mesh, Store: n.Store, Peers: n.Members})
	n.Keys = keys.New(keys.Config{
		Table: n.Table, Mesh: n.Mesh, Store: n.Store, Peers: n.Members,
		Policy: func() keys.Policy { return keys.PolicyOf(n.Config.Current()) },
	})
}

func (n *Node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, run := range []func(context.Context){n.Store.Run, n.Members.Run, n.Config.Run, n.Keys.Run} {
		n.done.Add(1)
		go func() {
			defer n.done.Done()
			run(ctx)
		}()
	}
}

// Kill stops the node as a crash does: its connections break and it notifies no
// other node. It waits until the node has stopped. It is safe for concurrent use and
// may be called more than once, also after Stop.
func (n *Node) Kill() {
	_ = n.server.Close() // a crashed node reports no errors
	n.Mesh.Close()
	n.cancel()
	n.done.Wait()
}

// Stop performs a planned stop: the node announces its departure and then stops. It
// may be called at most once, and not after Kill.
func (n *Node) Stop(ctx context.Context) {
	n.Members.Leave()
	n.Members.Depart(ctx)
	n.Kill()
}
