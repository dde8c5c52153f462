// Package stage starts the sidecars of a small deployment as separate processes and plays
// the platform's store, the backend servers and the callers around them. The scripts of the
// review use it.
package stage

import (
	_ "embed"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

//go:embed settings.yaml
var settingsTemplate string

const (
	program           = "target/dotterelsidecar" // as in deploy/system.toml
	settingsVariable  = "DOTTERELSEAM_SETTINGS"
	settleTime        = 8 * time.Second // between the start of the machines and the traffic
	heartbeatInterval = time.Second
	restartDelay      = 500 * time.Millisecond
	exitTimeout       = 8 * time.Second
	probeInterval     = time.Second
	missesUntilOut    = 2
	wrapUpTime        = 5 * time.Millisecond

	firstPort    = 10000 // of the first block
	portBlocks   = 60    // scripts that run at the same time use different ones
	blockPorts   = 200   // ports of a block
	maxPortTries = 1000
)

// Fleet is a small deployment. Its methods are safe for concurrent use unless stated
// otherwise.
type Fleet struct {
	Store  *standin.Platform
	Record *Record

	dir   string
	hosts []*Host
	taken map[string]bool // addresses that freeAddress has returned
}

// NewFleet returns an empty deployment that writes its record to recordPath.
func NewFleet(recordPath string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: standin.NewPlatform(), Record: record, dir: dir, taken: map[string]bool{}}, nil
}

// Close ends all processes and servers that were started, and removes the temporary files.
func (f *Fleet) Close() {
	for _, h := range f.hosts {
		h.close()
	}
	_ = os.RemoveAll(f.dir)
	f.Record.close()
}

// Host is one machine: a sidecar process and the backend server next to it.
type Host struct {
	Name, Service string
	Callers       string // listener for callers, ip:port

	fleet         *Fleet
	announcements string
	settings      string
	server        *http.Server
	store         *http.Server
	stop          chan struct{}
	storeSilent   atomic.Bool // the store does not answer this host
	beats         *heartbeats
	leaving       chan struct{} // closed when the backend server leaves
	leaveOnce     sync.Once
	ready         string       // listener for probes, ip:port
	misses        atomic.Int64 // probes missed in a row

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed once process has exited
	closed  bool          // no process is started any more
}

// ServerConfig describes the backend server of a host.
type ServerConfig struct {
	Slots       int
	ServiceTime time.Duration
	// Requests whose path begins with LongPath last LongTime. Empty: none.
	LongPath  string
	LongTime  time.Duration
	OnRequest func(standin.ReceivedRequest)
	OnEnd     func(path string) // called when the work on a request has ended; nil: not called
	// Wrap returns the handler to use in place of that of the server; nil: that of the server.
	Wrap func(http.Handler) http.Handler
}

// AddHost starts the backend server and the sidecar of a new host. It must not be called
// concurrently.
func (f *Fleet) AddHost(name, zone, service string, cfg ServerConfig) (*Host, error) {
	h := &Host{Name: name, Service: service, fleet: f, stop: make(chan struct{}), leaving: make(chan struct{})}
	var addresses [5]string
	for i := range addresses {
		a, err := f.freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	h.Callers, h.announcements, h.ready = addresses[0], addresses[2], addresses[3]
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.store = &http.Server{Handler: h.withSilence(f.Store.Handler())}
	go func() { _ = h.store.Serve(storeListener) }() // returns when the server is closed
	h.settings = filepath.Join(f.dir, name+".yaml")
	text := fmt.Sprintf(settingsTemplate, name, zone, service, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], storeListener.Addr())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.hosts = append(f.hosts, h)
	if err := h.startServer(cfg); err != nil {
		return nil, err
	}
	return h, h.StartProcess()
}

// SilenceStore makes the store give no answers to this host, or ends that. Connections on
// which an answer was lost deliver nothing further.
func (h *Host) SilenceStore(silent bool) { h.storeSilent.Store(silent) }

// withSilence returns the handler of the store for this host.
func (h *Host) withSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		if !h.storeSilent.Load() {
			next.ServeHTTP(answer, r)
		}
		if h.storeSilent.Load() {
			select {
			case <-r.Context().Done():
			case <-h.stop:
			}
			return
		}
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // a write error means that the sidecar disconnected
	})
}

// freeAddress returns a loopback address with a port that was free just now. The port is
// below those that the kernel chooses for connections, so that it stays free.
func (f *Fleet) freeAddress() (string, error) {
	for range maxPortTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portBlocks*blockPorts+rand.IntN(blockPorts))
		if f.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		f.taken[address] = true
		return address, l.Close()
	}
	return "", fmt.Errorf("no free port from %d on", firstPort)
}

