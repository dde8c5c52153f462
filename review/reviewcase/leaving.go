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

// Case leaving: a backend server says that it leaves, which its sidecar acknowledges, and
// goes on serving for a while. The sidecar is killed and started again, and a heartbeat that
// was sent before the leaving arrives late.
const (
	prices         = "prices"
	pricesHost     = "prices.example"
	priceTimeout   = time.Second
	priceAim       = 800 * time.Millisecond
	pricePatience  = 2 * time.Second
	priceWork      = 50 * time.Millisecond
	priceCallers   = 20
	pricePause     = 100 * time.Millisecond
	beforeLeaving  = 3 * time.Second
	beatDelay      = 3 * time.Second
	beatToLeaving  = 1200 * time.Millisecond // from the delayed heartbeat to the leaving
	leavingToKill  = 200 * time.Millisecond
	servesAfterAck = 12 * time.Second
	lateRequests   = 0 // permitted
)

func playLeaving(f *stage.Fleet, trouble bool) (bool, error) {
	f.Store.Configure(configuration(standin.PlatformRoute{
		Host: pricesHost, Service: prices, Idempotent: true, Attempts: 2, Timeout: priceTimeout, Objective: priceAim,
	}))
	l := &leavingCallers{fleet: f}
	server := stage.ServerConfig{Slots: serverSlots, ServiceTime: priceWork, OnRequest: l.runs}
	entry, err := f.AddHost("staying", "brum-a", prices, server)
	if err != nil {
		return false, err
	}
	host, err := f.AddHost("leaving", "brum-a", prices, server)
	if err != nil {
		return false, err
	}
	if err := f.Settle(); err != nil {
		return false, err
	}
	l.entry = entry
	var wg sync.WaitGroup
	end := time.Now().Add(beforeLeaving + beatToLeaving + servesAfterAck)
	for i := range priceCallers {
		wg.Go(func() { l.call(i, end) })
	}
	time.Sleep(beforeLeaving)
	if trouble {
		host.DelayHeartbeat(beatDelay)
	}
	time.Sleep(beatToLeaving)
	if err := host.Leave(); err != nil {
		return false, err
	}
	f.Record.Add("the leaving of %s is acknowledged", host.Name)
	l.boundFrom.Store(time.Now().Add(drainTime).UnixNano())
	if trouble {
		time.Sleep(leavingToKill)
		f.Record.Add("SIGKILL to %s", host.Name)
		if err := host.Signal(syscall.SIGKILL); err != nil {
			return false, err
		}
		if err := host.Restart(); err != nil {
			return false, err
		}
		f.Record.Add("%s started again; it is in touch %v later", host.Name, contactTime)
		l.boundFrom.Store(max(l.boundFrom.Load(), time.Now().Add(contactTime).UnixNano()))
	}
	wg.Wait()
	f.Record.Add("answered %d, reached the leaving server late %d (permitted %d)", l.answered.Load(), l.late.Load(), lateRequests)
	if l.answered.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return l.late.Load() > lateRequests, nil
}

// leavingCallers are callers at the host that stays.
type leavingCallers struct {
	fleet          *stage.Fleet
	entry          *stage.Host
	boundFrom      atomic.Int64 // from then on no request may reach the leaving server, Unix nanoseconds; 0: not bound
	answered, late atomic.Int64
}

func (l *leavingCallers) runs(r standin.ReceivedRequest) {
	from := l.boundFrom.Load()
	if r.Instance == "i-leaving" && from != 0 && r.At.UnixNano() > from {
		l.late.Add(1)
		l.fleet.Record.Add("LATE %s reached %s", r.ID, r.Instance)
		return
	}
	l.fleet.Record.Add("run %s by %s", r.ID, r.Instance)
}

// call sends one request after the other until end, on one connection as long as it lasts.
func (l *leavingCallers) call(caller int, end time.Time) {
	var conn *stage.Conn
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(rand.N(2 * pricePause))
		if conn == nil {
			var err error
			if conn, err = stage.Dial(l.entry); err != nil {
				l.fleet.Record.Add("caller %d: %v", caller, err)
				continue
			}
		}
		id := fmt.Sprintf("price-%d-%d", caller, n)
		p := &standin.PlatformRequest{Method: http.MethodGet, Host: pricesHost, Path: "/price/", ID: id, Key: callerKey, Timeout: pricePatience}
		err := conn.Send(p)
		l.fleet.Record.Add("sent %s: %v", id, err)
		a := stage.Answer{Ended: true, Err: err}
		if err == nil {
			a = conn.Receive(p, time.Now().Add(pricePatience))
		}
		l.fleet.Record.Add("answered %s %d: %v %s", id, a.Status, a.Err, a.Wrong)
		if a.Err == nil {
			l.answered.Add(1)
		}
		if a.Ended {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}
