package sidecar

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that fail although another backend server could run them.
func TestRetriesElsewhere(t *testing.T) {
	f := newFleet(t)
	bad, good, entry := f.host("shop-1", "shop"), f.host("shop-2", "shop"), f.host("other-1", "other")
	f.configure(4, farm)
	bad.setResponse(func(w http.ResponseWriter, _ *http.Request) {
		refuseAsNotRun(w)
	})
	waitUntil(t, func() string {
		for range 10 {
			if a := entry.call("GET", "read.example", "k1"); a.status != 200 || a.body != "shop-2GET/x" {
				return fmt.Sprintf("status %d", a.status)
			}
		}
		return ""
	})
	assert.Assert(t, len(good.requests()) >= 10)
}

// Guards against entry nodes that refuse callers because a service further down refuses a
// fixed share of its calls: fewer requests do not make that share smaller.
func TestFixedRefusalsDoNotThrottleEntry(t *testing.T) {
	const calls = 300
	f := newFleet(t)
	shop, front := f.host("shop-1", "shop"), f.host("front-1", "front")
	f.configure(4, farm)
	front.setResponse(func(w http.ResponseWriter, _ *http.Request) {
		seal(w)
		if onward := front.call("GET", "open.example", ""); onward.status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	front.awaitServing("front.example")
	var received atomic.Int64
	shop.setResponse(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1)%2 == 0 {
			refuseAsNotRun(w)
			return
		}
		seal(w)
	})
	before := len(front.requests())
	for i := range calls {
		answer := front.call("GET", "front.example", "k1")
		assert.Assert(t, answer.status == http.StatusOK || answer.status == http.StatusInternalServerError, "call %d: status %d: %s", i, answer.status, answer.body)
	}
	assert.Equal(t, len(front.requests())-before, calls)
}
