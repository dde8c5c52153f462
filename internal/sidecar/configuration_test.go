package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a node that still accepts withdrawn keys while the store rejects its
// calls, although other nodes have a newer configuration. A node that restarts
// meanwhile depends on the same path to serve anything.
func TestConfigurationFromOtherNodes(t *testing.T) {
	f := newFleet(t)
	shop := f.host("shop-1", "shop")
	var storeDown atomic.Bool
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if storeDown.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.standIn.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(proxy.CloseClientConnections)
	store := f.url
	f.url = proxy.URL
	entry := f.host("other-1", "other")
	f.url = store
	f.configure(4, farm)
	shop.awaitServing("read.example")
	entry.awaitServing("read.example")
	storeDown.Store(true)
	proxy.CloseClientConnections()
	waitUntil(t, func() string {
		if entry.sidecar.config.Reachable() {
			return "the node has not detected that the store rejects its calls"
		}
		return ""
	})
	f.configure(9, newcomer)
	waitUntil(t, func() string {
		if a := entry.call("GET", "read.example", "k1"); a.status != 401 {
			return fmt.Sprintf("a withdrawn key gets status %d", a.status)
		}
		return ""
	})
	assert.Equal(t, entry.call("GET", "read.example", "k5").status, 200)
}
