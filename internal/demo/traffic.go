package demo

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	trafficRate    = 40 // requests per second
	orderEvery     = 10 // every 10th request is an order
	uploadEvery    = 20 // every 20th request is an upload
	uploadBytes    = 256 << 10
	trafficWorkers = 8
)

// responseCounts counts responses by outcome since the last output line.
type responseCounts struct {
	mu    sync.Mutex
	count map[string]int
}

func (c *responseCounts) add(a response) {
	kind := string(a.reason)
	switch {
	case a.err != nil:
		kind = "failed"
	case kind == "":
		kind = "answered"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[kind]++
}

// takeSummary returns the counts as text and resets them.
func (c *responseCounts) takeSummary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for kind, n := range c.count {
		parts = append(parts, fmt.Sprintf("%d %s", n, kind))
	}
	sort.Strings(parts)
	c.count = map[string]int{}
	return strings.Join(parts, ", ")
}

// runTraffic sends requests through all nodes in turn until ctx ends.
func (d *demo) runTraffic(ctx context.Context, interval time.Duration) error {
	t := &responseCounts{count: map[string]int{}}
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range trafficWorkers {
		workers.Go(func() {
			for i := range jobs {
				if a := d.client.send(ctx, d.fleet.nodes[i%len(d.fleet.nodes)], d.trafficRequest(i)); ctx.Err() == nil {
					t.add(a)
				}
			}
		})
	}
	defer workers.Wait()
	defer close(jobs)
	next, line := time.NewTicker(time.Second/trafficRate), time.NewTicker(interval)
	defer next.Stop()
	defer line.Stop()
	d.printLine("traffic", "%d requests/s through all nodes: lookups, orders, uploads", trafficRate)
	for i := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-line.C:
			d.printLine("traffic", "%s", t.takeSummary())
		case <-next.C:
			select {
			case jobs <- i:
				i++
			default: // skip the request; all workers are waiting for responses
			}
		}
	}
}

// trafficRequest returns the i-th request of the background traffic.
func (d *demo) trafficRequest(i int) request {
	switch {
	case i%uploadEvery == 1:
		return request{method: http.MethodPut, path: "/certvault/drawings/d1", key: d.fleet.key, body: strings.Repeat("d", uploadBytes)}
	case i%orderEvery == 0:
		return request{method: http.MethodPost, path: orderPath, key: d.fleet.key, id: fmt.Sprintf("demo-traffic-%d", i), body: "one box"}
	}
	return request{method: http.MethodGet, path: lookupPath, key: d.fleet.key}
}
