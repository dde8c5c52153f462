package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/publish"
)

// PlatformLocation is where the platform runs, for the rules of a Network.
var PlatformLocation = Location{Node: "platform", DataCentre: "platform"}

// Cluster is a fleet of in-process nodes with a stand-in of the platform. Start and
// Remove are safe for concurrent use with each other, but not while Nodes is read.
type Cluster struct {
	Platform    *standin.Platform
	PlatformURL string
	Table       *platform.Client // client for operators
	Network     *Network         // nil if connections are not relayed
	DataCentres []string

	mu     sync.Mutex
	Nodes  []*Node
	server *http.Server
}

// NewCluster starts the platform and perDC nodes in each data centre. The
// first node of each data centre is a seed.
func NewCluster(dcs []string, perDC int, network *Network) (*Cluster, error) {
	c := &Cluster{Platform: standin.NewPlatform(), Network: network, DataCentres: dcs}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.PlatformURL = "http://" + l.Addr().String()
	c.server = &http.Server{Handler: c.Platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(l) }() // ends with Close
	if network != nil {
		network.Register(l.Addr().String(), PlatformLocation)
	}
	c.Table = platform.New(platform.Config{URL: c.PlatformURL})
	for i := range perDC {
		for _, dc := range dcs {
			if _, err := c.Start(NodeConfig{Location: Location{fmt.Sprintf("%s-%d", dc, i), dc}, Service: "stockroom"}); err != nil {
				c.Close()
				return nil, err
			}
		}
	}
	return c, nil
}

// Start starts a node and adds it to the cluster. PlatformURL and Network of cfg are
// replaced by those of the cluster; Seeds defaults to the addresses of the oldest
// nodes still in Nodes, at most as many as there are data centres.
func (c *Cluster) Start(cfg NodeConfig) (*Node, error) {
	cfg.PlatformURL, cfg.Network = c.PlatformURL, c.Network
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg.Seeds == nil {
		for i := range min(len(c.Nodes), len(c.DataCentres)) {
			cfg.Seeds = append(cfg.Seeds, c.Nodes[i].Address)
		}
	}
	n, err := StartNode(cfg)
	if err == nil {
		c.Nodes = append(c.Nodes, n)
	}
	return n, err
}

// Remove removes a node that was stopped or killed from Nodes.
func (c *Cluster) Remove(n *Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.Nodes {
		if c.Nodes[i] == n {
			c.Nodes = append(c.Nodes[:i:i], c.Nodes[i+1:]...)
			return
		}
	}
}

// Close kills all nodes and stops the platform.
func (c *Cluster) Close() {
	var wg sync.WaitGroup
	for _, n := range c.Nodes {
		wg.Add(1)
		go func() { defer wg.Done(); n.Kill() }()
	}
	wg.Wait()
	_ = c.server.Close() // nothing uses the platform any more
}

// Document returns a valid configuration with the given quota rate, in requests per
// second, and cut-off limit of keys. Different rates give different documents.
func (c *Cluster) Document(rate float64, cutOff time.Duration) *config.Document {
	d := &config.Document{
		Fleet: config.Fleet{
			Workspaces: []config.Workspace{{Name: "farm", Rate: rate, Burst: 2 * rate}},
			Keys:       config.KeyPolicy{CutOffLimit: cutOff},
		},
		Services: []config.Service{{Name: "stockroom", Routes: []config.Route{{
			Pattern: "GET /stock/{sku}", Idempotent: true, Attempts: 3, Timeout: time.Second,
		}}}},
	}
	for _, dc := range c.DataCentres {
		d.Fleet.DataCentres = append(d.Fleet.DataCentres, config.DataCentre{
			Name: dc, Region: "region", Share: 1 / float64(len(c.DataCentres)),
		})
	}
	return d
}

// Publish publishes a document on top of the current version and returns the new
// version.
func (c *Cluster) Publish(ctx context.Context, d *config.Document) (uint64, error) {
	from, err := publish.ReadCurrent(ctx, c.Table)
	if err != nil {
		return 0, err
	}
	current, err := publish.Publish(ctx, c.Table, from.Version, d)
	return current.Version, err
}

// ErrTimeout means that a condition was not met before a context ended or a time
// limit passed.
var ErrTimeout = errors.New("condition not met in time")

const conditionPollInterval = 5 * time.Millisecond

// Eventually polls condition until it returns true. It returns ErrTimeout if ctx ends
// first, also if ctx was cancelled; the error of ctx is not wrapped.
func Eventually(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(conditionPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ErrTimeout
		case <-ticker.C:
		}
	}
	return nil
}

// Converged reports whether all nodes have the given configuration version in force
// and know all nodes of their data centre and the endpoints of all nodes.
func (c *Cluster) Converged(version uint64) bool {
	perDC := map[string]int{}
	for _, n := range c.Nodes {
		perDC[n.DataCentre]++
	}
	for _, n := range c.Nodes {
		s := n.Config.Current()
		if s == nil || s.Version != version {
			return false
		}
		if len(n.Members.Members()) != perDC[n.DataCentre] || len(n.Members.Endpoints("stockroom")) != len(c.Nodes) {
			return false
		}
	}
	return true
}
