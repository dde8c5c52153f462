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
	// treeAttempts is the attempt bound of the entry routes. Each route further down
	// has one less.
	treeAttempts = 6
	region       = "r"
	dataCentres  = 2
	startLimit   = 5 * time.Second
	startPoll    = 10 * time.Millisecond
)

// nodeStage runs mode dotterel: a node on each host, spread over two data centres.
// Keys, quota, the configuration and the directory are fixed, so that the control
// plane plays no part in the measures.
type nodeStage struct {
	hosts
	stop      context.CancelFunc
	done      sync.WaitGroup
	directory *directory
	snapshot  *config.Snapshot
	callers   []string
}

func newNodeStage() (stage, error) {
	ctx, cancel := context.WithCancel(context.Background())
	st := &nodeStage{stop: cancel, directory: &directory{endpoints: map[string]balancer.Endpoint{}}}
	if err := st.start(ctx); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

func (st *nodeStage) start(ctx context.Context) error {
	var err error
	if st.snapshot, err = snapshot(); err != nil {
		return err
	}
	for _, t := range chain {
		for i := range t.servers {
			if err := st.add(ctx, t, i); err != nil {
				return err
			}
		}
	}
	return st.waitServing(ctx)
}

// add starts one host.
func (st *nodeStage) add(ctx context.Context, t tier, number int) error {
	var listeners [4]net.Listener
	var err error
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return Error.Wrap(err)
		}
	}
	id := fmt.Sprintf("%s%d", t.service, number)
	n, err := node.New(node.Config{
		ID: id, Incarnation: 1, DataCentre: dataCentre(number), Region: region, ClusterSecret: "overload-experiment",
		PeerAddress: listeners[2].Addr().String(),
		Callers:     listeners[0], Local: listeners[1], Peers: listeners[2], Operators: listeners[3],
		Configuration: fixedConfiguration{st.snapshot}, Keys: keyIsWorkspace{}, Quota: noQuota{},
		Directory: view{st.directory, id}, Ledger: ledger.New(nil), // no route uses it
	})
	if err != nil {
		return Error.Wrap(err)
	}
	st.done.Go(func() { _ = n.Run(ctx) }) // ends with ctx
	if _, err := st.addBackend(t, "http://"+listeners[1].Addr().String()); err != nil {
		return err
	}
	b := st.backends[t.service][number]
	st.done.Go(func() { b.Announce(ctx) })
	st.callers = append(st.callers, "http://"+listeners[0].Addr().String())
	return nil
}

func dataCentre(number int) string { return fmt.Sprintf("dc%d", number%dataCentres) }

// waitServing waits until all backend servers have been announced.
func (st *nodeStage) waitServing(ctx context.Context) error {
	deadline := time.Now().Add(startLimit)
	for st.directory.serving() < len(st.callers) {
		if time.Now().After(deadline) {
			return Error.New("%d of %d backend servers are announced after %v", st.directory.serving(), len(st.callers), startLimit)
		}
		if err := sleepUntil(ctx, time.Now().Add(startPoll)); err != nil {
			return err
		}
	}
	return nil
}

func (st *nodeStage) entries() []string { return st.callers }

func (st *nodeStage) close() {
	st.stop()
	st.hosts.close()
	st.done.Wait()
}

// snapshot returns the configuration: one entry route per importance, and one
// route for each onward call.
func snapshot() (*config.Snapshot, error) {
	d := &config.Document{Fleet: config.Fleet{Keys: config.KeyPolicy{CutOffLimit: config.DefaultCutOffLimit}}}
	for i := range dataCentres {
		d.Fleet.DataCentres = append(d.Fleet.DataCentres, config.DataCentre{Name: dataCentre(i), Region: region, Share: 1.0 / dataCentres})
	}
	for _, w := range workspaces {
		d.Fleet.Workspaces = append(d.Fleet.Workspaces, config.Workspace{Name: w.name, Rate: 1e6, Burst: 1e6})
	}
	for depth, t := range chain {
		s := config.Service{Name: t.service}
		for _, c := range mix {
			if depth == 0 {
				s.Routes = append(s.Routes, route("GET /"+c.importance.String(), c.importance, treeAttempts))
			}
		}
		if depth > 0 {
			s.Routes = append(s.Routes, route("GET /item", config.Normal, treeAttempts-depth))
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

// directory knows the endpoints of all hosts.
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

func (d *directory) serving() int {
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

// view is one node's part in the directory.
type view struct {
	*directory
	id string
}

func (v view) Announce(e *balancer.Endpoint) { v.set(v.id, e) }

type fixedConfiguration struct{ s *config.Snapshot }

func (c fixedConfiguration) Current() *config.Snapshot { return c.s }

// keyIsWorkspace takes the key for the workspace's name.
type keyIsWorkspace struct{}

func (keyIsWorkspace) Lookup(key string) (string, error) {
	if key == "" {
		return "", refusal.New(refusal.NoKey, "no key")
	}
	return key, nil
}

type noQuota struct{}

func (noQuota) Charge(context.Context, string) (node.Charge, error) { return noQuota{}, nil }
func (noQuota) Sent()                                               {}
func (noQuota) Return()                                             {}
