package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	announceInterval = 500 * time.Millisecond
	deadlineHeader   = "Dotterel-Deadline-Ms"
	contextHeader    = "Dotterel-Context"
	requestIDHeader  = "Dotterel-Request-Id"
	notRunHeader     = "Dotterel-Not-Run"
	workspaceHeader  = "Dotterel-Workspace"
	maxRunTimes      = 1 << 20 // recorded per workspace
)

// Announcement is the body of POST /v1/announce, with which a backend server
// registers at the local listener of the node on its host.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"` // ip:port of the backend server
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"` // "starting", "serving" or "draining"
	ColdStartMS int64  `json:"cold_start_ms"`
}

// BackendBehaviour controls how a Backend handles requests, including injected
// faults. It can be changed while the Backend runs.
type BackendBehaviour struct {
	ServiceTime   time.Duration `json:"service_time"` // time a request holds its slot, nanoseconds
	Calls         []string      `json:"calls"`        // onward calls as "METHOD /service/path", made one after another
	Parallel      bool          `json:"parallel"`     // make the onward calls concurrently
	DropContext   bool          `json:"drop_context"` // leave the context header out of onward calls
	RetryCalls    int           `json:"retry_calls"`  // retries by the backend server of a failed onward call
	AnswerBytes   int           `json:"answer_bytes"` // size of the response body; 0 echoes the request body
	Truncate      bool          `json:"truncate"`     // close the connection after half of Content-Length
	FailBefore    bool          `json:"fail_before"`  // close the connection without running the request
	FailAfter     bool          `json:"fail_after"`   // run the request, then close the connection without a response
	Shed          bool          `json:"shed"`         // refuse every request as not run
	Draining      bool          `json:"draining"`     // announce draining and refuse every request as not run
	ReportHealthy bool          `json:"lie_healthy"`  // report serving and no load while draining or full
}

// BackendConfig describes a Backend.
type BackendConfig struct {
	Service     string
	Address     string // own address, ip:port
	Local       string // base URL of the node's local listener
	Slots       int    // requests that run concurrently
	Connections int
	ColdStart   time.Duration // requests within this time after the start take twice as long
	Behaviour   BackendBehaviour
}

// BackendStats are the counters of a Backend.
type BackendStats struct {
	Runs          int64          `json:"runs"`
	Completed     int64          `json:"completed"` // runs whose response was started, even if it was then truncated
	Cancelled     int64          `json:"cancelled"` // runs that ended early because the caller disconnected or the deadline passed
	NotRun        int64          `json:"shed"`      // requests refused as not run
	Connections   int64          `json:"connections"`
	InFlight      int64          `json:"in_flight"`
	MaxInFlight   int64          `json:"max_in_flight"`
	RunsByRequest map[string]int `json:"runs_by_request"`
	KeyReceived   bool           `json:"saw_key"` // a Dotterel-Key header or trailer, or one whose value contains "secret", was received
	LastRun       time.Time      `json:"last_run"`
}

// Backend is a fake backend server that runs a fixed number of requests
// concurrently. It is safe for concurrent use.
type Backend struct {
	cfg     BackendConfig
	started time.Time
	slots   chan struct{}
	client  *http.Client

	mu                  sync.Mutex
	behaviour           BackendBehaviour
	runsByRequest       map[string]int
	runTimesByWorkspace map[string][]time.Time
	lastRun             time.Time

	runs, completed, cancelled, notRun, inFlight, maxInFlight, connections atomic.Int64
	keyReceived                                                            atomic.Bool
}

// NewBackend returns a backend server that has not announced itself to a node yet.
func NewBackend(cfg BackendConfig) *Backend {
	return &Backend{
		cfg: cfg, started: time.Now(), slots: make(chan struct{}, cfg.Slots), behaviour: cfg.Behaviour,
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		runsByRequest: map[string]int{}, runTimesByWorkspace: map[string][]time.Time{},
	}
}

// SetBehaviour replaces the behaviour. Requests that are already running keep the
// previous one.
func (b *Backend) SetBehaviour(v BackendBehaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = v
}

func (b *Backend) currentBehaviour() BackendBehaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaviour
}

// Stats returns the current counters.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	byRequest := make(map[string]int, len(b.runsByRequest))
	for k, v := range b.runsByRequest {
		byRequest[k] = v
	}
	return BackendStats{
		Runs: b.runs.Load(), Completed: b.completed.Load(), Cancelled: b.cancelled.Load(), NotRun: b.notRun.Load(),
		Connections: b.connections.Load(), InFlight: b.inFlight.Load(), MaxInFlight: b.maxInFlight.Load(),
		RunsByRequest: byRequest, KeyReceived: b.keyReceived.Load(), LastRun: b.lastRun,
	}
}

// RunTimes returns the start times of the requests of a workspace in ascending
// order, at most the first maxRunTimes.
func (b *Backend) RunTimes(workspace string) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runTimesByWorkspace[workspace])
}

// Handler serves the service itself, GET /_health, GET /_load, GET /_stats and
// POST /_behaviour.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", b.health)
	mux.HandleFunc("GET /_load", b.load)
	mux.HandleFunc("GET /_stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Stats()) })
	mux.HandleFunc("POST /_behaviour", b.postBehaviour)
	mux.HandleFunc("/", b.serve)
	return mux
}

