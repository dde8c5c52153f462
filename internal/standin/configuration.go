package standin

import (
	"encoding/json"
	"fmt"
	"time"
)

// PlatformConfiguration is a version of the operator's configuration.
type PlatformConfiguration struct {
	Version  int
	Routes   []PlatformRoute
	Tenants  []PlatformTenant
	Services []PlatformService
}

// PlatformRoute is a route for all paths of a host name.
type PlatformRoute struct {
	Host, Service      string
	Idempotent, Open   bool
	Attempts           int
	Timeout, Objective time.Duration
}

// PlatformTenant is a workspace with its keys. Rate 0 means that it has no bound.
type PlatformTenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// PlatformService is a service whose servers accept a number of connections.
type PlatformService struct {
	Name        string
	Connections int
}

// Configure writes a version as the operator does.
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
		panic(err) // strings and numbers can always be encoded
	}
	return raw
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
