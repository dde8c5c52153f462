package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/review/stage"
)

// Case gone: callers upload files with idempotent requests. Half of them send the second
// upload before the first one is answered. Some callers of each half leave before their
// deadline, by closing their connection.
const (
	uploads        = "uploads"
	uploadsHost    = "uploads.example"
	uploadPath     = "/file/"
	uploadTimeout  = 5 * time.Second
	uploadAim      = 1500 * time.Millisecond
	uploadPatience = 6 * time.Second
	uploadWork     = 1200 * time.Millisecond
	uploadBytes    = 4000
	uploaders      = 60
	leaverRounds   = 10 // of so many rounds of a caller, it leaves in leftRounds
	leftRounds     = 3
	leaveAfter     = 400 * time.Millisecond
	goneTraffic    = 20 * time.Second
	goneMargin     = 500 * time.Millisecond // after the close
	fewLate        = 5                      // "a few" requests that may reach a server later than goneMargin
	stillShare     = 0.25                   // permitted share of requests still at work after goneMargin
)

func playGone(f *stage.Fleet, trouble bool) (bool, error) {
	c := configuration(standin.PlatformRoute{
		Host: uploadsHost, Service: uploads, Idempotent: true, Attempts: 2, Timeout: uploadTimeout, Objective: uploadAim,
	})
	c.Tenants = nil // the rule doesn't count requests with a key
	f.Store.Configure(c)
	g := &goneCallers{fleet: f, trouble: trouble, uploads: map[string]*upload{}}
	server := stage.ServerConfig{Slots: serverSlots, ServiceTime: uploadWork, OnRequest: g.runs, OnEnd: g.ends}
	entry, err := f.AddHost("one", "brum-a", uploads, server)
	if err != nil {
		return false, err
	}
	if _, err := f.AddHost("two", "brum-a", uploads, server); err != nil {
		return false, err
	}
	g.entry = entry
	if err := f.Settle(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(goneTraffic)
	for i := range uploaders {
		wg.Go(func() { g.call(i, end) })
	}
	wg.Wait()
	time.Sleep(2 * uploadWork) // what still runs ends
	return g.judge()
}

// upload is one request with what happened to it. Times are zero if it did not happen.
type upload struct {
	sent, left, ran, ended time.Time
	answered               bool
}

// goneCallers are callers of which some leave early.
type goneCallers struct {
	fleet   *stage.Fleet
	entry   *stage.Host
	trouble bool

	mu      sync.Mutex
	uploads map[string]*upload // by request ID
}

// update changes the entry of a request.
func (g *goneCallers) update(id string, change func(*upload)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.uploads[id]
	if u == nil {
		u = &upload{}
		g.uploads[id] = u
	}
	change(u)
}

func (g *goneCallers) runs(r standin.ReceivedRequest) {
	g.fleet.Record.Add("run %s by %s", r.ID, r.Instance)
	g.update(r.ID, func(u *upload) { u.ran = time.Now() })
}

func (g *goneCallers) ends(path string) {
	id := strings.TrimPrefix(path, uploadPath)
	g.fleet.Record.Add("run of %s ends", id)
	g.update(id, func(u *upload) { u.ended = time.Now() })
}

// leaves reports whether the caller leaves in this round.
func leaves(caller, round int) bool { return (caller/2+round)%leaverRounds < leftRounds }

// call uploads pairs of files until end. Callers with an even number send both at once.
func (g *goneCallers) call(caller int, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		conn, err := stage.Dial(g.entry)
		if err != nil {
			g.fleet.Record.Add("caller %d: %v", caller, err)
			continue
		}
		g.uploadPair(conn, fmt.Sprintf("file-%d-%d", caller, n), caller%2 == 0, g.trouble && leaves(caller, n))
		conn.Close()
	}
}

func (g *goneCallers) uploadPair(conn *stage.Conn, id string, pipelined, leaving bool) {
	first, second := fileUpload(id+"-a"), fileUpload(id+"-b")
	if !g.send(conn, first) || pipelined && !g.send(conn, second) {
		return
	}
	if leaving {
		time.Sleep(leaveAfter)
		conn.Close()
		g.left(first)
		if pipelined {
			g.left(second)
		}
		return
	}
	g.receive(conn, first)
	if pipelined || g.send(conn, second) {
		g.receive(conn, second)
	}
}

func fileUpload(id string) *standin.PlatformRequest {
	return &standin.PlatformRequest{
		Method: http.MethodPut, Host: uploadsHost, Path: uploadPath + id, ID: id,
		Body: strings.Repeat("u", uploadBytes), Timeout: uploadPatience,
	}
}

func (g *goneCallers) send(conn *stage.Conn, p *standin.PlatformRequest) bool {
	g.update(p.ID, func(u *upload) { u.sent = time.Now() })
	err := conn.Send(p)
	g.fleet.Record.Add("sent %s: %v", p.ID, err)
	return err == nil
}

func (g *goneCallers) left(p *standin.PlatformRequest) {
	g.fleet.Record.Add("the caller of %s closed its connection", p.ID)
	g.update(p.ID, func(u *upload) { u.left = time.Now() })
}

func (g *goneCallers) receive(conn *stage.Conn, p *standin.PlatformRequest) {
	a := conn.Receive(p, time.Now().Add(uploadPatience))
	g.fleet.Record.Add("answered %s %d: %v %s", p.ID, a.Status, a.Err, a.Wrong)
	g.update(p.ID, func(u *upload) { u.answered = a.Err == nil })
}

// judge applies the rule to the requests whose callers have left.
func (g *goneCallers) judge() (broken bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var answered, lasting, still, late int
	for id, u := range g.uploads {
		switch {
		case u.answered:
			answered++
		case u.left.IsZero() || u.ran.IsZero():
		case u.ran.Sub(u.left) > goneMargin:
			late++
			g.fleet.Record.Add("LATE %s reached a server %v after its caller had left", id, u.ran.Sub(u.left).Round(time.Millisecond))
		case u.ran.Add(uploadWork).Sub(u.left) > goneMargin:
			lasting++
			if u.ended.Sub(u.left) > goneMargin {
				still++
				g.fleet.Record.Add("STILL at work on %s %v after its caller had left", id, u.ended.Sub(u.left).Round(time.Millisecond))
			}
		}
	}
	g.fleet.Record.Add("answered %d; callers left: %d reached a server late (a few: %d), still at work on %d of %d (permitted share %v)",
		answered, late, fewLate, still, lasting, stillShare)
	if answered == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return late > fewLate || float64(still) > stillShare*float64(lasting), nil
}