// Announce registers the backend server at the node every 500 ms until ctx ends.
// Failures are ignored.
func (b *Backend) Announce(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		b.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (b *Backend) announceOnce(ctx context.Context) {
	state := "serving"
	if b.currentBehaviour().Draining && !b.currentBehaviour().ReportHealthy {
		state = "draining"
	}
	body, err := json.Marshal(Announcement{
		Service: b.cfg.Service, Address: b.cfg.Address, Slots: b.cfg.Slots, Connections: b.cfg.Connections,
		State: state, ColdStartMS: b.cfg.ColdStart.Milliseconds(),
	})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.cfg.Local+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := b.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	v := b.currentBehaviour()
	state := "serving"
	if v.Draining && !v.ReportHealthy {
		state = "draining"
	}
	writeJSON(w, map[string]string{"state": state})
}

func (b *Backend) load(w http.ResponseWriter, _ *http.Request) {
	n := b.inFlight.Load()
	if b.currentBehaviour().ReportHealthy {
		n = 0
	}
	writeJSON(w, map[string]int64{"in_flight": n, "slots": int64(b.cfg.Slots)})
}

func (b *Backend) postBehaviour(w http.ResponseWriter, r *http.Request) {
	var v BackendBehaviour
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetBehaviour(v)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	v := b.currentBehaviour()
	b.detectKey(r.Header)
	if v.Draining || v.Shed {
		b.rejectNotRun(w)
		return
	}
	if v.FailBefore {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		b.rejectNotRun(w)
		return
	}
	defer func() { <-b.slots }()
	b.run(ctx, w, r, v)
}

func (b *Backend) rejectNotRun(w http.ResponseWriter) {
	b.notRun.Add(1)
	w.Header().Set(notRunHeader, "true")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// run executes one request. The caller holds a slot.
func (b *Backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request, v BackendBehaviour) {
	b.recordRun(r)
	defer b.inFlight.Add(-1)
	body, err := io.ReadAll(r.Body)
	b.detectKey(r.Trailer)
	if err != nil {
		b.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	if !b.simulateWork(ctx, v) {
		b.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	if status := b.makeOnwardCalls(ctx, r, v); status >= http.StatusBadRequest {
		b.completed.Add(1)
		http.Error(w, "onward call failed", http.StatusBadGateway)
		return
	}
	if v.FailAfter {
		panic(http.ErrAbortHandler)
	}
	b.completed.Add(1)
	b.writeResponse(w, body, v)
}

func (b *Backend) recordRun(r *http.Request) {
	b.runs.Add(1)
	n := b.inFlight.Add(1)
	for {
		old := b.maxInFlight.Load()
		if n <= old || b.maxInFlight.CompareAndSwap(old, n) {
			break
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRun = time.Now()
	workspace := r.Header.Get(workspaceHeader)
	if times := b.runTimesByWorkspace[workspace]; len(times) < maxRunTimes {
		b.runTimesByWorkspace[workspace] = append(times, b.lastRun)
	}
	if id := r.Header.Get(requestIDHeader); id != "" {
		b.runsByRequest[id]++
	}
}

// simulateWork waits for the service time. It returns false if ctx ends first.
func (b *Backend) simulateWork(ctx context.Context, v BackendBehaviour) bool {
	d := v.ServiceTime
	if time.Since(b.started) < b.cfg.ColdStart {
		d *= 2
	}
	if d == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// makeOnwardCalls makes the configured calls and returns the highest status code.
func (b *Backend) makeOnwardCalls(ctx context.Context, r *http.Request, v BackendBehaviour) int {
	if !v.Parallel {
		worst := 0
		for _, call := range v.Calls {
			worst = max(worst, b.callWithRetries(ctx, r, call, v))
		}
		return worst
	}
	results := make(chan int, len(v.Calls))
	for _, call := range v.Calls {
		go func() { results <- b.callWithRetries(ctx, r, call, v) }()
	}
	worst := 0
	for range v.Calls {
		worst = max(worst, <-results)
	}
	return worst
}

func (b *Backend) callWithRetries(ctx context.Context, r *http.Request, call string, v BackendBehaviour) int {
	status := 0
	for range v.RetryCalls + 1 {
		status = b.callOnce(ctx, r, call, v)
		if status < http.StatusInternalServerError {
			return status
		}
	}
	return status
}

func (b *Backend) callOnce(ctx context.Context, r *http.Request, call string, v BackendBehaviour) int {
	method, path, _ := strings.Cut(call, " ")
	req, err := http.NewRequestWithContext(ctx, method, b.cfg.Local+path, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	if !v.DropContext {
		req.Header.Set(contextHeader, r.Header.Get(contextHeader))
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return http.StatusBadGateway
	}
	return resp.StatusCode
}

func (b *Backend) writeResponse(w http.ResponseWriter, body []byte, v BackendBehaviour) {
	if v.AnswerBytes > 0 {
		body = bytes.Repeat([]byte{'a'}, v.AnswerBytes)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !v.Truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	panic(http.ErrAbortHandler)
}

func (b *Backend) detectKey(h http.Header) {
	for name, values := range h {
		if strings.EqualFold(name, "Dotterel-Key") || strings.Contains(fmt.Sprint(values), "secret") {
			b.keyReceived.Store(true)
		}
	}
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// ConnState counts open connections. Set it as http.Server.ConnState.
func (b *Backend) ConnState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		b.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		b.connections.Add(-1)
	}
}
