package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/publish"
)

// Error is the class of errors of clusters.
var Error = errs.Class("harness")

// Ports of the listeners; each host of a cluster has its own loopback address.
const (
	callersPort   = 7001
	localPort     = 7002
	peersPort     = 7003
	operatorsPort = 7004
	backendPort   = 7100
	platformPort  = 7000
)

// PlatformZone is the network zone of the platform. The other zones are the data
// centres.
const PlatformZone = "platform"

// ClusterSecret is the cluster_secret setting of all nodes of test clusters.
const ClusterSecret = "integration-test-secret"

const (
	startTimeout = 20 * time.Second

	// Addresses are 127.C.Z.H. C is the cluster: one of clusterOctets values from
	// firstClusterOctet. Z is the index of the data centre for nodes, that index plus
	// proxyOctetBase for the proxies in front of them, and platformOctet for the platform.
	// H is the host.
	proxyOctetBase    = 100
	platformOctet     = 250
	firstClusterOctet = 10
	clusterOctets     = 230

	maxLogBytesInError = 4 << 10
)

// NodeSpec describes a node and the backend server on its host.
type NodeSpec struct {
	DataCentre string
	Backend    standin.BackendConfig // no backend server runs if Service is empty
}

// Options describe a cluster.
type Options struct {
	Document *config.Document // published before the nodes start; nil publishes nothing
	Nodes    []NodeSpec
	Dir      string // directory for settings files
	// ExternalBackends disables the built-in backend servers; the caller starts its own.
	ExternalBackends bool
	StopLimit        time.Duration // stop_limit setting of the nodes; default 10 s
}

// Node is a node process with its backend server.
type Node struct {
	Name, DataCentre                                  string
	Callers, Local, Peers, Operators                  string // ip:port
	Backend                                           *standin.Backend
	Process                                           *Process
	settingsPath, ip, advertisedPeers, backendAddress string
	stopBackend                                       func()
}

// Cluster is a fake platform and node processes, connected through a Network. It is not
// safe for concurrent use.
type Cluster struct {
	Platform *standin.Platform
	Client   *platform.Client // connects to the platform directly, without the network's faults
	URL      string           // of the platform, without the network's faults
	Network  *Network
	Nodes    []*Node

	options     Options
	reservation net.Listener
	servers     []*http.Server
	prefix      string // "127.N"
	platformURL string // behind the network
	zones       []string
}

// StartCluster publishes the document and starts every node with Start. It stops
// everything that it started if it returns an error.
func StartCluster(o Options) (*Cluster, error) {
	if o.StopLimit == 0 {
		o.StopLimit = 10 * time.Second
	}
	c := &Cluster{Platform: standin.NewPlatform(), Network: NewNetwork(), options: o}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	if err := c.reserveLoopbackPrefix(); err != nil {
		return err
	}
	if err := c.startPlatform(); err != nil {
		return err
	}
	for i := range c.options.Nodes {
		if err := c.addNode(i, c.options.Nodes[i]); err != nil {
			return err
		}
	}
	for _, n := range c.Nodes {
		if err := c.Start(n); err != nil {
			return err
		}
	}
	return nil
}

var nextClusterOctet atomic.Uint32

func (c *Cluster) reserveLoopbackPrefix() (err error) {
	c.prefix, c.reservation, err = ReserveLoopbackPrefix()
	return err
}

// ReserveLoopbackPrefix reserves a /16 of the loopback range for one cluster, so that
// clusters of concurrent test processes on this machine do not share addresses. The
// reservation is held by a listener and ends when the listener is closed. The prefix
// is the first two octets, such as "127.10".
func ReserveLoopbackPrefix() (prefix string, reservation net.Listener, err error) {
	for range clusterOctets {
		octet := firstClusterOctet + (uint32(os.Getpid())+nextClusterOctet.Add(1))%clusterOctets
		prefix := fmt.Sprintf("127.%d", octet)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d.1:%d", prefix, platformOctet, platformPort+1))
		if err == nil {
			return prefix, l, nil
		}
	}
	return "", nil, Error.New("no free /16 in the loopback range: tried %d", clusterOctets)
}

func (c *Cluster) startPlatform() error {
	addr := fmt.Sprintf("%s.%d.1:%d", c.prefix, platformOctet, platformPort)
	if err := c.serve(addr, &http.Server{Handler: c.Platform.Handler()}); err != nil {
		return err
	}
	c.URL = "http://" + addr
	proxyAddress, err := c.Network.Proxy(fmt.Sprintf("%s.%d.2:%d", c.prefix, platformOctet, platformPort), addr, PlatformZone)
	if err != nil {
		return Error.Wrap(err)
	}
	c.platformURL = "http://" + proxyAddress
	c.Client = platform.New(platform.Config{URL: c.URL, CallTimeout: 5 * time.Second})
	if c.options.Document == nil {
		return nil
	}
	_, err = publish.Publish(context.Background(), c.Client, 0, c.options.Document)
	return Error.Wrap(err)
}

