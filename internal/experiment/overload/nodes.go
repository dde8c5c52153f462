package overload

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/ledger"
	"github.com/dotterelseam/dotterelseam/node"
	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	// callTreeAttempts is the attempt bound of the entry routes. The bound is one
	// lower for each hop further down the chain.
	callTreeAttempts  = 6
	region            = "r"
	dataCentres       = 2
	startTimeout      = 5 * time.Second
	startPollInterval = 10 * time.Millisecond
)

// nodeTestbed is the testbed of mode dotterel: a node on each host, spread over two
// data centres. Keys, quota and the configuration are fixed and the nodes share one
// directory, so that the control plane does not affect the measures.
type nodeTestbed struct {
	serverGroup
	stop      context.CancelFunc
	done      sync.WaitGroup
	directory *directory
	snapshot  *config.Snapshot
	callers   []string // base URLs of the callers listeners
}

func newNodeTestbed() (testbed, error) {
	ctx, cancel := context.WithCancel(context.Background())
	tb := &nodeTestbed{stop: cancel, directory: &directory{endpoints: map[string]balancer.Endpoint{}}}
	if err := tb.start(ctx); err != nil {
		tb.close()
		return nil, err
	}
	return tb, nil
}

func (tb *nodeTestbed) start(ctx context.Context) error {
	var err error
	if tb.snapshot, err = newSnapshot(); err != nil {
		return err
	}
	for _, t := range chain {
		for i := range t.servers {
			if err := tb.add(ctx, t, i); err != nil {
				return err
			}
		}
	}
	return tb.waitServing(ctx)
}

// add starts a node and the backend server on its host.
func (tb *nodeTestbed) add(ctx context.Context, t tier, number int) error {
	var listeners [4]net.Listener
	var err error
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return Error.Wrap(err)
		}
	}
	id := fmt.Sprintf("%s%d", t.service, number)
	n, err := node.New(node.Config{
		ID: id, Incarnation: 1, DataCentre: dataCentreName(number), Region: region, ClusterSecret: "overload-experiment",
		PeerAddress: listeners[2].Addr().String(),
		Callers:     listeners[0], Local: listeners[1], Peers: listeners[2], Operators: listeners[3],
		Configuration: fixedConfiguration{tb.snapshot}, Keys: workspaceNameKeys{}, Quota: unlimitedQuota{},
		Directory: nodeDirectory{tb.directory, id}, Ledger: ledger.New(nil), // no route uses it
	})
	if err != nil {
		return Error.Wrap(err)
	}
	tb.done.Go(func() { _ = n.Run(ctx) }) // ends with ctx
	if _, err := tb.addBackend(t, "http://"+listeners[1].Addr().String()); err != nil {
		return err
	}
	b := tb.backends[t.service][number]
	tb.done.Go(func() { b.Announce(ctx) })
	tb.callers = append(tb.callers, "http://"+listeners[0].Addr().String())
	return nil
}

func dataCentreName(number int) string { return fmt.Sprintf("dc%d", number%dataCentres) }

// waitServing waits until all backend servers are announced as serving.
func (tb *nodeTestbed) waitServing(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for tb.directory.servingCount() < len(tb.callers) {
		if time.Now().After(deadline) {
			return Error.New("%d of %d backend servers are serving after %v", tb.directory.servingCount(), len(tb.callers), startTimeout)
		}
		if err := sleepUntil(ctx, time.Now().Add(startPollInterval)); err != nil {
			return err
		}
	}
	return nil
}

func (tb *nodeTestbed) entries() []string { return tb.callers }

func (tb *nodeTestbed) close() {
	tb.stop()
	tb.serverGroup.close()
	tb.done.Wait()
}

// newSnapshot returns the configuration: one entry route per importance, and one
// route for each onward call. The quota is never reached.
func newSnapshot() (*config.Snapshot, error) {
	d := &config.Document{Fleet: config.Fleet{Keys: config.KeyPolicy{CutOffLimit: config.DefaultCutOffLimit}}}
	for i := range dataCentres {
		d.Fleet.DataCentres = append(d.Fleet.DataCentres, config.DataCentre{Name: dataCentreName(i), Region: region, Share: 1.0 / dataCentres})
	}
	for _, w := range workspaces {
		d.Fleet.Workspaces = append(d.Fleet.Workspaces, config.Workspace{Name: w.name, Rate: 1e6, Burst: 1e6})
	}
	for depth, t := range chain {
		s := config.Service{Name: t.service}
		for _, c := range loadMix {
			if depth == 0 {
				s.Routes = append(s.Routes, route("GET /"+c.importance.String(), c.importance, callTreeAttempts))
			}
		}
		if depth > 0 {
			s.Routes = append(s.Routes, route("GET /item", config.Normal, callTreeAttempts-depth))
		}
		d.Services = append(d.Services, s)
	}
	encoded, err := config.Encode(d)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s, err := config.Decode(1, encoded)
	return s, Error.Wrap(err)
}

func route(pattern string, i config.Importance, attempts int) config.Route {
	return config.Route{
		Pattern: pattern, Importance: i, Idempotent: true, Attempts: attempts, Timeout: clientTimeout,
		MaxBody: config.DefaultMaxBody,
	}
}

// directory holds the endpoints of all backend servers. It is safe for concurrent
// use.
type directory struct {
	mu        sync.Mutex
	endpoints map[string]balancer.Endpoint // by node
	watchers  []func(string)
}

func (d *directory) Endpoints(service string) []balancer.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []balancer.Endpoint
	for _, e := range d.endpoints {
		if e.Service == service {
			out = append(out, e)
		}
	}
	return out
}

func (d *directory) Watch(f func(string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, f)
}

func (d *directory) servingCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.endpoints {
		if e.State == balancer.Serving {
			n++
		}
	}
	return n
}

func (d *directory) set(id string, e *balancer.Endpoint) {
	d.mu.Lock()
	service := d.endpoints[id].Service
	delete(d.endpoints, id)
	if e != nil {
		d.endpoints[id], service = *e, e.Service
	}
	watchers := slices.Clone(d.watchers)
	d.mu.Unlock()
	for _, f := range watchers {
		f(service)
	}
}

// nodeDirectory gives one node access to the shared directory.
type nodeDirectory struct {
	*directory
	id string
}

func (d nodeDirectory) Announce(e *balancer.Endpoint) { d.set(d.id, e) }

type fixedConfiguration struct{ snapshot *config.Snapshot }

func (c fixedConfiguration) Current() *config.Snapshot { return c.snapshot }

// workspaceNameKeys accepts the name of a workspace as its key.
type workspaceNameKeys struct{}

func (workspaceNameKeys) Lookup(key string) (string, error) {
	if key == "" {
		return "", refusal.New(refusal.NoKey, "no key")
	}
	return key, nil
}

// unlimitedQuota admits every request.
type unlimitedQuota struct{}

func (unlimitedQuota) Charge(context.Context, string) (node.Charge, error) {
	return unlimitedQuota{}, nil
}
func (unlimitedQuota) Sent()   {}
func (unlimitedQuota) Return() {}
