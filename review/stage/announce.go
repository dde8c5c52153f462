package stage

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

//go:embed deregister-path.txt
var deregisterPath string

const callTimeout = time.Second

// heartbeats is a proxy between the backend server of a host and the sidecar, through which
// the heartbeats pass. It can delay one.
type heartbeats struct {
	target string // announcements listener of the sidecar, ip:port
	record *Record
	server *http.Server

	mu    sync.Mutex
	delay time.Duration // of the next heartbeat
	born  json.RawMessage
}

// newHeartbeats starts the proxy and returns it with its address.
func newHeartbeats(target string, record *Record) (*heartbeats, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	b := &heartbeats{target: target, record: record}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }() // returns when the server is closed
	return b, l.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (b *heartbeats) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var beat struct {
		Born json.RawMessage `json:"born"`
	}
	if err := json.Unmarshal(body, &beat); err != nil {
		b.record.Add("heartbeat not readable: %v", err)
		return
	}
	b.mu.Lock()
	delay := b.delay
	b.delay, b.born = 0, beat.Born
	b.mu.Unlock()
	if delay > 0 {
		b.record.Add("heartbeat %s is delayed by %v", body, delay)
		time.Sleep(delay)
	}
	status, err := post(b.target, r.URL.Path, body)
	if delay > 0 {
		b.record.Add("heartbeat %s arrives: %d %v", body, status, err)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// post sends a message to the announcements listener of a sidecar.
func post(address, path string, body []byte) (status int, err error) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// DelayHeartbeat delays the next heartbeat. The server gives up waiting for its answer.
func (h *Host) DelayHeartbeat(delay time.Duration) {
	h.beats.mu.Lock()
	defer h.beats.mu.Unlock()
	h.beats.delay = delay
}

// Leave ends the heartbeats of the backend server and tells the sidecar that it leaves. The
// server goes on serving.
func (h *Host) Leave() error {
	h.leaveOnce.Do(func() { close(h.leaving) })
	h.beats.mu.Lock()
	body := fmt.Appendf(nil, `{"born":%s}`, h.beats.born)
	h.beats.mu.Unlock()
	status, err := post(h.announcements, deregisterPath+h.instance(), body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the leaving was answered %d", status)
	}
	return err
}

func (h *Host) instance() string { return "i-" + h.Name }

// announce sends heartbeats until the backend server leaves or the host is closed.
func (h *Host) announce(backend *standin.SidecarBackend) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	ctx := contextUntil(h.stop)
	for {
		backend.Announce(ctx)
		select {
		case <-tick.C:
		case <-h.leaving:
			return
		case <-h.stop:
			return
		}
		select {
		case <-h.leaving:
			return
		default:
		}
	}
}
