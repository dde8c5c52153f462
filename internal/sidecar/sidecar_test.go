package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/settings"
)

const waitLimit = 20 * time.Second

// server is a backend server that speaks the platform's protocol.
type server struct {
	*httptest.Server
	id       string
	response atomic.Pointer[http.HandlerFunc] // nil: a valid response

	mu       sync.Mutex
	received []http.Header // headers of all requests so far
}

func newServer(t testing.TB, id string) *server {
	s := &server{id: id}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.received = append(s.received, r.Header.Clone())
	s.mu.Unlock()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if f := s.response.Load(); f != nil {
		(*f)(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Server-Seal", "seal")
	_, _ = io.WriteString(w, s.id+r.Method+r.URL.Path+string(body))
}

func (s *server) setResponse(f http.HandlerFunc) { s.response.Store(&f) }

func (s *server) requests() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// fleet starts hosts that share one stand-in of the platform.
type fleet struct {
	t         testing.TB
	standIn   *standin.Platform
	url       string
	stopLimit time.Duration // in the settings of new nodes
}

// host is a node with its backend server.
type host struct {
	*server
	fleet    *fleet
	sidecar  *Sidecar
	service  string
	url      string // of the store
	stop     func() // kills the node
	born     int64  // start of the backend server in its announcements, Unix milliseconds; 0: not contained
	sequence atomic.Int64
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, standIn: standin.NewPlatform(), stopLimit: waitLimit}
	srv := httptest.NewServer(f.standIn.Handler())
	t.Cleanup(srv.CloseClientConnections)
	f.url = srv.URL
	return f
}

func (f *fleet) configure(version int, tenants string) {
	route := func(host, kind, service, extraFields string) string {
		return fmt.Sprintf(`%q:{"hostname":%q,"prefix":"/","kind":%q,"timeout":"2s","targetLatency":"1s","priority":1,"service":%q,"attempts":2%s}`,
			host, host, kind, service, extraFields)
	}
	routes := []string{
		route("read.example", "idempotent", "shop", ""), route("order.example", "non_idempotent", "shop", ""),
		route("open.example", "idempotent", "shop", `,"allowAnonymous":true`), route("none.example", "idempotent", "ghost", ""),
		route("front.example", "idempotent", "front", ""),
	}
	f.standIn.Write("op", "config", fmt.Appendf(nil, `{"version":"r%d","routes":{%s},"services":{"shop":{"maxConnections":50}},"limits":{},"tenants":{%s}}`,
		version, strings.Join(routes, ","), tenants))
}

// farm is a workspace without a rate limit. A new node starts with one token, so with a
// rate limit the second request would be refused.
const farm = `"farm":{"apiKeys":["k1"],"priority":1}`

// newcomer is a workspace that takes the place of farm, whose key is withdrawn.
const newcomer = `"new":{"apiKeys":["k5"]}`

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// host starts a node and its backend server, which announces itself once.
func (f *fleet) host(name, service string) *host {
	f.t.Helper()
	h := &host{server: newServer(f.t, name), fleet: f, service: service, url: f.url}
	h.start()
	f.t.Cleanup(func() { h.stop() })
	h.announce("ready")
	return h
}

// start starts a new process of the node.
func (h *host) start() {
	h.fleet.t.Helper()
	t := h.fleet.t
	var err error
	for range 20 { // another process may take a free port before New opens it
		h.sidecar, err = New(&settings.Sidecar{
			Name: h.id, DataCentre: "dudley", Region: "midlands", Service: h.service, Platform: h.url,
			Addresses: settings.SidecarAddresses{
				Callers: freeAddress(t), Peers: freeAddress(t), Announcements: freeAddress(t), Ready: freeAddress(t), Operators: freeAddress(t),
			},
			AnnouncementInterval: time.Hour, MemoryLimit: 1 << 30, StopLimit: h.fleet.stopLimit,
		}, logr.Discard())
		if err == nil || !strings.Contains(err.Error(), "address already in use") {
			break
		}
	}
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func(s *Sidecar) { defer close(done); _ = s.Run(ctx) }(h.sidecar)
	h.stop = func() { cancel(); <-done }
}

// announce sends an announcement, which has to be acknowledged.
func (h *host) announce(phase string) {
	h.fleet.t.Helper()
	assert.Equal(h.fleet.t, h.sendHeartbeat(h.sequence.Add(1), phase), http.StatusOK)
}

// sendHeartbeat returns the status of the answer.
func (h *host) sendHeartbeat(sequence int64, phase string) int {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","capacity":4,"phase":%q,"coldRemaining":"0ms","sequence":%d,"born":%d}`,
		h.service, h.Listener.Addr().String(), phase, sequence, h.born)
	return h.sendControl("Heartbeat", body)
}

// deregister returns the status of the answer.
func (h *host) deregister() int {
	return h.sendControl("Deregister", fmt.Sprintf(`{"born":%d}`, h.born))
}

