package main

import (
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// settingsFormat is the settings file of a node, like the one that the template of the deploy
// file gives. It is not in this file because it has names of the platform.
//
//go:embed settings.txt
var settingsFormat string

// memoryMB is the memory of a machine, as in the example of the settings page.
const memoryMB = 284

const (
	heartbeatInterval = 1500 * time.Millisecond
	drainBound        = 2 * time.Second
	contactBound      = 3 * time.Second
	graceBound        = 6 * time.Second
)

// fleet is a deployment of sidecar processes with one stand-in of the platform.
type fleet struct {
	dir      string // temporary
	record   *record
	platform *standin.Platform
	store    string // address of the platform, ip:port
	nodes    []*machine
	stop     chan struct{}
	stopOnce sync.Once
}

// machine is a host with a node process and a backend server.
type machine struct {
	fleet   *fleet
	name    string
	zone    string
	service string
	ip      string
	ports   struct{ callers, peers, announcements, ready, operators string }
	binary  string
	env     string
	server  *server

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	started time.Time // of the process that runs now
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: r, platform: standin.NewPlatform(), stop: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.store = l.Addr().String()
	go func() { _ = http.Serve(l, f.platform.Handler()) }()
	return f, nil
}

// add adds a machine, whose process is not started yet.
func (f *fleet) add(name, zone, service string, handle func(*run)) (*machine, error) {
	index := len(f.nodes) + 1
	m := &machine{fleet: f, name: name, zone: zone, service: service, ip: fmt.Sprintf("127.0.77.%d", index), exited: make(chan struct{})}
	for _, p := range []*string{&m.ports.callers, &m.ports.peers, &m.ports.announcements, &m.ports.ready, &m.ports.operators} {
		l, err := net.Listen("tcp", m.ip+":0")
		if err != nil {
			return nil, err
		}
		*p = l.Addr().String()
		defer l.Close()
	}
	settings := filepath.Join(f.dir, name+".yaml")
	text := fmt.Sprintf(settingsFormat, name, zone, service, m.ports.callers, m.ports.peers, m.ports.announcements, m.ports.ready, m.ports.operators,
		f.store, heartbeatInterval, memoryMB, graceBound)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	m.binary, m.env = "target/dotterelsidecar", "DOTTERELSEAM_SETTINGS="+settings
	server, err := newServer(m, handle)
	if err != nil {
		return nil, err
	}
	m.server = server
	f.nodes = append(f.nodes, m)
	return m, nil
}

// start starts the process of the node.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(m.binary)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), m.env}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited, m.started = c, exited, time.Now()
	m.mu.Unlock()
	go func() {
		_ = c.Wait() // the state is not used
		close(exited)
	}()
	m.fleet.record.add("process of %s started, pid %d", m.name, c.Process.Pid)
	return nil
}

// kill ends the process of the node with SIGKILL.
func (m *machine) kill() {
	m.mu.Lock()
	c, exited := m.command, m.exited
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill() // it may have exited
	<-exited
	m.fleet.record.add("process of %s killed", m.name)
}

// awaitReady waits until the node says that it is ready.
func (m *machine) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	return harness.Eventually(limit, func() error {
		resp, err := client.Get("http://" + m.ports.ready + standin.ReadyPath)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answers %d", m.name, resp.StatusCode)
		}
		return nil
	})
}

// close ends all processes of the fleet.
func (f *fleet) close() {
	f.stopOnce.Do(func() {
		close(f.stop)
		for _, m := range f.nodes {
			m.kill()
			m.server.close()
		}
		_ = os.RemoveAll(f.dir)
	})
}
