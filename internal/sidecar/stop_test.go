package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/node"
)

// stopUnderLoad stops the node of entry, within the limit of its settings, while callers send
// it requests that run for serviceTime each at the backend server of shop. It returns the
// answers to the requests that the backend server received, by ID, and the error of the stop.
func stopUnderLoad(t *testing.T, entry, shop *host, serviceTime time.Duration) (answers map[string]result, err error) {
	const callers = 4
	var mu sync.Mutex
	received := map[string]bool{}
	shop.setResponse(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		received[requestID(r.Header)] = true
		mu.Unlock()
		time.Sleep(serviceTime)
		seal(w)
		_, _ = io.WriteString(w, "whole")
	})
	ended := make(chan struct{})
	answers = map[string]result{}
	var load sync.WaitGroup
	for range callers {
		load.Go(func() {
			for {
				a := entry.call("POST", "order.example", "k1")
				mu.Lock()
				answers[a.id] = a
				mu.Unlock()
				select {
				case <-ended:
					return
				default:
				}
			}
		})
	}
	waitUntil(t, func() string {
		mu.Lock()
		defer mu.Unlock()
		if len(answers) < callers {
			return "the callers have not begun"
		}
		return ""
	})
	ctx, cancel := context.WithTimeout(context.Background(), entry.sidecar.StopLimit())
	defer cancel()
	err = entry.sidecar.Stop(ctx)
	close(ended)
	load.Wait()
	for id := range answers {
		if !received[id] {
			delete(answers, id)
		}
	}
	return answers, err
}

// Guards against a stop that takes requests until its limit and then cuts them off, because
// the limit is shorter than the time for which a stopping node takes requests.
func TestStopWithShortLimit(t *testing.T) {
	f := newFleet(t)
	f.stopLimit = 3 * time.Second
	shop, entry := f.shopAndEntry()
	answers, err := stopUnderLoad(t, entry, shop, 50*time.Millisecond)
	for id, a := range answers {
		assert.Check(t, a.status != 0, "request %s ran and got no answer", id)
	}
	assert.NilError(t, err)
}

// Guards against parts of a stop that take longer together than its limit, and against a
// stop that hardly leaves time for the requests in flight.
func TestPartsOfStop(t *testing.T) {
	for _, limit := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		p := partsOfStop(limit)
		assert.Check(t, p.reserve <= stopReserve && p.drainDelay <= drainDelay && p.shutdownDelay <= node.DefaultShutdownDelay)
		assert.Check(t, p.reserve > 0 && p.drainDelay > 0 && p.shutdownDelay > 0)
		inFlight := limit - p.reserve - p.drainDelay - p.shutdownDelay
		assert.Check(t, inFlight >= limit/4, "limit %v: %v for requests in flight", limit, inFlight)
	}
	assert.Equal(t, partsOfStop(6*time.Second), stopParts{reserve: stopReserve, drainDelay: drainDelay, shutdownDelay: node.DefaultShutdownDelay})
}

// Guards against requests that are still in flight at the end of a stop and whose callers get
// a closed connection, which does not tell them that the request may have run.
func TestStopAnswersWhatItCutsOff(t *testing.T) {
	f := newFleet(t)
	f.stopLimit = time.Second
	shop, entry := f.shopAndEntry()
	started, release := make(chan struct{}, 4), make(chan struct{})
	defer close(release)
	shop.setResponse(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})
	var calls sync.WaitGroup
	for _, h := range []*host{entry, shop} {
		calls.Go(func() {
			a := h.call("POST", "order.example", "k1")
			assert.Check(t, a.status == http.StatusBadGateway, "%s: status %d", h.id, a.status)
		})
		calls.Go(func() {
			resp, err := h.startUpload("order.example")
			if assert.Check(t, err, h.id) {
				assert.Check(t, resp.StatusCode == http.StatusBadGateway, "upload, %s: status %d", h.id, resp.StatusCode)
			}
		})
	}
	for range cap(started) {
		<-started
	}
	for _, h := range []*host{entry, shop} {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), h.sidecar.StopLimit())
			defer cancel()
			err := h.sidecar.Stop(ctx)
			assert.Check(t, node.ErrStopLimit.Has(err), "%v", err)
		})
	}
	calls.Wait()
}

// Guards against requests that are lost when a node is stopped, and against a node
// that reports ready while it stops.
func TestPlannedStop(t *testing.T) {
	f := newFleet(t)
	shop := f.host("shop-1", "shop")
	f.configure(4, farm)
	shop.awaitServing("read.example")
	release := make(chan struct{})
	shop.setResponse(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		seal(w)
		_, _ = io.WriteString(w, "late")
	})
	got := make(chan result, 1)
	go func() { got <- shop.call("POST", "order.example", "k1") }()
	waitUntil(t, func() string {
		if n := len(shop.requests()); n < 2 {
			return "the request has not arrived"
		}
		return ""
	})
	stopped := make(chan error, 1)
	go func() { stopped <- shop.sidecar.Stop(context.Background()) }()
	waitUntil(t, func() string {
		if shop.sidecar.node.Serving() {
			return "the node still counts as ready"
		}
		return ""
	})
	close(release)
	a := <-got
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.body, "late")
	assert.NilError(t, <-stopped)
}
