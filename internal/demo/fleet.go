package demo

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/examples"
	"github.com/dotterelseam/dotterelseam/internal/daemon"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/publish"
	"github.com/dotterelseam/dotterelseam/settings"
	"github.com/dotterelseam/dotterelseam/status"
)

const (
	loopback          = "127.0.0.1:0"
	pollInterval      = 50 * time.Millisecond
	statusTimeout     = time.Second
	readHeaderTimeout = 5 * time.Second
	serviceTime       = 5 * time.Millisecond
	slots             = 32
	connections       = 256
)

var (
	dataCentres = []string{"dudley", "walsall"}
	services    = []string{"stockroom", "pricelist", "orderbook", "certvault"}
	// onwardCalls maps a service to the calls that its backend servers make during each
	// request.
	onwardCalls = map[string][]string{
		"orderbook": {"GET /pricelist/prices/m6-bolt", "PUT /stockroom/reservations/r1"},
	}
)

// host is a node and the backend server on the same host.
type host struct {
	settings settings.Settings
	service  string
	backend  *standin.Backend
	address  string // of the backend server, ip:port
}

// behaviour returns the fault-free behaviour of the backend server.
func (h *host) behaviour() standin.BackendBehaviour {
	return standin.BackendBehaviour{ServiceTime: serviceTime, Calls: onwardCalls[h.service]}
}

// fleet is the running platform, nodes and backend servers.
type fleet struct {
	platformURL string
	client      *platform.Client
	document    *config.Document
	published   publish.Current
	nodes       []*host
	key         string // of a workspace with a high rate

	ctx     context.Context // cancelled by close
	cancel  context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
}

// startFleet publishes the example configuration and starts all nodes. The caller
// has to close the fleet even after an error.
func startFleet(ctx context.Context) (*fleet, error) {
	f := &fleet{}
	f.ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	var err error
	if f.document, err = loadDocument(); err != nil {
		return f, err
	}
	address, err := f.serve(loopback, &http.Server{Handler: standin.NewPlatform().Handler()})
	if err != nil {
		return f, err
	}
	f.platformURL = "http://" + address
	f.client = platform.New(platform.Config{URL: f.platformURL})
	if f.published, err = publish.Publish(ctx, f.client, 0, f.document); err != nil {
		return f, err
	}
	for _, dc := range dataCentres {
		for _, service := range services {
			if err := f.startHost(dc, service); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// loadDocument loads the example configuration examples/trust, removes the data
// centres that are not in the demo and gives the others equal shares.
func loadDocument() (*config.Document, error) {
	dir, err := os.MkdirTemp("", "dotterel-demo")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	tree, err := fs.Sub(examples.Files, "trust")
	if err != nil {
		return nil, err
	}
	if err := os.CopyFS(dir, tree); err != nil {
		return nil, err
	}
	d, problems := config.Load(dir)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	d.Fleet.DataCentres = slices.DeleteFunc(d.Fleet.DataCentres, func(dc config.DataCentre) bool {
		return !slices.Contains(dataCentres, dc.Name)
	})
	for i := range d.Fleet.DataCentres {
		d.Fleet.DataCentres[i].Share = 1 / float64(len(dataCentres))
	}
	return d, nil
}

// serve starts srv, which runs until the fleet is closed, and returns its address.
func (f *fleet) serve(address string, srv *http.Server) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv.ReadHeaderTimeout = readHeaderTimeout
	f.servers = append(f.servers, srv)
	f.running.Go(func() { _ = srv.Serve(l) }) // returns when close closes the server
	return l.Addr().String(), nil
}

// maxBindAttempts is the number of attempts to start a node on free addresses.
// Another process can take an address before the node binds it.
const maxBindAttempts = 5

// startHost starts a node and its backend server.
func (f *fleet) startHost(dc, service string) error {
	var d *daemon.Daemon
	var h *host
	var err error
	for range maxBindAttempts {
		if h, err = f.newHost(dc, service); err != nil {
			return err
		}
		if d, err = daemon.New(&h.settings, logr.Discard()); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	f.running.Go(func() { _ = d.Run(f.ctx) }) // returns when close cancels the context
	f.nodes = append(f.nodes, h)
	return f.startBackend(h)
}

// newHost returns a host whose node has free addresses and the nodes started before
// it as seeds. Nothing is started.
func (f *fleet) newHost(dc, service string) (*host, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	h := &host{service: service, settings: settings.Settings{
		Name: dc + "-" + service, DataCentre: dc, Region: "midlands",
		Addresses: settings.Addresses{
			Callers: addresses[0], Local: addresses[1], Peers: addresses[2], PeersAdvertised: addresses[2], Operators: addresses[3],
		},
		Platform: f.platformURL, ClusterSecret: "secret-of-the-demo-only",
		StopLimit: settings.DefaultStopLimit, LogLevel: settings.LogInfo,
	}}
	for _, other := range f.nodes {
		h.settings.Seeds = append(h.settings.Seeds, other.settings.Addresses.Peers)
	}
	return h, nil
}

func (f *fleet) startBackend(h *host) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	h.address = l.Addr().String()
	h.backend = standin.NewBackend(standin.BackendConfig{
		Service: h.service, Address: h.address, Local: "http://" + h.settings.Addresses.Local,
		Slots: slots, Connections: connections, Behaviour: h.behaviour(),
	})
	srv := &http.Server{Handler: h.backend.Handler(), ConnState: h.backend.ConnState, ReadHeaderTimeout: readHeaderTimeout}
	f.servers = append(f.servers, srv)
	f.running.Go(func() { _ = srv.Serve(l) })
	f.running.Go(func() { h.backend.Announce(f.ctx) })
	return nil
}

// freeAddresses returns n distinct loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, err
		}
		defer l.Close() // kept open until the end so that all addresses differ
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

func (f *fleet) close() {
	f.cancel()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.running.Wait()
}

func (f *fleet) operators() []string {
	addresses := make([]string, len(f.nodes))
	for i, h := range f.nodes {
		addresses[i] = h.settings.Addresses.Operators
	}
	return addresses
}

// hostOf returns the host of a service in a data centre. It panics if there is none.
func (f *fleet) hostOf(dc, service string) *host {
	i := slices.IndexFunc(f.nodes, func(h *host) bool { return h.settings.DataCentre == dc && h.service == service })
	return f.nodes[i]
}

// waitReady waits until every node is serving, can verify keys and lists every
// backend server as serving.
func (f *fleet) waitReady(ctx context.Context) error {
	return f.waitStatus(ctx, func(n status.Node) bool {
		serving := 0
		for _, e := range n.Endpoints {
			if e.State == "serving" {
				serving++
			}
		}
		return n.State == status.Serving && n.KeysVerified && serving == len(f.nodes)
	})
}

// waitStatus waits until the status of every node satisfies ok.
func (f *fleet) waitStatus(ctx context.Context, ok func(status.Node) bool) error {
	client := status.DefaultClient(statusTimeout)
	return poll(ctx, func() error {
		for _, r := range status.FetchAll(ctx, client, f.operators()) {
			if r.Err != nil {
				return r.Err
			}
			if !ok(r.Node) {
				return fmt.Errorf("node %s has not reached the expected state", r.Node.Node)
			}
		}
		return nil
	})
}

// waitTimeout limits each wait of the demo; a wait takes this long only if something
// is broken.
const waitTimeout = 30 * time.Second

// poll calls check until it returns nil. When ctx ends or waitTimeout has passed, it
// returns the last error of check.
func poll(ctx context.Context, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
