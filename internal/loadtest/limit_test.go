package loadtest

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// What a backend server may get beyond the limit that it names.
const (
	limitSpan   = 4 * time.Second
	limitExcess = 1.5             // times the requests that the limit allows in limitSpan
	limitSlack  = 5               // requests
	limitNotice = 3 * time.Second // from the first response that names the limit
)

func limitServices() []Service { return []Service{{"stock", 4, 24}} }

func limitRoutes() []Route {
	return []Route{
		{
			Name: "look", Service: "stock", Importance: config.Low, Idempotent: true, Work: 120 * time.Millisecond,
			Objective: 1500 * time.Millisecond, Timeout: 5 * time.Second,
		},
		{
			Name: "order", Service: "stock", Importance: config.Critical, Work: 120 * time.Millisecond,
			Objective: 1500 * time.Millisecond, Timeout: 5 * time.Second,
		},
	}
}

// Guards against backend servers that get more requests than the limit they name, and against callers that are refused although another server has room.
func TestNamedLimits(t *testing.T) {
	const namedAt, length = 2, 16 // seconds
	for name, tc := range map[string]struct {
		limits       []float64 // by server; 0: none
		looks        float64   // per second
		orders       float64   // per second
		served       float64   // least ratio of all requests
		ordersServed float64   // least ratio
	}{
		"three of four limited, the fourth has room": {limits: []float64{25, 20, 35, 0}, looks: 110, orders: 40, served: 0.99, ordersServed: 0.99},
		"all limited, room for all":                  {limits: []float64{50, 50, 50, 50}, looks: 110, orders: 40, served: minServed, ordersServed: 0.99},
		"all limited, room for half":                 {limits: []float64{20, 20, 20, 20}, looks: 110, orders: 40, served: minGoodput * 80 / 150, ordersServed: minServed},
		"one limited to less than one a second":      {limits: []float64{0.5, 0, 0, 0}, looks: 110, orders: 40, served: 0.99, ordersServed: 0.99},
		"one that takes none":                        {limits: []float64{1e-9, 0, 0, 0}, looks: 110, orders: 40, served: 0.99, ordersServed: 0.99},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(t, 1, limitServices(), limitRoutes())
				defer f.Close()
				started := time.Now()
				tally := f.Play(length*time.Second, []Stream{{"look", tc.looks}, {"order", tc.orders}}, Change{namedAt * time.Second, func() {
					for i, limit := range tc.limits {
						f.SetRateLimit("stock", i, limit)
					}
				}})
				look, order := tally.Sum("look", namedAt+1, length), tally.Sum("order", namedAt+1, length)
				t.Logf("look %+v, order %+v", look, order)
				for i, limit := range tc.limits {
					if limit == 0 {
						continue
					}
					got := f.MostArrivals("stock", i, started.Add(namedAt*time.Second+limitNotice), limitSpan)
					allowed := limitExcess*limit*limitSpan.Seconds() + limitSlack
					assert.Check(t, float64(got) <= allowed, "server %d got %d requests in %v, allowed %.0f", i, got, limitSpan, allowed)
				}
				all := ratio(look.InTime+order.InTime, look.Asked+order.Asked)
				assert.Check(t, all >= tc.served, "served in time: %.3f", all)
				assert.Check(t, ratio(order.InTime, order.Asked) >= tc.ordersServed, "orders in time: %+v", order)
			})
		})
	}
}

// Guards against a limit that outlasts its naming: with all servers limited to half of the demand, nothing may be refused any more three seconds after they name no limit.
func TestLimitEnds(t *testing.T) {
	const endsAt, length = 6, 14 // seconds
	synctest.Test(t, func(t *testing.T) {
		f := New(t, 1, limitServices(), limitRoutes())
		defer f.Close()
		set := func(limit float64) func() {
			return func() {
				for i := range limitServices()[0].Servers {
					f.SetRateLimit("stock", i, limit)
				}
			}
		}
		set(20)()
		tally := f.Play(length*time.Second, []Stream{{"look", 110}, {"order", 40}}, Change{endsAt * time.Second, set(0)})
		limited, look := tally.Sum("look", 2, endsAt-2), tally.Sum("look", endsAt+3, length)
		t.Logf("limited %+v, afterwards %+v", limited, look)
		assert.Assert(t, limited.Refused > 0)
		assert.Assert(t, ratio(look.InTime, look.Asked) >= minServed, "looks: %+v", look)
	})
}

// Guards against routes that are throttled because of a limited backend server further down, although the other one there has room.
func TestLimitDoesNotThrottleCallers(t *testing.T) {
	const namedAt, length = 2, 12 // seconds
	synctest.Test(t, func(t *testing.T) {
		f := New(t, 1, deepServices(), deepRoutes())
		defer f.Close()
		tally := f.Play(length*time.Second, deepStreams(0.4), Change{namedAt * time.Second, func() { f.SetRateLimit("tariff", 0, 20) }})
		look, order, price := tally.Sum("look", namedAt+1, length), tally.Sum("order", namedAt+1, length), tally.Sum("price", namedAt+1, length)
		t.Logf("look %+v, order %+v, price %+v", look, order, price)
		for name, c := range map[string]Counts{"look": look, "order": order, "price": price} {
			assert.Check(t, ratio(c.InTime, c.Asked) >= minServed, "%s in time: %+v", name, c)
		}
	})
}

// Guards against requests that wait at limited backend servers, or that all of these refuse, although others have room at once.
func TestNoWaitBesideServerWithRoom(t *testing.T) {
	const servers, limited = 16, 13
	const namedAt, length = 2, 12 // seconds
	routes := limitRoutes()
	for i := range routes {
		routes[i].Objective = 2 * routes[i].Work
	}
	synctest.Test(t, func(t *testing.T) {
		f := New(t, 1, []Service{{"stock", servers, 24}}, routes)
		defer f.Close()
		tally := f.Play(length*time.Second, []Stream{{"look", 120}, {"order", 40}}, Change{namedAt * time.Second, func() {
			for i := range limited {
				f.SetRateLimit("stock", i, 3)
			}
		}})
		look, order := tally.Sum("look", namedAt+1, length), tally.Sum("order", namedAt+1, length)
		t.Logf("look %+v, order %+v", look, order)
		assert.Assert(t, ratio(look.InTime+order.InTime, look.Asked+order.Asked) >= minServed)
		assert.Equal(t, look.Refused+order.Refused, 0)
	})
}
