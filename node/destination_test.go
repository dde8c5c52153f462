package node

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// blockingDirectory is a Directory whose first call of Endpoints blocks until release
// is closed.
type blockingDirectory struct {
	Directory
	reading chan struct{}
	read    atomic.Bool
	release chan struct{}
}

func (d *blockingDirectory) Endpoints(service string) []balancer.Endpoint {
	if d.read.CompareAndSwap(false, true) {
		close(d.reading)
		<-d.release
	}
	return d.Directory.Endpoints(service)
}

// Guards against a call that is refused as no_backend_server because it arrives while
// another call, the first one to the service, is still reading the endpoints.
func TestConcurrentFirstCalls(t *testing.T) {
	f := newFleet(t, "stock")
	f.startHost("b", "stock", standin.BackendBehaviour{})
	d := &blockingDirectory{reading: make(chan struct{}), release: make(chan struct{})}
	f.configure = func(c *Config) {
		d.Directory = c.Directory
		c.Directory = d
	}
	entry := f.startHost("a", "", standin.BackendBehaviour{})
	call := func() int {
		resp, _ := do(t, newKeyedRequest(t, "GET", entry.url+"/stock/items/1", nil))
		return resp.StatusCode
	}
	first := make(chan int)
	go func() { first <- call() }()
	<-d.reading
	assert.Equal(t, call(), http.StatusOK)
	close(d.release)
	assert.Equal(t, <-first, http.StatusOK)
}
