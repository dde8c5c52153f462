// Package soak runs real nodes as separate processes beside backend servers and a
// store of the platform's protocol, injects faults from outside them in an order
// drawn from a seed, and checks the promises from what callers and backend servers
// see.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Error is the class of failures to set up or run a soak, which say nothing of
// the nodes.
var Error = errs.Class("soak")

// Services of the fleet. Requests to orders call counts.
const (
	serviceDesk   = "desk"
	serviceOrders = "orders"
	serviceCounts = "counts"
)

const (
	announceInterval  = 500 * time.Millisecond
	stopLimit         = 6 * time.Second // between SIGTERM and SIGKILL
	startLimit        = 20 * time.Second
	serverSlots       = 8
	serverConnections = 100
	serverWork        = 15 * time.Millisecond
	// Ports of each host.
	callersPort, peersPort, announcementsPort, readyPort, operatorsPort, serverPort = 7001, 7002, 7003, 7004, 7005, 7100

	storePort = 7000
	// Third octets of proxies: of a host's peers listener, and of the store as a host
	// reaches it. Hosts have dataCentreOctet plus the index of their data centre.
	dataCentreOctet, peerProxyOctet, storeProxyOctet, storeOctet = 1, 100, 101, 102
)

var (
	dataCentres = []string{"gdansk", "krakow", "lodz"}
	placement   = []struct{ dataCentre, service string }{
		{"gdansk", serviceDesk}, {"krakow", serviceDesk}, {"lodz", serviceDesk},
		{"gdansk", serviceOrders}, {"krakow", serviceOrders}, {"lodz", serviceOrders},
		{"gdansk", serviceCounts}, {"lodz", serviceCounts},
	}
)

// host is a node process and the backend server beside it.
type host struct {
	fleet      *fleet
	index      int
	dataCentre string
	service    string
	zone       string // in the network, of connections between nodes
	storeZone  string // in the network, of connections to the store
	ip         string
	settings   string
	server     *standin.PlatformServer

	mu         sync.Mutex
	process    *harness.Process
	ended      bool // by a fault or a planned stop, not by itself
	instance   int  // number of the server's latest start
	draining   bool
	drainedAt  time.Time    // when the node acknowledged that the server leaves; zero: it does not
	listener   *http.Server // nil while the server is down
	logsBefore []string     // of earlier processes

	// Faults take these, so that two do not end or start the same thing at once.
	processBusy, serverBusy sync.Mutex
}

func (h *host) at(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func (h *host) name() string { return fmt.Sprintf("%s-%d", h.dataCentre, h.index) }

// fleet is everything that a soak runs.
type fleet struct {
	prefix  string // of the loopback addresses
	lock    net.Listener
	network *harness.Network
	store   *standin.Platform
	served  *http.Server
	hosts   []*host
	ledger  *ledger
	ctx     context.Context // ends the servers' announcements
	cancel  context.CancelFunc
	parts   sync.WaitGroup
}

// startFleet starts the store and all hosts. After an error nothing is left running.
func startFleet(dir string, l *ledger) (*fleet, error) {
	f := &fleet{network: harness.NewNetwork(), store: standin.NewPlatform(), ledger: l}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.start(dir); err != nil {
		f.close()
		return nil, Error.Wrap(err)
	}
	return f, nil
}

func (f *fleet) start(dir string) error {
	var err error
	if f.prefix, f.lock, err = harness.ReserveLoopbackPrefix(); err != nil {
		return err
	}
	store := fmt.Sprintf("%s.%d.1:%d", f.prefix, storeOctet, storePort)
	l, err := net.Listen("tcp", store)
	if err != nil {
		return err
	}
	f.served = &http.Server{Handler: f.store.Handler()}
	f.parts.Go(func() { _ = f.served.Serve(l) }) // returns when close closes the server
	for i, p := range placement {
		h := &host{
			fleet: f, index: i + 1, dataCentre: p.dataCentre, service: p.service,
			zone: fmt.Sprintf("host-%d", i+1), storeZone: fmt.Sprintf("store-%d", i+1),
		}
		for d, name := range dataCentres {
			if name == p.dataCentre {
				h.ip = fmt.Sprintf("%s.%d.%d", f.prefix, dataCentreOctet+d, h.index)
			}
		}
		f.hosts = append(f.hosts, h)
		if err := h.prepare(dir, store); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.startProcess(); err != nil {
			return err
		}
		if err := h.startServer(); err != nil {
			return err
		}
		f.parts.Go(h.announce)
	}
	return nil
}

// prepare puts proxies before the host's peers listener and before the store, and
// writes the settings.
func (h *host) prepare(dir, store string) error {
	f := h.fleet
	f.network.SetZone(h.ip, h.zone)
	peers, err := f.network.Proxy(fmt.Sprintf("%s.%d.%d:%d", f.prefix, peerProxyOctet, h.index, peersPort), h.at(peersPort), h.zone)
	if err != nil {
		return err
	}
	proxied, err := f.network.Proxy(fmt.Sprintf("%s.%d.%d:%d", f.prefix, storeProxyOctet, h.index, storePort), store, h.storeZone)
	if err != nil {
		return err
	}
	h.server = standin.NewPlatformServer(standin.PlatformServerConfig{
		Service: h.service, Address: h.at(serverPort), Announcements: h.at(announcementsPort), Callers: h.at(callersPort),
		Slots: serverSlots, ServiceTime: serverWork, OnwardCall: h.onwardCall, OnRequest: func(r standin.ReceivedRequest) { f.ledger.ran(h, r) },
	})
	h.settings = filepath.Join(dir, h.name()+".yaml")
	return os.WriteFile(h.settings, fmt.Appendf(nil, `name: %s
data_centre: %s
region: poland
service: %s
addresses:
  callers: %s
  peers: %s
  peers_advertised: %s
  announcements: %s
  ready: %s
  operators: %s
platform: http://%s
announcement_interval: %s
memory: 284MiB
stop_limit: %s
`, h.name(), h.dataCentre, h.service, h.at(callersPort), h.at(peersPort), peers, h.at(announcementsPort), h.at(readyPort),
		h.at(operatorsPort), proxied, announceInterval, stopLimit), 0o600)
}

// onwardCall returns the call that the host's server makes for a request, or nil.
func (h *host) onwardCall(parent string) *standin.PlatformRequest {
	if h.service != serviceOrders {
		return nil
	}
	p := &standin.PlatformRequest{Method: http.MethodGet, Host: hostCounts, Path: "/count", ID: parent + ".count", Timeout: time.Second}
	h.fleet.ledger.sent(h, p, "", time.Now())
	return p
}

func (h *host) startProcess() error {
	binary, err := harness.Binary("cmd/dotterelsidecar")
	if err != nil {
		return err
	}
	p, err := harness.StartProcess(binary, "-settings", h.settings)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.ended = p, false
	return nil
}

// kill ends the process at once.
func (h *host) kill() {
	h.mu.Lock()
	p := h.process
	h.ended = true
	h.mu.Unlock()
	p.Kill()
	h.keepLogs(p)
}

// stop is a planned stop. It reports whether the process ended by itself in time.
func (h *host) stop() bool {
	h.mu.Lock()
	p := h.process
	h.ended = true
	h.mu.Unlock()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return false
	}
	_, err := p.Wait(stopLimit)
	if err != nil {
		p.Kill()
	}
	h.keepLogs(p)
	return err == nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Signal(s) // fails for a process that another fault has ended
}

