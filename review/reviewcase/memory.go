package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/review/stage"
)

// Case memory: callers fetch drawings with idempotent requests and send several of them
// before the first one is answered. They read slowly. The platform kills a sidecar whose
// memory exceeds that of its machine.
const (
	drawings        = "drawings"
	drawingsHost    = "drawings.example"
	drawingPath     = "/drawing/"
	drawingBytes    = 900 << 10
	drawingTimeout  = 4 * time.Second
	drawingAim      = 1500 * time.Millisecond
	drawingPatience = 5 * time.Second
	drawingWork     = 100 * time.Millisecond
	drawingHosts    = 3
	fetchers        = 40 // connections to each host
	fetchesAtOnce   = 16 // on each connection
	fetchPause      = time.Second
	slowBytesPerS   = 200 << 10 // of a connection
	memoryTraffic   = 40 * time.Second
	endsPermitted   = 2 // of each process; the rule speaks of three ends
	machinesToCount = 2 // a tenth of the machines, two at least
)

func playMemory(f *stage.Fleet, trouble bool) (bool, error) {
	f.Store.Configure(configuration(standin.PlatformRoute{
		Host: drawingsHost, Service: drawings, Idempotent: true, Attempts: 2, Timeout: drawingTimeout, Objective: drawingAim,
	}))
	m := &memoryCallers{fleet: f}
	if trouble {
		m.bytesPerS = slowBytesPerS
	}
	var hosts []*stage.Host
	ends := make([]atomic.Int64, drawingHosts)
	for i := range drawingHosts {
		h, err := f.AddHost("host-"+strconv.Itoa(i), "brum-a", drawings, stage.ServerConfig{
			Slots: serverSlots, ServiceTime: drawingWork, OnRequest: func(r standin.ReceivedRequest) { f.Record.Add("run %s by %s", r.ID, r.Instance) },
			Wrap: enlarge,
		})
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
		go h.LimitMemory(func() { ends[i].Add(1) })
	}
	if err := f.Settle(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(memoryTraffic)
	for i, h := range hosts {
		for j := range fetchers {
			wg.Go(func() { m.call(h, fmt.Sprintf("drawing-%d-%d", i, j), end) })
		}
	}
	wg.Wait()
	machines := 0
	for i := range ends {
		f.Record.Add("%s ended %d times by itself (permitted %d)", hosts[i].Name, ends[i].Load(), endsPermitted)
		if ends[i].Load() > endsPermitted {
			machines++
		}
	}
	f.Record.Add("answered %d, failed %d; %d machines ended too often (permitted %d)", m.answered.Load(), m.failed.Load(), machines, machinesToCount-1)
	if m.answered.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return machines >= machinesToCount, nil
}

// enlarge returns a handler whose answers are as long as a drawing.
func enlarge(next http.Handler) http.Handler {
	padding := bytes.Repeat([]byte("d"), drawingBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		next.ServeHTTP(answer, r)
		id := strings.TrimPrefix(r.URL.Path, drawingPath)
		short := answer.Body.Bytes()
		body := append(bytes.Clone(short), padding...)
		for name, values := range answer.Header() {
			w.Header()[name] = values
			if values[0] == standin.Seal(id, answer.Code, short) {
				w.Header()[name] = []string{standin.Seal(id, answer.Code, body)}
			}
		}
		if answer.Code != http.StatusOK {
			body = short
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(answer.Code)
		_, _ = w.Write(body) // a write error means that the node disconnected
	})
}

// memoryCallers are callers that send several requests at once.
type memoryCallers struct {
	fleet            *stage.Fleet
	bytesPerS        int // 0: not limited
	answered, failed atomic.Int64
}

// call fetches drawings until end, each round on a new connection.
func (m *memoryCallers) call(h *stage.Host, name string, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(fetchPause)
		conn, err := stage.Dial(h)
		if err != nil {
			m.fleet.Record.Add("%s: %v", name, err)
			continue
		}
		conn.LimitReading(m.bytesPerS)
		m.fetch(conn, fmt.Sprintf("%s-%d", name, n))
		conn.Close()
	}
}

func (m *memoryCallers) fetch(conn *stage.Conn, name string) {
	var sent []*standin.PlatformRequest
	limit := time.Now().Add(drawingPatience)
	for i := range fetchesAtOnce {
		id := fmt.Sprintf("%s-%d", name, i)
		p := &standin.PlatformRequest{Method: http.MethodGet, Host: drawingsHost, Path: drawingPath + id, ID: id, Key: callerKey, Timeout: drawingPatience}
		if err := conn.Send(p); err != nil {
			m.fleet.Record.Add("not sent %s: %v", id, err)
			break
		}
		m.fleet.Record.Add("sent %s", id)
		sent = append(sent, p)
	}
	for _, p := range sent {
		a := conn.Receive(p, limit)
		m.fleet.Record.Add("answered %s %d, %d bytes: %v %s", p.ID, a.Status, len(a.Body), a.Err, a.Wrong)
		if a.Err != nil || a.Wrong != "" {
			m.failed.Add(1)
			return
		}
		m.answered.Add(1)
	}
}
