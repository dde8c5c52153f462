package main

import (
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// lookHost is the host of the route for look-ups.
const lookHost = "look.example"

// routeTimeout is the timeout of the routes and the deadline of most requests.
const routeTimeout = 5 * time.Second

// configuration has a route for look-ups and one workspace.
func configuration() *standin.PlatformConfiguration {
	return &standin.PlatformConfiguration{
		Version: 1,
		Routes: []standin.PlatformRoute{
			{Host: lookHost, Service: "stockroom", Idempotent: true, Attempts: 2, Timeout: routeTimeout, Objective: 1500 * time.Millisecond},
		},
		Tenants:  []standin.PlatformTenant{{Name: tenantName, Keys: []string{tenantKey}}},
		Services: []standin.PlatformService{{Name: "stockroom", Connections: 748}},
	}
}