// Settle waits until traffic may start. It returns an error if a sidecar has exited.
func (f *Fleet) Settle() error {
	time.Sleep(settleTime)
	for _, h := range f.hosts {
		if h.exited() {
			log, err := os.ReadFile(h.logPath())
			return fmt.Errorf("%s exited at its start: %s (%v)", h.Name, log, err)
		}
	}
	return nil
}

// startServer starts the backend server and its heartbeats.
func (h *Host) startServer(cfg ServerConfig) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	beats, proxy, err := newHeartbeats(h.announcements, h.fleet.Record)
	if err != nil {
		return err
	}
	h.beats = beats
	backend := standin.NewSidecarBackend(standin.SidecarBackendConfig{
		Service: h.Service, Address: l.Addr().String(), Announcements: proxy, Callers: h.Callers,
		Slots: cfg.Slots, ServiceTime: cfg.ServiceTime, OnRequest: cfg.OnRequest,
	})
	backend.Start(h.instance())
	handler := http.Handler(backend)
	if cfg.LongPath != "" {
		handler = h.withLongRequests(handler, cfg)
	}
	if cfg.Wrap != nil {
		handler = cfg.Wrap(handler)
	}
	if cfg.OnEnd != nil {
		handler = reportEnd(handler, cfg.OnEnd)
	}
	h.server = &http.Server{Handler: handler}
	go func() { _ = h.server.Serve(l) }() // returns when the server is closed
	go h.announce(backend)
	return nil
}

// withLongRequests returns a handler of the same instance for which some requests last
// longer. A server that has stopped work at the deadline answers wrapUpTime later.
func (h *Host) withLongRequests(next http.Handler, cfg ServerConfig) http.Handler {
	long := standin.NewSidecarBackend(standin.SidecarBackendConfig{
		Service: h.Service, Slots: cfg.Slots, ServiceTime: cfg.LongTime, OnRequest: cfg.OnRequest,
	})
	long.Start(h.instance())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, cfg.LongPath) {
			answer := httptest.NewRecorder()
			long.ServeHTTP(answer, r)
			time.Sleep(wrapUpTime)
			maps.Copy(w.Header(), answer.Header())
			w.WriteHeader(answer.Code)
			_, _ = w.Write(answer.Body.Bytes()) // a write error means that the node disconnected
			return
		}
		next.ServeHTTP(w, r)
	})
}

// reportEnd returns a handler that calls onEnd with the path of each request that has ended.
func reportEnd(next http.Handler, onEnd func(path string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer onEnd(r.URL.Path)
		next.ServeHTTP(w, r)
	})
}

// Probe asks the sidecar once a second whether it is ready, as the platform does, until the
// host is closed.
func (h *Host) Probe() {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		resp, err := client.Get("http://" + h.ready + standin.ReadyPath)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			h.misses.Store(0)
		} else {
			h.misses.Add(1)
		}
		select {
		case <-tick.C:
		case <-h.stop:
			return
		}
	}
}

// Ready reports whether callers on this host get new work: fewer than two probes in a row
// were missed.
func (h *Host) Ready() bool { return h.misses.Load() < missesUntilOut }

func (h *Host) logPath() string { return filepath.Join(h.fleet.dir, h.Name+".log") }

// StartProcess starts the sidecar. It returns an error if the host is closed.
func (h *Host) StartProcess() error {
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), settingsVariable+"="+h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return fmt.Errorf("%s is closed", h.Name)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit code is in ProcessState
		close(ended)
	}()
	h.process, h.ended = cmd, ended
	return nil
}

// Signal sends a signal to the sidecar.
func (h *Host) Signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process.Signal(s)
}

// exited reports whether the sidecar has exited.
func (h *Host) exited() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// Wait waits until the sidecar has exited.
func (h *Host) Wait() error {
	h.mu.Lock()
	exited := h.ended
	h.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(exitTimeout):
		return fmt.Errorf("%s did not exit", h.Name)
	}
}

// Restart waits until the sidecar has exited and starts it again after a short delay.
func (h *Host) Restart() error {
	if err := h.Wait(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	return h.StartProcess()
}

// close ends the sidecar and the servers of the host.
func (h *Host) close() {
	close(h.stop)
	h.mu.Lock()
	h.closed = true
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill() // it may have exited already
		<-ended
	}
	if h.server != nil {
		_ = h.server.Close()
	}
	if h.beats != nil {
		_ = h.beats.server.Close()
	}
	_ = h.store.Close()
}