func (h *host) keepLogs(p *harness.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logsBefore = append(h.logsBefore, p.Logs())
}

// logs returns the output of all processes of the host, one after another.
func (h *host) logs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return h.logsBefore
	}
	return append(append([]string(nil), h.logsBefore...), h.process.Logs())
}

// exited reports whether the process has ended although nothing ended it.
func (h *host) exited() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	_, err := h.process.Wait(0)
	return err == nil
}

// startServer starts a new instance of the host's backend server.
func (h *host) startServer() error {
	var l net.Listener
	err := harness.Eventually(startLimit, func() (err error) {
		l, err = net.Listen("tcp", h.at(serverPort))
		return err
	})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h.server}
	h.mu.Lock()
	h.instance++
	h.listener, h.draining, h.drainedAt = srv, false, time.Time{}
	h.server.Start(fmt.Sprintf("i-%s-%d", h.name(), h.instance))
	h.mu.Unlock()
	h.fleet.parts.Go(func() { _ = srv.Serve(l) }) // returns when the server is closed
	return nil
}

// crashServer ends the host's backend server with everything it has in flight.
func (h *host) crashServer() {
	h.mu.Lock()
	srv := h.listener
	h.listener = nil
	h.mu.Unlock()
	_ = srv.Close()
}

// drainServer makes the backend server leave. It returns when the server has ended.
func (h *host) drainServer() {
	h.mu.Lock()
	h.draining = true
	h.server.Drain()
	h.mu.Unlock()
	pause.For(h.fleet.ctx, drainTime+drainSurplus)
	h.crashServer()
}

// announce announces the backend server until the fleet ends.
func (h *host) announce() {
	for {
		h.mu.Lock()
		running, draining, instance := h.listener != nil, h.draining, h.instance
		h.mu.Unlock()
		if running && h.server.Announce(h.fleet.ctx) && draining {
			h.mu.Lock()
			if h.drainedAt.IsZero() && instance == h.instance {
				h.drainedAt = time.Now()
			}
			h.mu.Unlock()
		}
		if !pause.For(h.fleet.ctx, announceInterval) {
			return
		}
	}
}

// leavingSince returns since when the node must give the server no new work;
// ok is false if it may.
func (h *host) leavingSince() (since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drainedAt.Add(drainTime), !h.drainedAt.IsZero()
}

// close ends everything that the fleet started.
func (f *fleet) close() {
	f.cancel()
	for _, h := range f.hosts {
		if h.process != nil {
			h.process.Kill()
		}
		if h.listener != nil {
			_ = h.listener.Close()
		}
	}
	f.network.Close()
	if f.served != nil {
		_ = f.served.Close()
	}
	if f.lock != nil {
		_ = f.lock.Close()
	}
	f.parts.Wait()
}
