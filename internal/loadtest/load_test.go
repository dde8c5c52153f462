package loadtest

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// deepServices and deepRoutes are a call tree of four levels whose last service is the
// scarcest: each look and each order makes four calls to it, one after the other.
func deepServices() []Service {
	return []Service{{"front", 2, 24}, {"ledger", 2, 12}, {"batch", 2, 12}, {"tariff", 2, 6}}
}

func deepRoutes() []Route {
	return []Route{
		{
			Name: "look", Service: "front", Importance: config.Low, Idempotent: true, Work: 120 * time.Millisecond,
			Calls: []string{"ledger-read"}, Objective: 1500 * time.Millisecond, Timeout: 3 * time.Second,
		},
		{
			Name: "order", Service: "ledger", Importance: config.Critical, Work: 160 * time.Millisecond,
			Calls: []string{"batch-read"}, Objective: 1500 * time.Millisecond, Timeout: 3 * time.Second,
		},
		{
			Name: "price", Service: "tariff", Importance: config.Normal, Idempotent: true, Work: 40 * time.Millisecond,
			Objective: 200 * time.Millisecond, Timeout: 600 * time.Millisecond,
		},
		{
			Name: "ledger-read", Service: "ledger", Importance: config.Normal, Idempotent: true, Internal: true, Work: 15 * time.Millisecond,
			Calls: []string{"batch-read"}, Objective: time.Second, Timeout: 2500 * time.Millisecond,
		},
		{
			Name: "batch-read", Service: "batch", Importance: config.Normal, Idempotent: true, Internal: true, Work: 15 * time.Millisecond,
			Calls: []string{"tariff-read", "tariff-read", "tariff-read", "tariff-read"}, Objective: 800 * time.Millisecond, Timeout: 2 * time.Second,
		},
		{
			Name: "tariff-read", Service: "tariff", Importance: config.Normal, Idempotent: true, Internal: true, Work: 30 * time.Millisecond,
			Objective: 300 * time.Millisecond, Timeout: 700 * time.Millisecond,
		},
	}
}

// deepCapacity is the number of looks and orders per second that use all 12 slots of the
// last service for 4 x 30 ms each.
const deepCapacity = 100

// priceShare is what one price uses of the last service, in looks or orders.
const priceShare = 1.0 / 3

// deepStreams returns the requests that use a ratio of deepCapacity.
func deepStreams(ratio float64) []Stream {
	return []Stream{{"look", 0.7 * ratio * deepCapacity}, {"order", 0.25 * ratio * deepCapacity}, {"price", 0.05 * ratio * deepCapacity}}
}

// Bounds of what callers get, as ratios.
const (
	minGoodput  = 0.8  // of the capacity that is left
	minServed   = 0.95 // of important requests, while there is capacity for all of them
	maxReversal = 0.05 // by which an important kind may be served less than another one
)

func ratio(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

func (c Counts) served() float64 { return ratio(c.InTime+c.Late, c.Asked) }

// deepLoad is a load on the call tree, of which the time between from and end is judged.
type deepLoad struct {
	ratio      float64 // of the capacity, which all requests together ask for
	slowdown   float64 // of the last service between from and end
	from, end  int     // seconds
	afterwards int     // seconds that the load goes on after end
}

func (l *deepLoad) play(t *testing.T, check func(*Tally)) {
	synctest.Test(t, func(t *testing.T) {
		f := New(t, 1, deepServices(), deepRoutes())
		defer f.Close()
		slow := func(factor float64) func() {
			return func() {
				for i := range f.services["tariff"] {
					f.SetSlowdown("tariff", i, factor)
				}
			}
		}
		length := time.Duration(l.end+l.afterwards) * time.Second
		check(f.Play(length, deepStreams(l.ratio),
			Change{time.Duration(l.from) * time.Second, slow(l.slowdown)}, Change{time.Duration(l.end) * time.Second, slow(1)}))
	})
}

// Guards against overload of a service far down that wastes the work of the services
// above it: calls that are refused there fail requests that have run elsewhere. Callers
// must get what the capacity allows, important requests first.
func TestOverloadOfDeepService(t *testing.T) {
	for name, l := range map[string]deepLoad{
		"a fifth too many requests":          {ratio: 1.2, slowdown: 1, from: 0, end: 8},
		"twice as many requests":             {ratio: 2, slowdown: 1, from: 0, end: 8},
		"last service at 1.7 times its work": {ratio: 0.7, slowdown: 1.7, from: 1, end: 9},
		"last service at 3 times its work":   {ratio: 0.7, slowdown: 3, from: 1, end: 9},
	} {
		t.Run(name, func(t *testing.T) {
			l.play(t, func(tally *Tally) {
				// The first second is left out: requests that were admitted before the
				// overload are still under way.
				look, order, price := tally.Sum("look", l.from+1, l.end), tally.Sum("order", l.from+1, l.end), tally.Sum("price", l.from+1, l.end)
				t.Logf("look %+v, order %+v, price %+v", look, order, price)
				assert.Assert(t, order.served() >= minServed, "orders served: %.3f", order.served())
				assert.Assert(t, price.served() >= look.served()-maxReversal, "price %.3f, look %.3f", price.served(), look.served())
				capacity := deepCapacity/l.slowdown*float64(l.end-l.from-1) - priceShare*float64(price.InTime+price.Late)
				completed := float64(look.InTime + look.Late + order.InTime + order.Late)
				assert.Assert(t, completed >= minGoodput*capacity, "%v completed, capacity %.0f", completed, capacity)
			})
		})
	}
}

// Guards against an overload that outlasts its cause: three seconds after the end of a
// slowdown nothing may be refused any more.
func TestRecoveryOfDeepService(t *testing.T) {
	l := deepLoad{ratio: 0.7, slowdown: 3, from: 1, end: 5, afterwards: 7}
	l.play(t, func(tally *Tally) {
		look, order := tally.Sum("look", l.end+3, l.end+7), tally.Sum("order", l.end+3, l.end+7)
		t.Logf("look %+v, order %+v", look, order)
		assert.Assert(t, ratio(look.InTime, look.Asked) >= minServed, "looks: %+v", look)
		assert.Assert(t, ratio(order.InTime, order.Asked) >= minServed, "orders: %+v", order)
	})
}

// Guards against callers that are told to return so late that their answer misses the
// latency objective, although capacity for an answer in time was left.
func TestThrottledCallersReturnInTime(t *testing.T) {
	l := deepLoad{ratio: 1.2, slowdown: 1, from: 0, end: 8}
	l.play(t, func(tally *Tally) {
		look := tally.Sum("look", 1, l.end)
		t.Logf("look %+v", look)
		assert.Assert(t, look.Late <= (look.InTime+look.Late)/20, "%+v", look)
	})
}
