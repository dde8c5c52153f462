package loadtest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a backend server with the node on its host.
type server struct {
	fleet    *Fleet
	name     string
	callers  string // address of the node's callers listener
	client   *http.Client
	stop     func()
	refusals atomicFloat
	slowdown atomicFloat // 0: none
	limit    atomicFloat // requests per second named in responses; 0: none

	mu       sync.Mutex
	random   *rand.Rand
	arrivals []time.Time
}

type atomicFloat struct{ v atomic.Value }

func (f *atomicFloat) Store(x float64) { f.v.Store(x) }

func (f *atomicFloat) Load() float64 {
	x, _ := f.v.Load().(float64)
	return x
}

// draw returns a random number in [0, 1).
func (s *server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	if limit := s.limit.Load(); limit > 0 {
		w.Header().Set(headerRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if s.draw() < s.refusals.Load() {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left, _ := strconv.Atoi(r.Header.Get(headerTimeout)) // without a valid timeout the request ends at once
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	if !s.run(ctx, s.fleet.routes[r.Host]) {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// run works on a request of route and makes its calls. It reports whether all of them
// succeeded before ctx ended.
func (s *server) run(ctx context.Context, route *Route) bool {
	work := time.Duration(float64(route.Work) * (0.5 + s.draw()) * max(s.slowdown.Load(), 1))
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return false
	}
	for _, name := range route.Calls {
		status, _, err := s.fleet.send(ctx, s.client, s.callers, s.fleet.routes[name], "")
		if err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}