func (c *Cluster) serve(addr string, srv *http.Server) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return Error.Wrap(err)
	}
	c.servers = append(c.servers, srv)
	go func() { _ = srv.Serve(l) }() // returns when Close closes the server
	return nil
}

func (c *Cluster) zoneIndex(name string) int {
	for i, z := range c.zones {
		if z == name {
			return i
		}
	}
	c.zones = append(c.zones, name)
	return len(c.zones) - 1
}

func (c *Cluster) addNode(i int, spec NodeSpec) error {
	zone := c.zoneIndex(spec.DataCentre)
	ip := fmt.Sprintf("%s.%d.%d", c.prefix, zone, i+1)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n := &Node{
		Name: fmt.Sprintf("%s-%d", spec.DataCentre, i+1), DataCentre: spec.DataCentre, ip: ip,
		Callers: at(callersPort), Local: at(localPort), Peers: at(peersPort), Operators: at(operatorsPort),
		backendAddress: at(backendPort), settingsPath: filepath.Join(c.options.Dir, fmt.Sprintf("node-%d.yaml", i+1)),
	}
	c.Network.SetZone(ip, spec.DataCentre)
	proxy := fmt.Sprintf("%s.%d.%d:%d", c.prefix, zone+proxyOctetBase, i+1, peersPort)
	var err error
	n.advertisedPeers, err = c.Network.Proxy(proxy, n.Peers, spec.DataCentre)
	c.Nodes = append(c.Nodes, n)
	return Error.Wrap(err)
}

// Start writes the settings of a node, starts it with its backend server and waits
// until the node is ready. It does not wait if the cluster has no document.
func (c *Cluster) Start(n *Node) error {
	binary, err := Binary("cmd/dotterelnode")
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(n.settingsPath, []byte(c.settings(n)), 0o600); err != nil {
		return Error.Wrap(err)
	}
	n.Process, err = StartProcess(binary, "-settings", n.settingsPath)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := c.startBackend(n); err != nil || c.options.Document == nil {
		return err
	}
	return c.WaitReady(n)
}

// WaitReady waits up to 20 s until the health endpoint of the node returns 200.
func (c *Cluster) WaitReady(n *Node) error {
	err := Eventually(startTimeout, func() error {
		resp, err := http.Get("http://" + n.Operators + "/v1/health")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return Error.New("%s: health endpoint returned status %d", n.Name, resp.StatusCode)
		}
		return nil
	})
	if err != nil {
		logs := n.Process.Logs()
		return Error.New("%v; log of %s: %s", err, n.Name, logs[max(0, len(logs)-maxLogBytesInError):])
	}
	return nil
}

func (c *Cluster) settings(n *Node) string {
	var seeds []string
	for _, other := range c.Nodes {
		if other != n && len(seeds) < 4 {
			seeds = append(seeds, other.advertisedPeers)
		}
	}
	return fmt.Sprintf(`name: %s
data_centre: %s
region: test
addresses:
  callers: %s
  local: %s
  peers: %s
  peers_advertised: %s
  operators: %s
platform: %s
seeds: [%s]
cluster_secret: %s
stop_limit: %s
`, n.Name, n.DataCentre, n.Callers, n.Local, n.Peers, n.advertisedPeers, n.Operators, c.platformURL,
		strings.Join(quoted(seeds), ", "), ClusterSecret, c.options.StopLimit)
}

func quoted(in []string) []string {
	out := make([]string, len(in))
	for i, s := range in {
		out[i] = fmt.Sprintf("%q", s)
	}
	return out
}

// startBackend starts the backend server of a node in this process, unless it is
// running already.
func (c *Cluster) startBackend(n *Node) error {
	cfg := c.spec(n).Backend
	if cfg.Service == "" || c.options.ExternalBackends || n.Backend != nil {
		return nil
	}
	cfg.Address, cfg.Local = n.backendAddress, "http://"+n.Local
	n.Backend = standin.NewBackend(cfg)
	if err := c.serve(n.backendAddress, &http.Server{Handler: n.Backend.Handler(), ConnState: n.Backend.ConnState}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stopBackend = cancel
	go n.Backend.Announce(ctx)
	return nil
}

func (c *Cluster) spec(n *Node) NodeSpec {
	for i, other := range c.Nodes {
		if other == n {
			return c.options.Nodes[i]
		}
	}
	return NodeSpec{}
}

// BackendAddress returns the address reserved for the backend server of the node,
// ip:port.
func (n *Node) BackendAddress() string { return n.backendAddress }

// Stop sends SIGTERM to the node and returns its exit code. If the node has not
// exited 5 s after StopLimit, the error is of class ErrTimeout and the node keeps
// running.
func (c *Cluster) Stop(n *Node) (int, error) {
	if err := n.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, Error.Wrap(err)
	}
	return n.Process.Wait(c.options.StopLimit + 5*time.Second)
}

// Close stops everything that the cluster started. Nodes are killed.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		if n.stopBackend != nil {
			n.stopBackend()
		}
		if n.Process != nil {
			n.Process.Kill()
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.Network.Close()
	if c.reservation != nil {
		_ = c.reservation.Close()
	}
}
