package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/pause"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// host is a node process and the backend server on the same host.
type host struct {
	fleet      *fleet
	index      int
	dataCentre string
	service    string
	zone       string // network zone of the host in connections between nodes
	storeZone  string // network zone of the store in connections from this host
	ip         string
	settings   string
	server     *standin.SidecarBackend

	mu           sync.Mutex
	process      *harness.Process
	stopped      bool // by a fault or a planned stop
	instance     int  // number of starts of the backend server
	draining     bool
	drainAckedAt time.Time    // when the node acknowledged the drain of the backend server; zero if it has not
	httpServer   *http.Server // of the backend server; nil while it is down
	earlierLogs  []string     // of exited processes

	// Held by faults while they act on the node process or the backend server, so that
	// no two faults stop or start the same one.
	processMu, serverMu sync.Mutex
}

func (h *host) at(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func (h *host) name() string { return fmt.Sprintf("%s-%d", h.dataCentre, h.index) }

// configure starts the proxies for the host's peers listener and for its connections
// to the store, creates the backend server and writes the settings of the node.
func (h *host) configure(dir, store string) error {
	f := h.fleet
	f.network.SetZone(h.ip, h.zone)
	peers, err := f.network.Proxy(fmt.Sprintf("%s.%d.%d:%d", f.prefix, peerProxyOctet, h.index, peersPort), h.at(peersPort), h.zone)
	if err != nil {
		return err
	}
	storeProxy, err := f.network.Proxy(fmt.Sprintf("%s.%d.%d:%d", f.prefix, storeProxyOctet, h.index, storePort), store, h.storeZone)
	if err != nil {
		return err
	}
	h.server = standin.NewSidecarBackend(standin.SidecarBackendConfig{
		Service: h.service, Address: h.at(serverPort), Announcements: h.at(announcementsPort), Callers: h.at(callersPort),
		Slots: serverSlots, ServiceTime: serverWork, OnwardCall: h.onwardCall, OnRequest: func(r standin.ReceivedRequest) { f.checker.recordRun(h, r) },
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
		h.at(operatorsPort), storeProxy, announceInterval, stopTimeout), 0o600)
}

// onwardCall returns the onward call that the host's backend server makes for the
// request with the ID parent, or nil if it makes none.
func (h *host) onwardCall(parent string) *standin.PlatformRequest {
	if h.service != serviceOrders {
		return nil
	}
	p := &standin.PlatformRequest{Method: http.MethodGet, Host: countsHostName, Path: "/count", ID: parent + ".count", Timeout: time.Second}
	h.fleet.checker.recordSent(h, p, "", time.Now())
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
	h.process, h.stopped = p, false
	return nil
}

// kill sends SIGKILL to the node process and waits until it has exited.
func (h *host) kill() {
	h.mu.Lock()
	p := h.process
	h.stopped = true
	h.mu.Unlock()
	p.Kill()
	h.saveLogs(p)
}

// stop sends SIGTERM to the node process and reports whether it exited within
// stopTimeout. If it did not, it is killed. If the signal cannot be sent, stop
// returns false without killing the process.
func (h *host) stop() bool {
	h.mu.Lock()
	p := h.process
	h.stopped = true
	h.mu.Unlock()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return false
	}
	_, err := p.Wait(stopTimeout)
	if err != nil {
		p.Kill()
	}
	h.saveLogs(p)
	return err == nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Signal(s) // fails only if another fault has stopped the process
}

func (h *host) saveLogs(p *harness.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.earlierLogs = append(h.earlierLogs, p.Logs())
}

// logs returns the output of each node process of the host, in order of their starts.
func (h *host) logs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return h.earlierLogs
	}
	return append(append([]string(nil), h.earlierLogs...), h.process.Logs())
}

// exitedUnexpectedly reports whether the node process has exited without a fault or a
// planned stop.
func (h *host) exitedUnexpectedly() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	_, err := h.process.Wait(0)
	return err == nil
}

// startServer starts a new instance of the host's backend server. It retries for up
// to startTimeout while the port is in use.
func (h *host) startServer() error {
	var l net.Listener
	err := harness.Eventually(startTimeout, func() (err error) {
		l, err = net.Listen("tcp", h.at(serverPort))
		return err
	})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h.server}
	h.mu.Lock()
	h.instance++
	h.httpServer, h.draining, h.drainAckedAt = srv, false, time.Time{}
	h.server.Start(h.formatInstance())
	h.mu.Unlock()
	h.fleet.running.Go(func() { _ = srv.Serve(l) }) // returns when the server is closed
	return nil
}

// formatInstance returns the ID of the current backend server. The caller holds h.mu.
func (h *host) formatInstance() string { return fmt.Sprintf("i-%s-%d", h.name(), h.instance) }

func (h *host) instanceName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.formatInstance()
}

// crashServer closes the listener and all connections of the host's backend server.
func (h *host) crashServer() {
	h.mu.Lock()
	srv := h.httpServer
	h.httpServer = nil
	h.mu.Unlock()
	_ = srv.Close() // the connections are gone in any case
}

// drainServer announces the drain of the backend server, keeps it serving for the
// grace period and then stops it.
func (h *host) drainServer() {
	h.mu.Lock()
	h.draining = true
	h.server.Drain()
	h.mu.Unlock()
	pause.For(h.fleet.ctx, drainGracePeriod+drainMargin)
	h.crashServer()
}

// announce announces the backend server until the fleet ends.
func (h *host) announce() {
	for {
		h.mu.Lock()
		running, draining, instance := h.httpServer != nil, h.draining, h.instance
		h.mu.Unlock()
		if running && h.server.Announce(h.fleet.ctx) && draining {
			h.mu.Lock()
			if h.drainAckedAt.IsZero() && instance == h.instance {
				h.drainAckedAt = time.Now()
			}
			h.mu.Unlock()
		}
		if !pause.For(h.fleet.ctx, announceInterval) {
			return
		}
	}
}

// noNewWorkAfter returns the time after which the node must not send new requests to
// the draining backend server. ok is false if the node has not acknowledged a drain.
func (h *host) noNewWorkAfter() (since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drainAckedAt.Add(drainGracePeriod), !h.drainAckedAt.IsZero()
}
