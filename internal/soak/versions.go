package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Host names of the routes that every version has.
const (
	hostRead   = "read.example"
	hostOrder  = "order.example"
	hostCounts = "counts.example"
)

const (
	routeTimeout   = time.Second
	routeObjective = 500 * time.Millisecond
	routeAttempts  = 2
	// keptKeys is the number of latest keys of a workspace that are in force.
	keptKeys = 2
)

// workspace is one of those that the callers belong to.
type workspace struct {
	name        string
	rate, burst float64 // 0: no bound
}

// The callers drive the bounded workspaces above their rates at times.
var workspaces = []workspace{{"large", 40, 40}, {"small", 6, 6}, {"free", 0, 0}}

// route is a route of the configuration.
type route struct {
	host, service string
	idempotent    bool
	open          bool
	attempts      int
	timeout       time.Duration
}

// version is one version of the configuration.
type version struct {
	number int
	routes []route
	keys   map[string]string // workspace by key
}

// operator writes versions of the configuration.
type operator struct {
	store  *standin.Platform
	ledger *ledger

	mu      sync.Mutex
	current version
	retired []string // keys that are not in force any more
	removed []string // host names of routes that are not in force any more
	added   string   // host name of the latest added route
}

// publish writes the next version: a route more, the one added before less, and a
// new key for each workspace in place of the oldest.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.current.number + 1
	v := version{number: n, keys: map[string]string{}}
	v.routes = []route{
		{hostRead, serviceDesk, true, false, routeAttempts, routeTimeout},
		{hostOrder, serviceOrders, false, false, routeAttempts, routeTimeout},
		{hostCounts, serviceCounts, true, true, routeAttempts, routeTimeout},
	}
	if o.added != "" {
		o.removed = append(o.removed, o.added)
	}
	o.added = fmt.Sprintf("added-%d.example", n)
	v.routes = append(v.routes, route{o.added, serviceDesk, true, false, routeAttempts, routeTimeout})
	for _, w := range workspaces {
		for k := max(0, n-keptKeys+1); k <= n; k++ {
			v.keys[keyOf(w.name, k)] = w.name
		}
		if n >= keptKeys {
			o.retired = append(o.retired, keyOf(w.name, n-keptKeys))
		}
	}
	o.ledger.knows(&v)
	o.current = v
	o.store.Configure(v.document())
}

func keyOf(workspace string, n int) string { return fmt.Sprintf("%s-key-%d", workspace, n) }

// document returns the version as the platform's operators write it.
func (v *version) document() *standin.PlatformConfiguration {
	c := &standin.PlatformConfiguration{Version: v.number}
	for _, r := range v.routes {
		c.Routes = append(c.Routes, standin.PlatformRoute{
			Host: r.host, Service: r.service, Idempotent: r.idempotent, Open: r.open, Attempts: r.attempts,
			Timeout: r.timeout, Objective: routeObjective,
		})
	}
	for _, w := range workspaces {
		t := standin.PlatformTenant{Name: w.name, Rate: w.rate, Burst: w.burst}
		for key, holder := range v.keys {
			if holder == w.name {
				t.Keys = append(t.Keys, key)
			}
		}
		c.Tenants = append(c.Tenants, t)
	}
	for _, name := range []string{serviceDesk, serviceOrders, serviceCounts} {
		c.Services = append(c.Services, standin.PlatformService{Name: name, Connections: serverConnections})
	}
	return c
}

// draw returns a random request with a key that is in force, and its workspace.
func (o *operator) draw(r *rand.Rand) (standin.PlatformRequest, string) {
	o.mu.Lock()
	n := o.current.number
	o.mu.Unlock()
	w := workspaces[r.IntN(len(workspaces))]
	p := standin.PlatformRequest{Method: http.MethodGet, Host: hostRead, Path: fmt.Sprintf("/p/%d?q=%d", r.IntN(100), r.IntN(100)), Key: keyOf(w.name, n)}
	if r.IntN(3) == 0 {
		p.Method, p.Host, p.Body = http.MethodPost, hostOrder, fmt.Sprintf("order %d", r.Int())
	}
	return p, w.name
}
