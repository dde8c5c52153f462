package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform's protocol.
const (
	platformAttemptID  = "X-Attempt-Id"
	platformDeadline   = "X-Deadline-Ms"
	platformSeal       = "X-Server-Seal"
	platformNotRun     = "X-Not-Executed"
	platformTenant     = "X-Tenant"
	platformOrigin     = "X-Caller-Service"
	platformInstance   = "X-Expect-Instance"
	platformLimit      = "Server-Limit"
	platformLeaving    = "Server-Leaving"
	platformKey        = "Authorization"
	platformAuthScheme = "Bearer "
)

// ReadyPath is the readiness endpoint of a node, which the platform probes.
const ReadyPath = "/-/readyz"

const (
	announceTimeout = time.Second
	queuedPerSlot   = 2       // requests that may wait for each slot
	maxServerBody   = 1 << 20 // bytes of a request body that are read
)

// PlatformRequest is a request of a caller in the platform's protocol.
type PlatformRequest struct {
	Method, Host, Path, ID, Key string
	Body                        string
	Timeout                     time.Duration // how long the caller waits for the response
}

// Build returns the HTTP request for the node at address, ip:port.
func (p *PlatformRequest) Build(ctx context.Context, address string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, p.Method, "http://"+address+p.Path, strings.NewReader(p.Body))
	if err != nil {
		return nil, err
	}
	r.Host = p.Host
	r.Header.Set(platformAttemptID, p.ID)
	r.Header.Set(platformDeadline, strconv.FormatInt(p.Timeout.Milliseconds(), 10))
	if p.Key != "" {
		r.Header.Set(platformKey, platformAuthScheme+p.Key)
	}
	return r, nil
}

// Seal returns the value of the X-Server-Seal header: a checksum of the request ID,
// status and body of a response.
func Seal(id string, status int, body []byte) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %s", id, status, body))
	return hex.EncodeToString(sum[:8])
}

// CheckSeal verifies that a backend server sent this response to the request with
// the ID. It returns a description of the mismatch, or "" if there is none.
// Responses other than 1xx and 2xx may lack a seal, because nodes send them too.
func CheckSeal(id string, resp *http.Response, body []byte) string {
	switch {
	case resp.Header.Get(platformSeal) == "" && resp.StatusCode < http.StatusMultipleChoices:
		return "success status without the seal of a backend server"
	case resp.Header.Get(platformSeal) != "" && resp.Header.Get(platformSeal) != Seal(id, resp.StatusCode, body):
		return "seal does not match the request ID, status and body"
	}
	return ""
}

// ReceivedRequest is a request that a SidecarBackend has started to run.
type ReceivedRequest struct {
	PlatformRequest // Key is set if the node forwarded a key
	Service         string
	Instance        string
	Tenant, Origin  string // workspace and calling service, from the headers
	At              time.Time
}

// SidecarBackendConfig describes a SidecarBackend.
type SidecarBackendConfig struct {
	Service       string
	Address       string // own address, ip:port
	Announcements string // announcement listener of the node on its host, ip:port
	Callers       string // callers listener of the node on its host, for onward calls, ip:port
	Slots         int    // requests that run concurrently
	ServiceTime   time.Duration
	// OnwardCall returns the onward call to make for the request with the ID parent,
	// or nil for none. A nil function makes no calls. It must be safe for concurrent
	// use.
	OnwardCall func(parent string) *PlatformRequest
	// OnRequest is called when a request starts to run. It must not be nil and must
	// be safe for concurrent use.
	OnRequest func(ReceivedRequest)
}

// SidecarBackend is a fake backend server on the users' platform: it speaks the
// platform's protocol and is served by a node that runs as its sidecar. Backend is
// the counterpart for nodes that run on their own. It is safe for concurrent use.
type SidecarBackend struct {
	cfg    SidecarBackendConfig
	slots  chan struct{}
	queued atomic.Int64
	client *http.Client

	mu        sync.Mutex
	behaviour SidecarBackendBehaviour
	instance  string
	phase     string
	sequence  int
	startedAt time.Time
	rateLimit float64 // requests per second; 0: none
	leaving   bool
}

// NewSidecarBackend returns a server that has to be started with Start.
func NewSidecarBackend(cfg SidecarBackendConfig) *SidecarBackend {
	return &SidecarBackend{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots}},
	}
}

// Start sets a new instance ID and the phase "ready", restarts the numbering of
// announcements, and ends the rate limit and the leaving of the instance before.
func (s *SidecarBackend) Start(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance, s.phase, s.sequence, s.startedAt = instance, "ready", 0, time.Now()
	s.rateLimit, s.leaving = 0, false
}

// SetRateLimit makes all responses name a limit in requests per second; 0 means none. The
// server does not enforce it.
func (s *SidecarBackend) SetRateLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = perSecond
}

// Leave makes all responses say that the server leaves. Its announcements go on saying
// "ready".
func (s *SidecarBackend) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// setSignals adds what the server says about itself to the headers of a response.
func (s *SidecarBackend) setSignals(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rateLimit > 0 {
		h.Set(platformLimit, strconv.FormatFloat(s.rateLimit, 'f', -1, 64))
	}
	if s.leaving {
		h.Set(platformLeaving, "1")
	}
}

