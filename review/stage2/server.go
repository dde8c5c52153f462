package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// serverSlots are the requests that a server runs concurrently.
const serverSlots = 108

// run is one request that a backend server has started to run.
type run struct {
	writer  http.ResponseWriter
	request *http.Request
	server  *server
	id      string
	at      time.Time
}

// server is a backend server next to a node. handle answers the requests that it runs.
type server struct {
	machine  *machine
	address  string
	instance string
	handle   func(*run)
	slots    chan struct{}
	http     *http.Server
	client   *http.Client

	mu       sync.Mutex
	sequence int
	born     time.Time
	silent   bool // sends no heartbeats
}

func newServer(m *machine, handle func(*run)) (*server, error) {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		machine: m, address: l.Addr().String(), instance: "i-" + m.name, handle: handle, slots: make(chan struct{}, serverSlots), born: time.Now(),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // returns when the server is closed
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

// ServeHTTP implements http.Handler. A request for another instance is not run.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Attempt)
	w.Header().Set(names.Attempt, id)
	if e := r.Header.Get(names.Expect); e != "" && e != s.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.handle(&run{writer: w, request: r, server: s, id: id, at: time.Now()})
}

// answer sends a whole success with the seal and the length of its body.
func (r *run) answer(body []byte) {
	h := r.writer.Header()
	h.Set(names.Seal, "seal-of-"+r.server.instance)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = r.writer.Write(body) // a write error means that the node has disconnected
}

// nextHeartbeat returns the body of the next heartbeat, which says that the server is
// ready.
func (s *server) nextHeartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	f := &names.Fields
	raw, err := json.Marshal(map[string]any{
		f.Service: s.machine.service, f.Address: s.address, f.Zone: s.machine.zone, f.Version: "v1", f.Capacity: cap(s.slots),
		f.Phase: "ready", f.Cold: "0ms", f.Sequence: s.sequence, f.Born: s.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // maps of strings and numbers always marshal
	}
	return raw
}

// send posts a call to the node next to the server and reports whether it was
// acknowledged within a second.
func (s *server) send(path string, body []byte) bool {
	resp, err := s.client.Post("http://"+s.machine.ports.announcements+path+s.instance, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

// announce sends heartbeats until the fleet is closed or the server is silent.
func (s *server) announce() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		s.send(names.Heartbeat, s.nextHeartbeat())
		select {
		case <-tick.C:
		case <-s.machine.fleet.stop:
			return
		}
	}
}

// silence ends the heartbeats.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}
