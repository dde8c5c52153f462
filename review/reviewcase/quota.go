package main

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/review/stage"
)

// Case quota: a tenant sends many times its usual while the platform's store does not answer
// a part of the machines. Before, backend servers were added, each with its machine.
const (
	quotes        = "quotes"
	quotesHost    = "quotes.example"
	quoteTimeout  = 800 * time.Millisecond
	quoteAim      = time.Second
	quotePatience = 2 * time.Second
	quoteWork     = 10 * time.Millisecond
	quotaHosts    = 10
	quotaAdded    = 6 // twice 0.3 of the first servers
	quotaSilent   = 3 // at most 0.35 of the machines

	tenantRate    = 400.0 // requests per second
	tenantBurst   = 400.0
	usualRate     = 200.0 // requests per second of the tenant
	hotFactor     = 7.5
	quotaWindow   = 5 * time.Second
	quotaOver     = 0.1
	quotaSlack    = 20.0
	silentFor     = 9 * time.Second
	silentToAdded = 200 * time.Millisecond
	addedToHot    = 3 * time.Second
	hotFor        = 6 * time.Second
	usualBefore   = 4 * time.Second
	callersAHost  = 20
)

func playQuota(f *stage.Fleet, trouble bool) (bool, error) {
	c := configuration(standin.PlatformRoute{
		Host: quotesHost, Service: quotes, Idempotent: true, Attempts: 2, Timeout: quoteTimeout, Objective: quoteAim,
	})
	c.Tenants[0].Rate, c.Tenants[0].Burst = tenantRate, tenantBurst
	f.Store.Configure(c)
	q := &quotaCallers{fleet: f, sentAt: map[string]time.Time{}}
	server := stage.ServerConfig{Slots: serverSlots, ServiceTime: quoteWork, OnRequest: q.runs}
	var hosts []*stage.Host
	for i := range quotaHosts {
		h, err := f.AddHost("host-"+strconv.Itoa(i), "brum-a", quotes, server)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	if err := f.Settle(); err != nil {
		return false, err
	}
	end := time.Now().Add(usualBefore + silentToAdded + addedToHot + hotFor)
	for _, h := range hosts {
		q.start(h, end)
	}
	time.Sleep(usualBefore)
	if trouble {
		q.silence(hosts[:quotaSilent])
	}
	time.Sleep(silentToAdded)
	for i := range quotaAdded {
		h, err := f.AddHost("added-"+strconv.Itoa(i), "brum-a", quotes, server)
		if err != nil {
			return false, err
		}
		f.Record.Add("%s is added", h.Name)
		defer time.AfterFunc(addedToHot, func() { q.start(h, end) }).Stop()
	}
	time.Sleep(addedToHot)
	f.Record.Add("the tenant sends %v times its usual", hotFactor)
	q.hot.Store(true)
	time.Sleep(time.Until(end))
	q.callers.Wait()
	return q.judge()
}

// quotaCallers are callers of one tenant on all hosts.
type quotaCallers struct {
	fleet   *stage.Fleet
	hot     atomic.Bool
	callers sync.WaitGroup
	number  atomic.Int64 // of callers

	mu     sync.Mutex
	sentAt map[string]time.Time // by request ID
	ran    []quotaRun
}

// quotaRun is a request that ran.
type quotaRun struct{ sent, ran time.Time }

func (q *quotaCallers) silence(hosts []*stage.Host) {
	for _, h := range hosts {
		q.fleet.Record.Add("the store does not answer %s", h.Name)
		h.SilenceStore(true)
	}
	time.AfterFunc(silentFor, func() {
		for _, h := range hosts {
			h.SilenceStore(false)
		}
	})
}

func (q *quotaCallers) runs(r standin.ReceivedRequest) {
	q.mu.Lock()
	q.ran = append(q.ran, quotaRun{q.sentAt[r.ID], r.At})
	q.mu.Unlock()
	q.fleet.Record.Add("run %s by %s for %s", r.ID, r.Instance, r.Tenant)
}

// start starts the callers of a host.
func (q *quotaCallers) start(h *stage.Host, end time.Time) {
	for range callersAHost {
		q.callers.Go(func() { q.call(h, end) })
	}
}

// call sends requests until end, on one connection as long as it lasts.
func (q *quotaCallers) call(h *stage.Host, end time.Time) {
	usualPause := time.Duration(quotaHosts * callersAHost / usualRate * float64(time.Second))
	caller := q.number.Add(1)
	var conn *stage.Conn
	for n := 0; time.Now().Before(end); n++ {
		pause := usualPause
		if q.hot.Load() {
			pause = time.Duration(float64(usualPause) / hotFactor)
		}
		time.Sleep(time.Duration(2 * rand.Float64() * float64(pause)))
		if conn == nil {
			var err error
			if conn, err = stage.Dial(h); err != nil {
				q.fleet.Record.Add("%s: %v", h.Name, err)
				continue
			}
		}
		if !q.send(conn, fmt.Sprintf("quote-%d-%d", caller, n)) {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// send sends one request and reports whether the connection is still of use.
func (q *quotaCallers) send(conn *stage.Conn, id string) bool {
	p := &standin.PlatformRequest{Method: http.MethodGet, Host: quotesHost, Path: "/quote/", ID: id, Key: callerKey, Timeout: quotePatience}
	now := time.Now()
	q.mu.Lock()
	q.sentAt[id] = now
	q.mu.Unlock()
	if err := conn.Send(p); err != nil {
		q.fleet.Record.Add("not sent %s: %v", id, err)
		return false
	}
	a := conn.Receive(p, now.Add(quotePatience))
	q.fleet.Record.Add("sent %s %v ago, answered %d: %v %s", id, time.Since(now).Round(time.Millisecond), a.Status, a.Err, a.Wrong)
	return !a.Ended
}

// judge compares the requests that were sent and ran in each window with the quota.
func (q *quotaCallers) judge() (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ran) == 0 {
		return false, fmt.Errorf("no request ran")
	}
	slices.SortFunc(q.ran, func(a, b quotaRun) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	most := 0
	for i, first := range q.ran {
		end, count := first.sent.Add(quotaWindow), 0
		for _, r := range q.ran[i:] {
			if r.sent.After(end) {
				break
			}
			if r.ran.Before(end) {
				count++
			}
		}
		most = max(most, count)
	}
	allowed := int(math.Floor((tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOver) + quotaSlack))
	q.fleet.Record.Add("ran %d, at most %d in a window (allowed %d)", len(q.ran), most, allowed)
	return most > allowed, nil
}
