package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Host names of the routes that are in every configuration version.
const (
	readHostName   = "read.example"
	orderHostName  = "order.example"
	countsHostName = "counts.example"
)

const (
	routeTimeout   = time.Second
	routeObjective = 500 * time.Millisecond
	routeAttempts  = 2
	activeKeys     = 2 // keys of a workspace that are in force: the newest ones
)

// workspace is the rate limit of a workspace.
type workspace struct {
	name        string
	rate, burst float64 // requests per second and requests; 0: unlimited
}

// The load of the callers exceeds the limits of "large" and "small" at times.
var workspaces = []workspace{{"large", 40, 40}, {"small", 6, 6}, {"free", 0, 0}}

type route struct {
	hostName, service string
	idempotent        bool
	anonymous         bool
	attempts          int
	timeout           time.Duration
}

// version is a configuration version.
type version struct {
	number int
	routes []route
	keys   map[string]string // workspace by key
}

// operator writes configuration versions to the store.
type operator struct {
	store   *standin.Platform
	checker *checker

	mu            sync.Mutex
	current       version
	revokedKeys   []string // keys of earlier versions that are no longer in force
	removedRoutes []string // host names of routes of earlier versions
	addedRoute    string   // host name of the route that the current version added
}

// publish writes the next version. It adds a route, removes the one that the previous
// version added, and replaces the oldest key of each workspace with a new one.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.current.number + 1
	v := version{number: n, keys: map[string]string{}}
	v.routes = []route{
		{readHostName, serviceDesk, true, false, routeAttempts, routeTimeout},
		{orderHostName, serviceOrders, false, false, routeAttempts, routeTimeout},
		{countsHostName, serviceCounts, true, true, routeAttempts, routeTimeout},
	}
	if o.addedRoute != "" {
		o.removedRoutes = append(o.removedRoutes, o.addedRoute)
	}
	o.addedRoute = fmt.Sprintf("added-%d.example", n)
	v.routes = append(v.routes, route{o.addedRoute, serviceDesk, true, false, routeAttempts, routeTimeout})
	for _, w := range workspaces {
		for k := max(0, n-activeKeys+1); k <= n; k++ {
			v.keys[formatKey(w.name, k)] = w.name
		}
		if n >= activeKeys {
			o.revokedKeys = append(o.revokedKeys, formatKey(w.name, n-activeKeys))
		}
	}
	o.checker.addVersion(&v)
	o.current = v
	o.store.Configure(v.document())
}

func formatKey(workspace string, n int) string { return fmt.Sprintf("%s-key-%d", workspace, n) }

// document returns the version in the platform's format.
func (v *version) document() *standin.PlatformConfiguration {
	c := &standin.PlatformConfiguration{Version: v.number}
	for _, r := range v.routes {
		c.Routes = append(c.Routes, standin.PlatformRoute{
			Host: r.hostName, Service: r.service, Idempotent: r.idempotent, Open: r.anonymous, Attempts: r.attempts,
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

// randomRequest returns a random request with the newest key of a random workspace,
// and the name of the workspace.
func (o *operator) randomRequest(r *rand.Rand) (standin.PlatformRequest, string) {
	o.mu.Lock()
	n := o.current.number
	o.mu.Unlock()
	w := workspaces[r.IntN(len(workspaces))]
	p := standin.PlatformRequest{Method: http.MethodGet, Host: readHostName, Path: fmt.Sprintf("/p/%d?q=%d", r.IntN(100), r.IntN(100)), Key: formatKey(w.name, n)}
	if r.IntN(3) == 0 {
		p.Method, p.Host, p.Body = http.MethodPost, orderHostName, fmt.Sprintf("order %d", r.Int())
	}
	return p, w.name
}
