package lab3

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	announceTimeout   = time.Second
)

// Run is a request that a server has begun to run.
type Run struct {
	ID, Tenant, Instance string
	At                   time.Time
}

// Server is a sound application server beside a node.
type Server struct {
	Service, Zone, Instance, Address string
	Slots                            int
	born                             int64
	control                          string // where it sends heartbeats
	record                           *Record
	work                             time.Duration
	slots                            chan struct{}
	quiet                            chan struct{} // closed to end the heartbeats

	mu       sync.Mutex
	sequence int
	runs     []Run
}

// StartServer starts a server beside a node, with the node's service and zone, and begins to
// send heartbeats.
func StartServer(n *Node, slots int, work time.Duration) *Server {
	s := newServer(n, slots, work)
	go func() { _ = http.Serve(n.ForServer, s) }()
	go s.heartbeats()
	return s
}

func newServer(n *Node, slots int, work time.Duration) *Server {
	return &Server{
		Service: n.Service, Zone: n.Zone, Instance: "i-" + n.Name, Address: n.ForServer.Addr().String(), Slots: slots,
		born: time.Now().UnixMilli(), control: n.Announcements, record: n.lab.Record, work: work,
		quiet: make(chan struct{}), slots: make(chan struct{}, slots),
	}
}

// Runs returns the requests that the server has begun to run so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) heartbeats() {
	for {
		s.send(names.Heartbeat, s.Heartbeat())
		select {
		case <-time.After(heartbeatInterval):
		case <-s.quiet:
			return
		}
	}
}

// Heartbeat returns the body of the next heartbeat.
func (s *Server) Heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return fill(heartbeatTemplate, map[string]any{
		"Service": s.Service, "Address": s.Address, "Zone": s.Zone, "Slots": s.Slots, "Phase": "ready", "Sequence": s.sequence, "Born": s.born,
	})
}

// Deliver sends a heartbeat whose body was made earlier, and returns whether it was acknowledged.
func (s *Server) Deliver(body []byte) bool { return s.send(names.Heartbeat, body) }

// Deregister sends no heartbeats any more and says that the server goes. It returns when that
// was acknowledged, or false after the limit. The server goes on serving.
func (s *Server) Deregister(limit time.Duration) (time.Time, bool) {
	close(s.quiet)
	body := fmt.Appendf(nil, `{"born":%d}`, s.born)
	return s.repeat(limit, func() bool { return s.send(names.Deregister, body) })
}

func (s *Server) repeat(limit time.Duration, call func() bool) (time.Time, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if call() {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// send makes a call to the node and reports whether it was acknowledged.
func (s *Server) send(path string, body []byte) bool {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.control+path+s.Instance, "application/json", bytes.NewReader(body))
	status := 0
	if err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	s.record.Line("said", "server", s.Instance, "call", path, "body", string(bytes.TrimSpace(body)), "status", status)
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Attempt)
	w.Header().Set(names.Attempt, id)
	if expected := r.Header.Get(names.Instance); expected != "" && expected != s.Instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	ms, _ := strconv.Atoi(r.Header.Get(names.Deadline)) // without a deadline the request ends at once
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	select {
	case s.slots <- struct{}{}:
	case <-deadline.C:
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{id, r.Header.Get(names.Tenant), s.Instance, arrived})
	s.mu.Unlock()
	s.record.Line("run", "server", s.Instance, "id", id, "tenant", r.Header.Get(names.Tenant))
	status, body := http.StatusOK, []byte(s.Instance+" "+id+"\n")
	select {
	case <-time.After(s.work):
	case <-deadline.C:
		status, body = http.StatusGatewayTimeout, nil
	case <-r.Context().Done():
		s.record.Line("dropped", "server", s.Instance, "id", id)
		return
	}
	w.Header().Set(names.Seal, strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a write error means that the node has disconnected
}