func (h *host) sendControl(call, body string) int {
	h.fleet.t.Helper()
	resp, err := http.Post("http://"+h.sidecar.settings.Addresses.Announcements+"/-/Instances."+call+"/"+h.id, "application/json", strings.NewReader(body))
	assert.NilError(h.fleet.t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// result is the response to a caller; status 0 means a broken connection.
type result struct {
	status int
	body   string
	header http.Header
	id     string // of the request
}

var attempts atomic.Int64

// call sends a request to a node as a caller does. extraHeaders holds names and values of
// further headers, alternating.
func (h *host) call(method, hostName, key string, extraHeaders ...string) result {
	req, err := http.NewRequest(method, "http://"+h.sidecar.settings.Addresses.Callers+"/x", nil)
	assert.NilError(h.fleet.t, err)
	req.Host = hostName
	id := "a" + strconv.FormatInt(attempts.Add(1), 10)
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(extraHeaders); i += 2 {
		req.Header.Set(extraHeaders[i], extraHeaders[i+1])
	}
	client := &http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return result{id: id}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{id: id}
	}
	return result{resp.StatusCode, string(body), resp.Header, id}
}

// waitUntil repeats a check until it returns "", for up to waitLimit.
func waitUntil(t testing.TB, check func() string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if problem := check(); problem != "" {
			return poll.Continue("%s", problem)
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit))
}

// awaitEndpoints waits until the node knows n endpoints of a service.
func (h *host) awaitEndpoints(service string, n int) {
	h.fleet.t.Helper()
	waitUntil(h.fleet.t, func() string {
		if known := len(h.sidecar.directory.Endpoints(service)); known != n {
			return fmt.Sprintf("%d endpoints are known", known)
		}
		return ""
	})
}

// awaitServing waits until a request of a route succeeds at the node.
func (h *host) awaitServing(hostName string) {
	h.fleet.t.Helper()
	waitUntil(h.fleet.t, func() string {
		if a := h.call("GET", hostName, "k1"); a.status != 200 {
			return fmt.Sprintf("status %d", a.status)
		}
		return ""
	})
}

// Guards against a key that reaches a backend server, and against headers of a caller
// that replace those of the node, on the same host and across one hop.
func TestWhatBackendServersSee(t *testing.T) {
	f := newFleet(t)
	shop, other := f.host("shop-1", "shop"), f.host("other-1", "other")
	f.configure(4, farm)
	for _, entry := range []*host{shop, other} {
		entry.awaitServing("read.example")
		a := entry.call("GET", "read.example", "k1", "X-Tenant", "forged", "X-Caller-Service", "forged", "X-Expect-Instance", "forged", "X-Other", "kept")
		assert.Equal(t, a.status, 200)
		assert.Equal(t, a.body, "shop-1GET/x")
		assert.Equal(t, a.header.Get("X-Server-Seal"), "seal")
		seen := shop.requests()
		got := seen[len(seen)-1]
		assert.Equal(t, got.Get("Authorization"), "")
		assert.Equal(t, got.Get("X-Tenant"), "farm")
		assert.Equal(t, got.Get("X-Caller-Service"), entry.service)
		assert.Equal(t, got.Get("X-Expect-Instance"), "shop-1")
		assert.Equal(t, got.Get("X-Other"), "kept")
		left, err := strconv.Atoi(got.Get("X-Deadline-Ms"))
		assert.NilError(t, err)
		assert.Assert(t, left > 0 && left <= 2000, "the route's timeout is 2 s, the server was told %d ms", left)
		for name := range got {
			assert.Assert(t, !strings.HasPrefix(name, "Dotterel-"), name)
		}
	}
	assert.Equal(t, shop.call("GET", "open.example", "").status, 200)
}

// Guards against refusals with a wrong status or without Retry-After. A refusal with
// status 429 or 503 promises that the request did not run.
func TestRefusals(t *testing.T) {
	f := newFleet(t)
	shop := f.host("shop-1", "shop")
	assert.Equal(t, shop.call("GET", "read.example", "k1").status, 503) // no configuration yet
	ready := func() int {
		resp, err := http.Get("http://" + shop.sidecar.settings.Addresses.Ready + "/-/readyz")
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	assert.Equal(t, ready(), 503)
	f.configure(4, farm+`,"small":{"apiKeys":["k2"],"ratePerS":0.001,"burst":1}`)
	shop.awaitServing("read.example")
	assert.Equal(t, ready(), 200)
	for _, tc := range []struct {
		name, host, key string
		status          int
	}{
		{"no key", "read.example", "", 401}, {"unknown key", "read.example", "k9", 401},
		{"no route", "gone.example", "k1", 404}, {"no backend server", "none.example", "k1", 503},
	} {
		a := shop.call("GET", tc.host, tc.key)
		assert.Equal(t, a.status, tc.status, tc.name)
		assert.Equal(t, a.header.Get("Retry-After") != "", tc.status == 503, tc.name)
	}
	limited := 0
	for range 5 {
		if a := shop.call("GET", "read.example", "k2"); a.status == 429 {
			limited++
			assert.Assert(t, a.header.Get("Retry-After") != "")
		}
	}
	assert.Assert(t, limited >= 3, "%d of 5 requests over the rate were refused", limited)
	f.configure(9, `"other":{"apiKeys":["k3"]}`)
	waitUntil(t, func() string {
		if a := shop.call("GET", "read.example", "k1"); a.status != 401 {
			return fmt.Sprintf("a withdrawn key gets status %d", a.status)
		}
		return ""
	})
}