// Drain makes further announcements report the phase "draining".
func (s *SidecarBackend) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = "draining"
}

// SetBehaviour replaces the behaviour. Requests that are already running keep the
// previous one.
func (s *SidecarBackend) SetBehaviour(b SidecarBackendBehaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Announce sends one announcement and reports whether the node acknowledged it.
func (s *SidecarBackend) Announce(ctx context.Context) bool {
	s.mu.Lock()
	s.sequence++
	instance := s.instance
	body, err := json.Marshal(map[string]any{
		"service": s.cfg.Service, "address": s.cfg.Address, "zone": "", "version": "v1", "capacity": s.cfg.Slots,
		"phase": s.phase, "coldRemaining": "0ms", "sequence": s.sequence, "born": s.startedAt.UnixMilli(),
	})
	s.mu.Unlock()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cfg.Announcements+"/-/Instances.Heartbeat/"+instance, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (s *SidecarBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	behaviour, instance := s.behaviour, s.instance
	s.mu.Unlock()
	id := r.Header.Get(platformAttemptID)
	w.Header().Set(platformAttemptID, id)
	s.setSignals(w.Header())
	if expected := r.Header.Get(platformInstance); expected != "" && expected != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sampler := newFaultSampler(id)
	if sampler.sample(behaviour.Shed) || !s.acquireSlot(r.Context()) {
		w.Header().Set(platformNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, id, instance, behaviour, sampler)
}

// acquireSlot waits for a slot. It returns false if the queue is full or ctx ends
// first.
func (s *SidecarBackend) acquireSlot(ctx context.Context) bool {
	if s.queued.Add(1) > int64(s.cfg.Slots*(1+queuedPerSlot)) {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *SidecarBackend) run(w http.ResponseWriter, r *http.Request, id, instance string, behaviour SidecarBackendBehaviour, sampler *faultSampler) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServerBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ms, _ := strconv.ParseInt(r.Header.Get(platformDeadline), 10, 64) // without a valid deadline the request times out at once
	s.cfg.OnRequest(ReceivedRequest{
		PlatformRequest: PlatformRequest{
			Method: r.Method, Host: r.Host, Path: r.URL.RequestURI(), ID: id, Key: r.Header.Get(platformKey),
			Body: string(body), Timeout: time.Duration(ms) * time.Millisecond,
		},
		Service: s.cfg.Service, Instance: instance, Tenant: r.Header.Get(platformTenant), Origin: r.Header.Get(platformOrigin), At: time.Now(),
	})
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	if !s.simulateWork(ctx, behaviour) {
		s.writeResponse(w, id, http.StatusGatewayTimeout, nil, behaviour, sampler)
		return
	}
	if s.cfg.OnwardCall != nil && !s.makeOnwardCall(ctx, id) || sampler.sample(behaviour.Fail) {
		s.writeResponse(w, id, http.StatusInternalServerError, nil, behaviour, sampler)
		return
	}
	s.writeResponse(w, id, http.StatusOK, body, behaviour, sampler)
}

// simulateWork waits for the service time. It returns false if ctx ends first.
func (s *SidecarBackend) simulateWork(ctx context.Context, behaviour SidecarBackendBehaviour) bool {
	timer := time.NewTimer(time.Duration(float64(s.cfg.ServiceTime) * max(behaviour.WorkFactor, 1)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// makeOnwardCall makes the onward call, if there is one, and reports whether it
// succeeded.
func (s *SidecarBackend) makeOnwardCall(ctx context.Context, parent string) bool {
	p := s.cfg.OnwardCall(parent)
	if p == nil {
		return true
	}
	if end, ok := ctx.Deadline(); ok {
		p.Timeout = min(p.Timeout, time.Until(end))
	}
	r, err := p.Build(ctx, s.cfg.Callers)
	if err != nil {
		return false
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// writeResponse sends a response, with the sampled faults applied.
func (s *SidecarBackend) writeResponse(w http.ResponseWriter, id string, status int, body []byte, behaviour SidecarBackendBehaviour, sampler *faultSampler) {
	if sampler.sample(behaviour.DropAnswer) {
		panic(http.ErrAbortHandler)
	}
	payload := append([]byte(s.cfg.Service+" "+id+" "), body...)
	seal := Seal(id, status, payload)
	switch {
	case sampler.sample(behaviour.Truncate):
		writeRawAndClose(w, s.formatResponse(id, status, seal, len(payload))+string(payload[:len(payload)/2]))
	case sampler.sample(behaviour.ExtraAnswer):
		extra := []byte("late")
		writeRawAndClose(w, s.formatResponse(id, status, seal, len(payload))+string(payload)+s.formatResponse(id+"x", status, Seal(id+"x", status, extra), len(extra))+string(extra))
	default:
		w.Header().Set(platformSeal, seal)
		w.Header().Set("Content-Length", strconv.Itoa(len(payload)))
		w.WriteHeader(status)
		_, _ = w.Write(payload) // a write error means that the node disconnected
	}
}
