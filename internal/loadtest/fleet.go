// Package loadtest plays loads against a fleet of nodes in virtual time and counts what
// callers get. Nodes, backend servers and callers run in one process and talk over
// in-memory connections, so a test of package testing/synctest passes minutes of load
// in seconds. It is meant for decisions under load: there is no store, no membership and
// no faulty network.
package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/node"
	"github.com/dotterelseam/dotterelseam/retry"
)

// Service is a service with its backend servers. Each has a host with a node of its own.
type Service struct {
	Name    string
	Servers int
	Slots   int // requests that one server runs concurrently
}

// Route is one kind of request. Callers send requests of all routes but the internal ones,
// which only backend servers call.
type Route struct {
	Name       string
	Service    string
	Importance config.Importance
	Idempotent bool
	Internal   bool
	Work       time.Duration // mean time that a backend server works on it, without its calls
	Calls      []string      // routes that the backend server calls while it runs it, one after the other
	Objective  time.Duration // latency objective
	Timeout    time.Duration // of a caller, and of the route
}

// attemptsPerRequest is the number of backend servers that one request may be sent to.
const attemptsPerRequest = 2

// Settings of the nodes, as on the users' platform.
const (
	retryRatio          = 0.15
	retryBurst          = 3
	minRetriesPerSecond = 0.1
)

// Fleet is a set of nodes with their backend servers. New must be called, and the Fleet
// used, inside a synctest bubble.
type Fleet struct {
	t        testing.TB
	network  *network
	routes   map[string]*Route
	services map[string][]*server
	hosts    []*server
	client   *http.Client
	random   *rand.Rand // used only by the goroutine that plays loads
}

