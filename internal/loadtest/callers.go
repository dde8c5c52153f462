package loadtest

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// Stream is the requests that callers send of one route.
type Stream struct {
	Route     string
	PerSecond float64
}

// Counts is what callers got of the requests of one route that arrived in one second.
type Counts struct {
	Asked        int
	InTime       int // answered within the latency objective, counted from the first try
	Late         int // answered after it
	Refused      int // the last try was refused and has not run
	Failed       int // the last try failed otherwise
	RefusedTwice int // refused again after a return at the time that the first refusal named
}

// Tally is what callers got, by route and by second of the arrival.
type Tally struct {
	mu      sync.Mutex
	started time.Time
	counts  map[string][]Counts
}

// Sum returns the counts of a route over the seconds from (included) to end (excluded).
func (t *Tally) Sum(route string, from, end int) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Counts
	for second, c := range t.counts[route] {
		if second < from || second >= end {
			continue
		}
		sum.Asked += c.Asked
		sum.InTime += c.InTime
		sum.Late += c.Late
		sum.Refused += c.Refused
		sum.Failed += c.Failed
		sum.RefusedTwice += c.RefusedTwice
	}
	return sum
}

// record applies f to the counts of a route and the second of an arrival.
func (t *Tally) record(route string, arrived time.Time, f func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	second := int(arrived.Sub(t.started) / time.Second)
	for len(t.counts[route]) <= second {
		t.counts[route] = append(t.counts[route], Counts{})
	}
	f(&t.counts[route][second])
}

// Change is a change of the fleet at a time after the start of a load.
type Change struct {
	At time.Duration
	Do func()
}

// Play sends the requests of the streams for a time, makes the changes, which must be in
// order, and returns when all requests have ended.
func (f *Fleet) Play(length time.Duration, streams []Stream, changes ...Change) *Tally {
	t := &Tally{started: time.Now(), counts: map[string][]Counts{}}
	var wg sync.WaitGroup
	for _, s := range streams {
		arrivals := f.arrivals(s, length)
		wg.Go(func() {
			for _, at := range arrivals {
				time.Sleep(time.Until(t.started.Add(at.after)))
				wg.Go(func() { f.request(t, f.routes[s.Route], at.entry) })
			}
		})
	}
	for _, c := range changes {
		time.Sleep(time.Until(t.started.Add(c.At)))
		c.Do()
	}
	wg.Wait()
	return t
}

// arrival is one request of a stream.
type arrival struct {
	after time.Duration
	entry string // address of the entry node
}

func (f *Fleet) arrivals(s Stream, length time.Duration) []arrival {
	var out []arrival
	for after := time.Duration(0); ; {
		after += time.Duration(f.random.ExpFloat64() / s.PerSecond * float64(time.Second))
		if after >= length {
			return out
		}
		out = append(out, arrival{after, f.hosts[f.random.IntN(len(f.hosts))].callers})
	}
}

// request sends one request of a caller. Like the users' clients the caller comes back
// once: after a refusal at the time it names, but within a third of the time left, and
// after another failure at once if the request is idempotent.
func (f *Fleet) request(t *Tally, route *Route, entry string) {
	arrived := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), arrived.Add(route.Timeout))
	defer cancel()
	status, refused, err := f.send(ctx, f.client, entry, route, workspace)
	cameBack := false
	if notRun := refused != nil && refused.Ran == refusal.RanNo; notRun || status != http.StatusOK && route.Idempotent {
		if notRun {
			time.Sleep(min(refused.RetryAfter, time.Until(arrived.Add(route.Timeout))/3))
			cameBack = true
		}
		status, refused, err = f.send(ctx, f.client, entry, route, workspace)
	}
	took := time.Since(arrived)
	t.record(route.Name, arrived, func(c *Counts) {
		c.Asked++
		switch {
		case err == nil && status == http.StatusOK && took <= route.Objective:
			c.InTime++
		case err == nil && status == http.StatusOK:
			c.Late++
		case refused != nil && refused.Ran == refusal.RanNo:
			c.Refused++
			if cameBack {
				c.RefusedTwice++
			}
		default:
			c.Failed++
		}
	})
}

// send sends one request to the node at address and reads the whole answer. The refusal
// is nil if the answer is that of a backend server.
func (f *Fleet) send(ctx context.Context, client *http.Client, address string, route *Route, workspace string) (int, *refusal.Refusal, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	end, _ := ctx.Deadline()
	r.Host = route.Name
	r.Header.Set(headerTimeout, strconv.FormatInt(max(time.Until(end), 0).Milliseconds(), 10))
	if workspace != "" {
		r.Header.Set(headerWorkspace, workspace)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	refused, _ := refusal.Parse(resp.Header, body)
	return resp.StatusCode, refused, nil
}
