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
	platformID       = "X-Attempt-Id"
	platformDeadline = "X-Deadline-Ms"
	platformSeal     = "X-Server-Seal"
	platformNotRun   = "X-Not-Executed"
	platformTenant   = "X-Tenant"
	platformOrigin   = "X-Caller-Service"
	platformInstance = "X-Expect-Instance"
	platformKey      = "Authorization"
	platformScheme   = "Bearer "
)

// ReadyPath is where the platform asks a node whether it is ready.
const ReadyPath = "/-/readyz"

const (
	// announceLimit is the time in which an announcement has to be acknowledged.
	announceLimit = time.Second
	// queuedPerSlot requests may wait for a slot of a PlatformServer.
	queuedPerSlot = 2
	// maxServerBody bounds the body of a request that a PlatformServer reads.
	maxServerBody = 1 << 20
)

// PlatformRequest is a caller's request in the platform's protocol.
type PlatformRequest struct {
	Method, Host, Path, ID, Key string
	Body                        string
	Timeout                     time.Duration // that the caller waits
}

// Build returns the request for the node at address.
func (p *PlatformRequest) Build(ctx context.Context, address string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, p.Method, "http://"+address+p.Path, strings.NewReader(p.Body))
	if err != nil {
		return nil, err
	}
	r.Host = p.Host
	r.Header.Set(platformID, p.ID)
	r.Header.Set(platformDeadline, strconv.FormatInt(p.Timeout.Milliseconds(), 10))
	if p.Key != "" {
		r.Header.Set(platformKey, platformScheme+p.Key)
	}
	return r, nil
}

// Seal returns the signature of a PlatformServer for an answer.
func Seal(id string, status int, body []byte) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %s", id, status, body))
	return hex.EncodeToString(sum[:8])
}

// CheckSeal tells what is wrong with an answer that a caller got as that of a
// backend server, or "".
func CheckSeal(id string, resp *http.Response, body []byte) string {
	switch {
	case resp.Header.Get(platformSeal) == "" && resp.StatusCode < http.StatusMultipleChoices:
		return "a success without the seal of a backend server"
	case resp.Header.Get(platformSeal) != "" && resp.Header.Get(platformSeal) != Seal(id, resp.StatusCode, body):
		return "the answer is not the one that the backend server gave to this request"
	}
	return ""
}

// PlatformBehaviour is how a PlatformServer misbehaves. Parts are those of all
// requests, 0 to 1, drawn by the request's ID.
type PlatformBehaviour struct {
	WorkFactor  float64 // work takes this many times longer; 0 means 1
	DropAnswer  float64 // part that runs and loses its answer
	Truncate    float64 // part whose answer breaks off
	ExtraAnswer float64 // part after whose answer another one follows
	Fail        float64 // part that is answered 500
	Shed        float64 // part that is refused as not run
}

// ReceivedRequest is a request that a PlatformServer began to work on.
type ReceivedRequest struct {
	PlatformRequest // Key is set if a key reached the server
	Service         string
	Instance        string
	Tenant, Origin  string
	At              time.Time
}

// PlatformServerConfig describes a PlatformServer.
type PlatformServerConfig struct {
	Service       string
	Address       string // own address, ip:port
	Announcements string // of the node on its host, ip:port
	Callers       string // of the node on its host, for its own calls, ip:port
	Slots         int
	ServiceTime   time.Duration
	// OnwardCall is made for each request of a caller, if it is not nil.
	OnwardCall func(parent string) *PlatformRequest
	// OnRequest is called for each request when its work begins.
	OnRequest func(ReceivedRequest)
}

// PlatformServer is a backend server that speaks the platform's protocol. A start
// gives it a new instance. It is safe for concurrent use.
type PlatformServer struct {
	cfg    PlatformServerConfig
	slots  chan struct{}
	queued atomic.Int64
	client *http.Client

	mu        sync.Mutex
	behaviour PlatformBehaviour
	instance  string
	phase     string
	sequence  int
	born      time.Time
}

// NewPlatformServer returns a server that is not started yet.
func NewPlatformServer(cfg PlatformServerConfig) *PlatformServer {
	return &PlatformServer{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots}},
	}
}

// Start begins a new instance, which is ready.
func (s *PlatformServer) Start(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance, s.phase, s.sequence, s.born = instance, "ready", 0, time.Now()
}

// Drain makes the server say that it leaves.
func (s *PlatformServer) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = "draining"
}