// New starts a fleet. The seed determines the times of arrivals and of work. It ends at
// the end of the test or with Close.
func New(t testing.TB, seed uint64, services []Service, routes []Route) *Fleet {
	f := &Fleet{
		t: t, network: newNetwork(), routes: map[string]*Route{}, services: map[string][]*server{},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	f.client = f.network.client()
	snapshot := f.snapshot(routes)
	directory := newDirectory(services)
	for _, s := range services {
		for i := range s.Servers {
			f.startHost(&s, i, snapshot, directory)
		}
	}
	return f
}

// Close stops all nodes and backend servers.
func (f *Fleet) Close() {
	f.client.CloseIdleConnections()
	for _, h := range f.hosts {
		h.stop()
	}
}

func (f *Fleet) snapshot(routes []Route) *config.Snapshot {
	routing := config.HostRouting{Workspaces: []config.KeyedWorkspace{{Workspace: config.Workspace{Name: workspace}}}}
	for i := range routes {
		r := &routes[i]
		f.routes[r.Name] = r
		routing.Routes = append(routing.Routes, config.HostRoute{
			Host: r.Name, Prefix: "/", Split: []config.WeightedService{{Service: r.Service, Weight: 1}},
			Route: config.Route{
				Pattern: r.Name, Importance: r.Importance, Idempotent: r.Idempotent, Open: r.Internal, Attempts: attemptsPerRequest,
				Timeout: r.Timeout, MaxBody: 1 << 10, Objective: config.Objective{Latency: r.Objective},
			},
		})
	}
	return config.NewHostRoutedSnapshot(1, "", routing)
}

func (f *Fleet) startHost(s *Service, index int, snapshot *config.Snapshot, directory *directory) {
	f.t.Helper()
	h := &server{fleet: f, name: nodeName(s.Name, index), callers: fmt.Sprintf("10.0.%d.%d:1", len(f.services), index)}
	h.random = rand.New(rand.NewPCG(uint64(len(f.hosts)), f.random.Uint64()))
	h.client = f.network.client()
	ctx, cancel := context.WithCancel(context.Background())
	n, err := node.New(node.Config{
		ID: h.name, Incarnation: 1, DataCentre: dataCentre, PeerAddress: peerAddress(s.Name, index), Service: s.Name, Protocol: protocol{},
		Callers: f.network.listen(h.callers), Peers: f.network.listen(peerAddress(s.Name, index)), Operators: f.network.listen(h.name),
		Dial: f.network.dial, Configuration: staticConfiguration{snapshot}, Quota: unlimited{}, Directory: directory,
		Retry:                retry.Config{Ratio: retryRatio, Burst: retryBurst, MinPerSecond: minRetriesPerSecond},
		Admission:            admission.Config{FixedLimit: true},
		AnnouncementLifetime: 24 * time.Hour,
	})
	assert.NilError(f.t, err)
	address := fmt.Sprintf("10.1.%d.%d:1", len(f.services), index)
	httpServer := &http.Server{Handler: h}
	listener := f.network.listen(address)
	done := make(chan struct{}, 2)
	// Both end with an error when the fleet is closed.
	go func() { _ = n.Run(ctx); done <- struct{}{} }()
	go func() { _ = httpServer.Serve(listener); done <- struct{}{} }()
	h.stop = func() {
		cancel()
		h.client.CloseIdleConnections()
		_ = httpServer.Close()
		<-done
		<-done
	}
	assert.NilError(f.t, n.Announce(context.Background(), edge.Announcement{Service: s.Name, Address: address, Slots: s.Slots, Connections: 4 * s.Slots, State: "serving", Instance: h.name}))
	f.services[s.Name] = append(f.services[s.Name], h)
	f.hosts = append(f.hosts, h)
}

// SetRefusals makes all backend servers of a service refuse a share of their requests as
// not run, whatever their load is.
func (f *Fleet) SetRefusals(service string, share float64) {
	for _, s := range f.services[service] {
		s.refusals.Store(share)
	}
}

// SetSlowdown makes one backend server of a service work factor times as long.
func (f *Fleet) SetSlowdown(service string, index int, factor float64) {
	f.services[service][index].slowdown.Store(factor)
}

// SetRateLimit makes one backend server of a service name a limit in its responses, in
// requests per second; 0 means that it names none. It does not enforce the limit.
func (f *Fleet) SetRateLimit(service string, index int, perSecond float64) {
	f.services[service][index].limit.Store(perSecond)
}

// MostArrivals returns the largest number of requests that one backend server of a
// service got in any span of that length, of those from the time from on.
func (f *Fleet) MostArrivals(service string, index int, from time.Time, span time.Duration) int {
	s := f.services[service][index]
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for last, at := range s.arrivals {
		for s.arrivals[first].Before(from) || at.Sub(s.arrivals[first]) >= span {
			if first == last {
				break
			}
			first++
		}
		if !at.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

const dataCentre = "dudley"

func nodeName(service string, index int) string { return fmt.Sprintf("%s-%d", service, index) }

// peerAddress returns the name under which the network knows the peers listener of a node.
func peerAddress(service string, index int) string { return nodeName(service, index) + ":2" }

// directory holds the endpoints of all nodes, which do not change.
type directory struct {
	endpoints map[string][]balancer.Endpoint
}

func newDirectory(services []Service) *directory {
	d := &directory{endpoints: map[string][]balancer.Endpoint{}}
	for _, s := range services {
		for i := range s.Servers {
			d.endpoints[s.Name] = append(d.endpoints[s.Name], balancer.Endpoint{
				Node: nodeName(s.Name, i), Incarnation: 1, PeerAddress: peerAddress(s.Name, i), DataCentre: dataCentre,
				Service: s.Name, Slots: s.Slots, State: balancer.Serving,
			})
		}
	}
	return d
}

// Endpoints implements node.Directory.
func (d *directory) Endpoints(service string) []balancer.Endpoint { return d.endpoints[service] }

// Watch implements node.Directory.
func (d *directory) Watch(func(string)) {}

// Announce implements node.Directory.
func (d *directory) Announce(*balancer.Endpoint) {}

type staticConfiguration struct{ snapshot *config.Snapshot }

// Current implements node.Configuration.
func (c staticConfiguration) Current() *config.Snapshot { return c.snapshot }

// unlimited is a Quota without a limit.
type unlimited struct{}

// Charge implements node.Quota.
func (unlimited) Charge(context.Context, string) (node.Charge, error) { return unlimited{}, nil }

// Sent implements node.Charge.
func (unlimited) Sent() {}

// Return implements node.Charge.
func (unlimited) Return() {}
