// Package overload measures how a chain of three services behaves during a surge of
// load to a multiple of its capacity and while its deepest service is slow: without
// overload control, with a fixed concurrency limit, and with dotterelseam.
package overload

import (
	"time"

	"github.com/dotterelseam/dotterelseam/config"
)

// The modes of the experiment.
const (
	ModeNone     = "none"     // no overload control; failures are retried at each hop
	ModeStatic   = "static"   // as none, but with a fixed limit of concurrent requests per server
	ModeDotterel = "dotterel" // a node of dotterelseam on each host
)

// Options describes a run.
type Options struct {
	Modes []string // empty means all
	Seed  uint64   // of the sequence of workspaces and importances
	// Phase is the length of a phase; 0 means 4 s. Two phases have half that length,
	// and a mode takes about 7 phases in all.
	Phase time.Duration
	// Surge is the load offered during the surge, as a multiple of capacity; 0 means 4.
	Surge float64
}

func (o Options) withDefaults() Options {
	if len(o.Modes) == 0 {
		o.Modes = []string{ModeNone, ModeStatic, ModeDotterel}
	}
	if o.Phase <= 0 {
		o.Phase = 4 * time.Second
	}
	if o.Surge <= 0 {
		o.Surge = 4
	}
	return o
}

// tier is one service of the chain.
type tier struct {
	service     string
	servers     int
	slots       int           // per server
	serviceTime time.Duration // without the onward call
	calls       []string      // onward calls
}

// chain is ordered from the entry to the deepest service, which is the bottleneck:
// 24 slots and 80 ms give 300 requests/s. The other services have 5.5 times as many
// slots, like a server of orderbook compared with one of pricelist (see the users in
// docs/design.md), and could serve more than twice that rate. So they admit requests
// that the deepest service refuses, and their work for these requests is wasted.
var chain = []tier{
	{service: "front", servers: 2, slots: 66, serviceTime: 10 * time.Millisecond, calls: []string{"GET /middle/item"}},
	{service: "middle", servers: 2, slots: 66, serviceTime: 10 * time.Millisecond, calls: []string{"GET /deep/item"}},
	{service: "deep", servers: 2, slots: 12, serviceTime: 80 * time.Millisecond},
}

const (
	// answerBytes is the size of each answer.
	answerBytes = 64
	// backendRetries is the number of times that a backend server itself retries a
	// failed onward call.
	backendRetries = 1
	// slowFactor multiplies the service time of the deepest service while it is slow.
	// At the base load, the service can then serve a third of the requests.
	slowFactor = 4
)

// capacity returns the requests per second that the chain can serve. A slot is
// occupied until the onward call has returned.
func capacity() float64 {
	lowest := 0.0
	occupied := time.Duration(0)
	for i := len(chain) - 1; i >= 0; i-- {
		t := chain[i]
		occupied += t.serviceTime
		if c := float64(t.servers*t.slots) / occupied.Seconds(); lowest == 0 || c < lowest {
			lowest = c
		}
	}
	return lowest
}

// loadClass is the part of the offered load that has one importance.
type loadClass struct {
	importance config.Importance
	fraction   float64 // of the load
	weight     float64 // of one successful operation in the weighted goodput
}

var loadMix = []loadClass{
	{config.Critical, 0.10, 8},
	{config.High, 0.20, 4},
	{config.Normal, 0.40, 2},
	{config.Low, 0.30, 1},
}

// workspaces are the senders with their fractions of the load. The first sends
// several times its fair share.
var workspaces = []struct {
	name     string
	fraction float64
}{{"greedy", 0.5}, {"large", 0.2}, {"medium", 0.15}, {"small", 0.1}, {"tiny", 0.05}}

// Behaviour of the clients.
const (
	clientTimeout    = 800 * time.Millisecond // of each attempt
	clientAttempts   = 4                      // of each operation
	clientRetryDelay = 20 * time.Millisecond  // between attempts; Retry-After is ignored
	baseLoad         = 0.7                    // of the capacity
	fullLoad         = 1.2                    // of the capacity, to find the best sustained goodput
)

// phase is a section of a run with a constant request rate.
type phase struct {
	name   string
	length time.Duration
	load   float64 // of the capacity
	slow   bool    // the deepest service is slow
}

// phases returns the phases of a run in order. Phase "warm" lets connections and
// limits settle at the base load, and "settle" drains the queues after "full"; the
// goodput in these two is not reported.
func (o Options) phases() []phase {
	return []phase{
		{"warm", o.Phase / 2, baseLoad, false},
		{"before", o.Phase, baseLoad, false},
		{"full", o.Phase, fullLoad, false},
		{"settle", o.Phase / 2, baseLoad, false},
		{"surge", o.Phase, o.Surge, false},
		{"after surge", o.Phase, baseLoad, false},
		{"slow", o.Phase, baseLoad, true},
		{"after slow", o.Phase, baseLoad, false},
	}
}