// SetBehaviour replaces the behaviour.
func (s *PlatformServer) SetBehaviour(b PlatformBehaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Announce says once what the server is, and reports whether the node has
// acknowledged it.
func (s *PlatformServer) Announce(ctx context.Context) bool {
	s.mu.Lock()
	s.sequence++
	instance := s.instance
	body, err := json.Marshal(map[string]any{
		"service": s.cfg.Service, "address": s.cfg.Address, "zone": "", "version": "v1", "capacity": s.cfg.Slots,
		"phase": s.phase, "coldRemaining": "0ms", "sequence": s.sequence, "born": s.born.UnixMilli(),
	})
	s.mu.Unlock()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceLimit)
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
func (s *PlatformServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	behaviour, instance := s.behaviour, s.instance
	s.mu.Unlock()
	id := r.Header.Get(platformID)
	w.Header().Set(platformID, id)
	if expected := r.Header.Get(platformInstance); expected != "" && expected != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	draw := newDraw(id)
	if draw.hits(behaviour.Shed) || !s.acquire(r.Context()) {
		w.Header().Set(platformNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, id, instance, behaviour, draw)
}

// acquire takes a slot, for which a few requests may wait.
func (s *PlatformServer) acquire(ctx context.Context) bool {
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

func (s *PlatformServer) run(w http.ResponseWriter, r *http.Request, id, instance string, behaviour PlatformBehaviour, draw *draw) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServerBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ms, _ := strconv.ParseInt(r.Header.Get(platformDeadline), 10, 64) // without a number nothing is left
	s.cfg.OnRequest(ReceivedRequest{
		PlatformRequest: PlatformRequest{
			Method: r.Method, Host: r.Host, Path: r.URL.RequestURI(), ID: id, Key: r.Header.Get(platformKey),
			Body: string(body), Timeout: time.Duration(ms) * time.Millisecond,
		},
		Service: s.cfg.Service, Instance: instance, Tenant: r.Header.Get(platformTenant), Origin: r.Header.Get(platformOrigin), At: time.Now(),
	})
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	if !s.work(ctx, behaviour) {
		s.answer(w, id, http.StatusGatewayTimeout, nil, behaviour, draw)
		return
	}
	if s.cfg.OnwardCall != nil && !s.call(ctx, id) || draw.hits(behaviour.Fail) {
		s.answer(w, id, http.StatusInternalServerError, nil, behaviour, draw)
		return
	}
	s.answer(w, id, http.StatusOK, body, behaviour, draw)
}

// work holds the slot; it returns false if the time is over first.
func (s *PlatformServer) work(ctx context.Context, behaviour PlatformBehaviour) bool {
	timer := time.NewTimer(time.Duration(float64(s.cfg.ServiceTime) * max(behaviour.WorkFactor, 1)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call makes the server's own call and reports whether it was answered.
func (s *PlatformServer) call(ctx context.Context, parent string) bool {
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

// answer sends an answer, or spoils it.
func (s *PlatformServer) answer(w http.ResponseWriter, id string, status int, body []byte, behaviour PlatformBehaviour, draw *draw) {
	if draw.hits(behaviour.DropAnswer) {
		panic(http.ErrAbortHandler)
	}
	text := append([]byte(s.cfg.Service+" "+id+" "), body...)
	seal := Seal(id, status, text)
	switch {
	case draw.hits(behaviour.Truncate):
		hijack(w, rawAnswer(id, status, seal, len(text))+string(text[:len(text)/2]))
	case draw.hits(behaviour.ExtraAnswer):
		late := []byte("late")
		hijack(w, rawAnswer(id, status, seal, len(text))+string(text)+rawAnswer(id+"x", status, Seal(id+"x", status, late), len(late))+string(late))
	default:
		w.Header().Set(platformSeal, seal)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(status)
		_, _ = w.Write(text) // a write error means that the node is gone
	}
}

func rawAnswer(id string, status int, seal string, length int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), platformID, id, platformSeal, seal, length)
}

// hijack writes raw bytes and closes the connection.
func hijack(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text) // a write error means that the node is gone
	_ = conn.Close()
}

// draw decides by a request's ID which misbehaviour it meets, so that a seed
// repeats them.
type draw struct {
	sum  [sha256.Size]byte
	next int
}

func newDraw(id string) *draw { return &draw{sum: sha256.Sum256([]byte(id))} }

func (d *draw) hits(part float64) bool {
	d.next++
	return float64(d.sum[d.next])/256 < part
}
