package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/ledger"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/retry"
)

const (
	testKey    = "k1.secret"
	testSecret = "cluster"
)

// sharedDirectory holds the endpoints of all nodes of one test.
type sharedDirectory struct {
	mu        sync.Mutex
	endpoints map[string]balancer.Endpoint // by node
	watchers  []func(string)
}

func (d *sharedDirectory) Endpoints(service string) []balancer.Endpoint {
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

func (d *sharedDirectory) Watch(f func(string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, f)
}

func (d *sharedDirectory) set(node string, e *balancer.Endpoint) {
	d.mu.Lock()
	service := d.endpoints[node].Service
	delete(d.endpoints, node)
	if e != nil {
		d.endpoints[node], service = *e, e.Service
	}
	watchers := slices.Clone(d.watchers)
	d.mu.Unlock()
	for _, f := range watchers {
		f(service)
	}
}

// nodeDirectory is the Directory of one node.
type nodeDirectory struct {
	*sharedDirectory
	node string
}

func (d nodeDirectory) Announce(e *balancer.Endpoint) { d.set(d.node, e) }

type staticKeys struct{}

func (staticKeys) Lookup(key string) (string, error) {
	switch key {
	case testKey:
		return "farm", nil
	case "k2.secret":
		return "", refusal.New(refusal.WithdrawnKey, "the key is withdrawn")
	}
	return "", refusal.New(refusal.UnknownKey, "the key is unknown")
}

// countingQuota charges without a limit and counts how the charges ended.
type countingQuota struct{ charged, sent, returned atomic.Int64 }

func (q *countingQuota) Charge(context.Context, string) (Charge, error) {
	q.charged.Add(1)
	return q, nil
}

func (q *countingQuota) Sent()   { q.sent.Add(1) }
func (q *countingQuota) Return() { q.returned.Add(1) }

type staticConfiguration struct{ s *config.Snapshot }

func (c staticConfiguration) Current() *config.Snapshot { return c.s }

// testRoutes returns the routes that every service has in these tests.
func testRoutes() []config.Route {
	return []config.Route{
		{Pattern: "GET /items/{id}", Importance: config.Normal, Idempotent: true, Attempts: 8, Timeout: 3 * time.Second, MaxBody: 1 << 20},
		{Pattern: "POST /orders", Importance: config.Critical, Attempts: 4, Timeout: 3 * time.Second, MaxBody: 128 << 10},
		{Pattern: "POST /once", Importance: config.Critical, AtMostOnce: true, Attempts: 4, Timeout: 3 * time.Second, MaxBody: 1 << 20},
		{Pattern: "PUT /files/{id}", Importance: config.Normal, Idempotent: true, Attempts: 3, Timeout: time.Minute, MaxBody: 128 << 20},
		{Pattern: "GET /open", Importance: config.Low, Idempotent: true, Attempts: 1, Timeout: time.Second, Open: true},
		{Pattern: "GET /slow", Importance: config.Low, Idempotent: true, Attempts: 2, Timeout: 200 * time.Millisecond},
	}
}

func testSnapshot(t testing.TB, services ...string) *config.Snapshot {
	t.Helper()
	d := &config.Document{Fleet: config.Fleet{
		DataCentres: []config.DataCentre{{Name: "dudley", Region: "midlands", Share: 1}},
		Workspaces:  []config.Workspace{{Name: "farm", Rate: 1000, Burst: 1000}},
		Keys:        config.KeyPolicy{CutOffLimit: config.DefaultCutOffLimit},
	}}
	for _, s := range services {
		d.Services = append(d.Services, config.Service{Name: s, Routes: testRoutes()})
	}
	encoded, err := config.Encode(d)
	assert.NilError(t, err)
	snapshot, err := config.Decode(1, encoded)
	assert.NilError(t, err)
	return snapshot
}

// host is a node with its backend server, which is nil if the host has none.
type host struct {
	node    *Node
	backend *standin.Backend
	quota   *countingQuota
	url     string // of the callers listener
	local   string // of the local listener
	peers   string
	runErr  chan error
}

// fleet is a set of hosts that share a directory.
type fleet struct {
	t         testing.TB
	directory *sharedDirectory
	snapshot  *config.Snapshot
	configure func(*Config)

	platform *standin.Platform
	ledger   *ledger.Ledger
}

func newFleet(t testing.TB, services ...string) *fleet {
	p := standin.NewPlatform()
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	l := ledger.New(platform.New(platform.Config{URL: srv.URL, CallTimeout: 200 * time.Millisecond}))
	t.Cleanup(func() { _ = l.Close(canceledContext()) })
	return &fleet{
		t: t, directory: &sharedDirectory{endpoints: map[string]balancer.Endpoint{}}, snapshot: testSnapshot(t, services...),
		platform: p, ledger: l,
	}
}

// canceledContext returns a context that has ended.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// startHost starts a node. If a service is given, it also starts a backend server and
// waits until it has announced itself.
func (f *fleet) startHost(id, service string, behaviour standin.BackendBehaviour) *host {
	f.t.Helper()
	h := f.newNode(id)
	go func() { h.runErr <- h.node.Run(context.Background()) }()
	if service != "" {
		f.startBackend(h, service, behaviour)
	}
	return h
}

// newNode returns a host whose node does not run yet.
func (f *fleet) newNode(id string) *host {
	f.t.Helper()
	h := &host{quota: &countingQuota{}, runErr: make(chan error, 1)}
	cfg := Config{
		ID: id, Incarnation: 1, DataCentre: "dudley", Region: "midlands", ClusterSecret: testSecret,
		Callers: listen(f.t), Local: listen(f.t), Peers: listen(f.t), Operators: listen(f.t),
		Configuration: staticConfiguration{f.snapshot}, Keys: staticKeys{}, Quota: h.quota, Ledger: f.ledger,
		Directory: nodeDirectory{f.directory, id}, Retry: retry.Config{Burst: 1000},
		ShutdownDelay: time.Millisecond,
	}
	cfg.PeerAddress = cfg.Peers.Addr().String()
	if f.configure != nil {
		f.configure(&cfg)
	}
	h.url, h.local = "http://"+cfg.Callers.Addr().String(), "http://"+cfg.Local.Addr().String()
	h.peers = "http://" + cfg.PeerAddress
	var err error
	h.node, err = New(cfg)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { h.node.close() })
	return h
}

func (f *fleet) startBackend(h *host, service string, behaviour standin.BackendBehaviour) {
	f.t.Helper()
	srv := httptest.NewUnstartedServer(nil)
	h.backend = standin.NewBackend(standin.BackendConfig{
		Service: service, Address: srv.Listener.Addr().String(), Local: h.local, Slots: 64, Connections: 128, Behaviour: behaviour,
	})
	srv.Config.Handler = h.backend.Handler()
	srv.Config.ConnState = h.backend.ConnState
	srv.Start()
	f.t.Cleanup(srv.CloseClientConnections)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go h.backend.Announce(ctx)
	waitFor(f.t, func() bool {
		f.directory.mu.Lock()
		defer f.directory.mu.Unlock()
		_, ok := f.directory.endpoints[h.node.cfg.ID]
		return ok
	})
}

// waitFor polls until ok returns true, and fails the test after about 10 s.
func waitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the expected state was not reached")
}

func newKeyedRequest(t testing.TB, method, url string, body []byte) *http.Request {
	t.Helper()
	req := newRequest(t, method, url, body)
	req.Header.Set(headerKey, testKey)
	return req
}
