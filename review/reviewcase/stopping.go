package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/review/stage"
)

// Case stopping: callers send two idempotent requests on a connection before the first one
// is answered. The first one lasts longer than the timeout of its route, the second one is
// short. The sidecar that took them is stopped with SIGTERM, while the backend servers go on.
const (
	stock            = "stock"
	stockHost        = "stock.example"
	longPath         = "/look/long/"
	shortPath        = "/look/short/"
	stockTimeout     = 1500 * time.Millisecond
	stockObjective   = 1500 * time.Millisecond
	stockPatience    = 5 * time.Second
	shortWork        = 100 * time.Millisecond
	longWork         = 4 * time.Second
	betweenPair      = 600 * time.Millisecond // between the two requests of a connection
	pipelinedCallers = 60
	beforeStop       = 4 * time.Second         // traffic before the stop
	afterRestart     = 4 * time.Second         // traffic after the restart
	plannedAfter     = graceTime + time.Second // planned work ends so long after SIGTERM
)

func playStopping(f *stage.Fleet, trouble bool) (bool, error) {
	f.Store.Configure(configuration(standin.PlatformRoute{
		Host: stockHost, Service: stock, Idempotent: true, Attempts: 2, Timeout: stockTimeout, Objective: stockObjective,
	}))
	s := &stoppingCallers{fleet: f}
	server := stage.ServerConfig{Slots: serverSlots, ServiceTime: shortWork, LongPath: longPath, LongTime: longWork, OnRequest: func(r standin.ReceivedRequest) {
		s.ran.add(r.ID, r.Instance)
		f.Record.Add("run %s by %s", r.ID, r.Instance)
	}}
	entry, err := f.AddHost("one", "brum-a", stock, server)
	if err != nil {
		return false, err
	}
	if _, err := f.AddHost("two", "brum-a", stock, server); err != nil {
		return false, err
	}
	s.entry = entry
	if err := f.Settle(); err != nil {
		return false, err
	}
	go entry.Probe()
	var wg sync.WaitGroup
	end := time.Now().Add(beforeStop + plannedAfter + afterRestart)
	for i := range pipelinedCallers {
		wg.Go(func() { s.call(i, end) })
	}
	time.Sleep(beforeStop)
	if trouble {
		s.stoppedAt.Store(time.Now().UnixNano())
		f.Record.Add("SIGTERM to %s", entry.Name)
		if err := entry.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		if err := entry.Restart(); err != nil {
			return false, err
		}
		f.Record.Add("%s started again", entry.Name)
	}
	wg.Wait()
	f.Record.Add("answered %d, lost around the stop %d (permitted 0), other %d", s.answered.Load(), s.lost.Load(), s.other.Load())
	if s.answered.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return s.lost.Load() > 0, nil
}

// stoppingCallers are callers that send pairs of requests.
type stoppingCallers struct {
	fleet                 *stage.Fleet
	entry                 *stage.Host
	ran                   runs
	stoppedAt             atomic.Int64 // Unix nanoseconds; 0: not yet
	answered, lost, other atomic.Int64
}

// call sends pairs of requests, each on a connection of its own, until end. It sends none
// while the sidecar counts as not ready.
func (s *stoppingCallers) call(caller int, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(rand.N(200 * time.Millisecond))
		if !s.entry.Ready() {
			continue
		}
		conn, err := stage.Dial(s.entry)
		if err != nil {
			s.fleet.Record.Add("caller %d: %v", caller, err)
			continue
		}
		s.sendPair(conn, fmt.Sprintf("look-%d-%d", caller, n))
		conn.Close()
	}
}

func look(path, id string) *standin.PlatformRequest {
	return &standin.PlatformRequest{Method: http.MethodGet, Host: stockHost, Path: path, ID: id, Key: callerKey, Timeout: stockPatience}
}

func (s *stoppingCallers) sendPair(conn *stage.Conn, id string) {
	first, second := look(longPath, id+"-long"), look(shortPath, id+"-short")
	started := time.Now()
	err := conn.Send(first)
	s.fleet.Record.Add("sent %s: %v", first.ID, err)
	if err != nil {
		return
	}
	time.Sleep(betweenPair)
	secondStarted := time.Now()
	err = conn.Send(second)
	s.fleet.Record.Add("sent %s: %v", second.ID, err)
	s.judge(first, conn.Receive(first, started.Add(stockPatience)), started)
	if err == nil {
		s.judge(second, conn.Receive(second, secondStarted.Add(stockPatience)), secondStarted)
	}
}

// judge counts an answer. Lost is a request that ran and whose connection ended without its
// answer, sent around the planned work, with time left until the timeout of its route.
func (s *stoppingCallers) judge(p *standin.PlatformRequest, a stage.Answer, started time.Time) {
	instance, stopped := s.ran.instance(p.ID), s.stoppedAt.Load()
	after, taken := started.UnixNano()-stopped, time.Since(started)
	switch {
	case a.Err == nil && a.Wrong == "":
		s.answered.Add(1)
		s.fleet.Record.Add("answered %s %d after %v, connection closes %v", p.ID, a.Status, taken.Round(time.Millisecond), a.Ended)
	case instance != "" && stopped != 0 && after < int64(plannedAfter) && taken < stockTimeout:
		s.lost.Add(1)
		s.fleet.Record.Add("LOST %s: run by %s, sent %v after SIGTERM, connection closed after %v: %v", p.ID, instance,
			time.Duration(after).Round(time.Millisecond), taken.Round(time.Millisecond), a.Err)
	default:
		s.other.Add(1)
		s.fleet.Record.Add("failed %s: run by %q, %v %s", p.ID, instance, a.Err, a.Wrong)
	}
}
