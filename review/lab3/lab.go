package lab3

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Bounds of small deployments.
const (
	Contact       = 3 * time.Second
	DrainBound    = 2 * time.Second
	QuotaWindow   = 5 * time.Second
	QuotaOverrun  = 0.1
	QuotaSlack    = 20
	stopWait      = 8 * time.Second
	readyInterval = 50 * time.Millisecond
)

// Configuration is a version of the operator's configuration.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []string
	Tenants  []Tenant
}

// Route is a route of a Configuration. Its prefix is its name.
type Route struct {
	Name, Host, Kind, Service string
	TimeoutMS, ObjectiveMS    int
	Priority                  int
	Anonymous                 bool
}

// Tenant is a tenant of a Configuration.
type Tenant struct {
	Name, Key   string
	Rate, Burst int
}

// Record is the file record.txt of a case. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	w       *bufio.Writer
	started time.Time
}

// Line writes what happened, with names and values alternating.
func (r *Record) Line(what string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(r.started).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.w.WriteString(b.String() + "\n")
}

// At returns the time of an event as the lines of the record give it, in seconds.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// Lab is one run of a case.
type Lab struct {
	Record  *Record
	Store   *Store
	Trouble bool
	folder  string // for settings files and logs
	program string

	mu    sync.Mutex
	nodes []*Node
	ids   atomic.Int64
}

// Main runs a case and exits with its code. The case is given the folder in which it writes
// record.txt as the first argument.
func Main(run func(l *Lab) (broken bool, err error)) {
	os.Exit(start(run))
}

func start(run func(l *Lab) (bool, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		return ExitNotRun
	}
	l, err := newLab(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer l.end()
	broken, err := run(l)
	switch {
	case err != nil:
		l.Say("the case could not run: %v", err)
		return ExitNotRun
	case broken:
		l.Say("the rule was broken")
		return ExitBroken
	}
	l.Say("the rule held")
	return ExitHeld
}

func newLab(caseFolder string) (*Lab, error) {
	program, err := filepath.Abs("target/dotterelsidecar")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	store, err := StartStore()
	if err != nil {
		return nil, err
	}
	return &Lab{
		Record: &Record{file: file, w: bufio.NewWriter(file), started: time.Now()}, Store: store,
		Trouble: os.Getenv("TROUBLE") != "0", folder: folder, program: program,
	}, nil
}

// end kills all processes and removes the temporary folder.
func (l *Lab) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.nodes {
		n.Kill()
	}
	_ = os.RemoveAll(l.folder)
	l.Record.mu.Lock()
	defer l.Record.mu.Unlock()
	_ = l.Record.w.Flush()
	_ = l.Record.file.Close()
}

// Say writes a line to the record and to standard output.
func (l *Lab) Say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Record.Line("note", "text", strconv.Quote(text))
	fmt.Println(text)
}

// Node is the node on one machine.
type Node struct {
	Name, Zone, Service, Host                       string
	Callers, Peers, Announcements, Ready, Operators string
	Store                                           string
	Started                                         time.Time    // start of the present process
	ForServer                                       net.Listener // a free port for the server beside the node
	lab                                             *Lab
	cmd                                             *exec.Cmd
	done                                            chan struct{}
}

// NewNode returns a node on a machine of its own, with the loopback address host and free
// ports. Run starts it.
func (l *Lab) NewNode(name, zone, service, host string) (*Node, error) {
	n := &Node{Name: name, Zone: zone, Service: service, Host: host, Store: l.Store.Address, lab: l}
	for _, address := range []*string{&n.Callers, &n.Peers, &n.Announcements, &n.Ready, &n.Operators} {
		free, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer free.Close()
		*address = free.Addr().String()
	}
	var err error
	n.ForServer, err = net.Listen("tcp", host+":0") // while the ports of the node are taken
	return n, err
}

// Run starts a process of the node.
func (n *Node) Run() error {
	settings := filepath.Join(n.lab.folder, n.Name+".yaml")
	if err := os.WriteFile(settings, fill(settingsTemplate, n), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(n.lab.folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(n.lab.program)
	cmd.Env = append(os.Environ(), "DOTTERELSEAM_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	n.cmd, n.done, n.Started = cmd, done, time.Now()
	n.lab.mu.Lock()
	defer n.lab.mu.Unlock()
	n.lab.nodes = append(n.lab.nodes, n)
	n.lab.Record.Line("node_started", "node", n.Name, "pid", cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process of the node.
func (n *Node) Signal(s syscall.Signal) {
	n.lab.Record.Line("signal", "node", n.Name, "signal", s)
	_ = n.cmd.Process.Signal(s) // it fails only if the process has ended
}

// Stop sends SIGTERM and waits for the end of the process.
func (n *Node) Stop() error {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.done:
		n.lab.Record.Line("node_ended", "node", n.Name, "code", n.cmd.ProcessState.ExitCode())
		return nil
	case <-time.After(stopWait):
		return fmt.Errorf("node %s did not stop", n.Name)
	}
}

// Kill kills the process of the node, if it runs.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill() // it fails only if the process has ended
	<-n.done
}

// AwaitReady waits until the node is ready.
func (n *Node) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(readyInterval) {
		resp, err := client.Get("http://" + n.Ready + names.Ready)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", n.Name)
}

// Request is a request of a client.
type Request struct {
	Method, Host, Path, Key string
	Deadline                time.Duration
}

// Sent is a request that a client has sent.
type Sent struct {
	ID     string
	At     time.Time
	Status int // 0: no answer
}

// Client sends requests to one node on kept connections.
type Client struct {
	lab  *Lab
	node *Node
	http *http.Client
}

// NewClient returns a client on the machine of a node.
func (l *Lab) NewClient(n *Node) *Client {
	return &Client{lab: l, node: n, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Do sends a request and waits for its answer.
func (c *Client) Do(req Request) Sent {
	id := fmt.Sprintf("%016x", c.lab.ids.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), req.Deadline)
	defer cancel()
	sent := Sent{ID: id, At: time.Now()}
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+c.node.Callers+req.Path, nil)
	if err != nil {
		panic(err)
	}
	r.Host = req.Host
	r.Header.Set(names.Attempt, id)
	r.Header.Set(names.Deadline, strconv.FormatInt(req.Deadline.Milliseconds(), 10))
	if req.Key != "" {
		r.Header.Set(names.Key, names.KeyScheme+req.Key)
	}
	c.lab.Record.Line("sent", "node", c.node.Name, "id", id, "path", req.Path)
	if resp, err := c.http.Do(r); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			sent.Status = resp.StatusCode
		}
	}
	c.lab.Record.Line("answered", "id", id, "status", sent.Status)
	return sent
}
