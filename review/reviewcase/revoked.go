package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/review/stage"
)

// Case revoked: the platform's store does not answer one of three machines for a while. In
// that time a key is taken away. The callers are quiet from before the change until the
// machine is in touch again.
const (
	tariffs         = "tariffs"
	tariffsHost     = "tariffs.example"
	tariffTimeout   = time.Second
	tariffAim       = 800 * time.Millisecond
	tariffPatience  = 2 * time.Second
	tariffWork      = 30 * time.Millisecond
	tariffCallers   = 6 // on each host, half of them with the key that is taken away
	tariffPause     = 200 * time.Millisecond
	revokedKey      = "key-that-is-taken-away"
	configApply     = 2 * time.Second // bound "configApply"
	beforeSilence   = 3 * time.Second // traffic
	silenceToRevoke = 2 * time.Second
	afterQuiet      = 10 * time.Second // traffic
	usesPermitted   = 0                // of the key, later than the bound
)

// tariffConfiguration returns a version with the given timeout and, unless revoked, both keys.
func tariffConfiguration(version int, timeout time.Duration, revoked bool) *standin.PlatformConfiguration {
	c := configuration(standin.PlatformRoute{
		Host: tariffsHost, Service: tariffs, Idempotent: true, Attempts: 2, Timeout: timeout, Objective: tariffAim,
	})
	c.Version = version
	if !revoked {
		c.Tenants = append(c.Tenants, standin.PlatformTenant{Name: "member", Keys: []string{revokedKey}})
	}
	return c
}

func playRevoked(f *stage.Fleet, trouble bool) (bool, error) {
	f.Store.Configure(tariffConfiguration(3, tariffTimeout, false))
	r := &revokedCallers{fleet: f}
	server := stage.ServerConfig{Slots: serverSlots, ServiceTime: tariffWork, OnRequest: r.runs}
	for _, zone := range []string{"brum-a", "wolves-a", "notts-a"} {
		h, err := f.AddHost("in-"+zone, zone, tariffs, server)
		if err != nil {
			return false, err
		}
		r.hosts = append(r.hosts, h)
	}
	if err := f.Settle(); err != nil {
		return false, err
	}
	f.Store.Configure(tariffConfiguration(5, 2*tariffTimeout, false))
	f.Record.Add("r5 acknowledged, a timeout is changed")
	r.traffic("before", beforeSilence)
	if trouble {
		f.Record.Add("the store does not answer %s", r.hosts[0].Name)
		r.hosts[0].SilenceStore(true)
	}
	time.Sleep(silenceToRevoke)
	f.Store.Configure(tariffConfiguration(7, 2*tariffTimeout, true))
	f.Record.Add("r7 acknowledged, a key is taken away")
	time.Sleep(max(silentFor-silenceToRevoke, configApply))
	if trouble {
		r.hosts[0].SilenceStore(false)
		f.Record.Add("the store answers %s again", r.hosts[0].Name)
	}
	time.Sleep(contactTime)
	f.Record.Add("all machines are in touch, no request may run with the key")
	r.bound.Store(true)
	r.traffic("after", afterQuiet)
	f.Record.Add("answered %d, refused %d, run with the key that was taken away %d (permitted %d)", r.answered.Load(), r.refused.Load(), r.late.Load(), usesPermitted)
	if r.answered.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return r.late.Load() > usesPermitted, nil
}

// revokedCallers are callers with two keys, of which one is taken away.
type revokedCallers struct {
	fleet                   *stage.Fleet
	hosts                   []*stage.Host
	bound                   atomic.Bool // no request that is sent now may run with the key
	answered, refused, late atomic.Int64
	sentLate                sync.Map // IDs of requests with the key that were sent while bound
}

// traffic lets all callers send requests for a time.
func (r *revokedCallers) traffic(name string, length time.Duration) {
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for i, h := range r.hosts {
		for j := range tariffCallers {
			callers.Go(func() { r.call(h, fmt.Sprintf("%s-%d-%d", name, i, j), j%2 == 0, end) })
		}
	}
	callers.Wait()
}

func (r *revokedCallers) runs(q standin.ReceivedRequest) {
	if _, late := r.sentLate.Load(q.ID); late {
		r.late.Add(1)
		r.fleet.Record.Add("LATE %s run by %s for %q", q.ID, q.Instance, q.Tenant)
		return
	}
	r.fleet.Record.Add("run %s by %s for %q", q.ID, q.Instance, q.Tenant)
}

// call sends requests until end, on one connection as long as it lasts.
func (r *revokedCallers) call(h *stage.Host, name string, withRevoked bool, end time.Time) {
	key := callerKey
	if withRevoked {
		key, name = revokedKey, name+"-revoked"
	}
	var conn *stage.Conn
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(rand.N(2 * tariffPause))
		if conn == nil {
			var err error
			if conn, err = stage.Dial(h); err != nil {
				r.fleet.Record.Add("%s: %v", name, err)
				continue
			}
		}
		p := &standin.PlatformRequest{Method: http.MethodGet, Host: tariffsHost, Path: "/tariff/", ID: fmt.Sprintf("%s-%d", name, n), Key: key, Timeout: tariffPatience}
		if !r.send(conn, p, withRevoked) {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// send sends one request and reports whether the connection is still of use.
func (r *revokedCallers) send(conn *stage.Conn, p *standin.PlatformRequest, withRevoked bool) bool {
	if withRevoked && r.bound.Load() {
		r.sentLate.Store(p.ID, true)
	}
	if err := conn.Send(p); err != nil {
		r.fleet.Record.Add("not sent %s: %v", p.ID, err)
		return false
	}
	a := conn.Receive(p, time.Now().Add(tariffPatience))
	r.fleet.Record.Add("sent %s, answered %d: %v %s", p.ID, a.Status, a.Err, a.Wrong)
	switch {
	case a.Status == http.StatusOK:
		r.answered.Add(1)
	case a.Status != 0:
		r.refused.Add(1)
	}
	return !a.Ended
}
