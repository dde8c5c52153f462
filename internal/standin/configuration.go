package standin

import (
	"encoding/json"
	"fmt"
	"time"
)

// PlatformConfiguration is one version of the configuration that operators write
// to the platform.
type PlatformConfiguration struct {
	Version  int
	Routes   []PlatformRoute
	Tenants  []PlatformTenant
	Services []PlatformService
}

// PlatformRoute maps all paths of a host name to a service.
type PlatformRoute struct {
	Host, Service      string
	Idempotent, Open   bool          // Open: requests need no key
	Attempts           int           // maximum number of attempts for each request
	Timeout, Objective time.Duration // Objective: latency objective
}

// PlatformTenant is a workspace with its API keys. Rate is in requests per second;
// 0 means unlimited.
type PlatformTenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// PlatformService is a service; Connections is the limit of each of its backend
// servers.
type PlatformService struct {
	Name        string
	Connections int
}

// Configure writes a configuration version to the row that operators use.
func (p *Platform) Configure(c *PlatformConfiguration) { p.Write("op", "config", c.encode()) }

func (c *PlatformConfiguration) encode() []byte {
	routes, tenants, services := map[string]any{}, map[string]any{}, map[string]any{}
	for _, r := range c.Routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		routes[r.Host] = map[string]any{
			"hostname": r.Host, "prefix": "/", "kind": kind, "timeout": milliseconds(r.Timeout), "targetLatency": milliseconds(r.Objective),
			"priority": 1, "service": r.Service, "attempts": r.Attempts, "allowAnonymous": r.Open,
		}
	}
	for _, t := range c.Tenants {
		tenants[t.Name] = map[string]any{"apiKeys": t.Keys, "priority": 1, "ratePerS": t.Rate, "burst": t.Burst}
	}
	for _, s := range c.Services {
		services[s.Name] = map[string]any{"maxConnections": s.Connections}
	}
	raw, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", c.Version), "routes": routes, "tenants": tenants, "services": services, "limits": map[string]any{},
	})
	if err != nil {
		panic(err) // maps of strings and numbers always marshal
	}
	return raw
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
