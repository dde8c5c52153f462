package main

import (
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Figures of the site's sheet that the cases share.
const (
	callerKey         = "key-of-the-shop"
	serverSlots       = 108
	serverConnections = 748
	drainTime         = 2 * time.Second // bound "drain"
	contactTime       = 3 * time.Second // bound "contact"
	graceTime         = 6 * time.Second // bound "grace"
)

// configuration returns a configuration with one route and one tenant without a quota.
func configuration(route standin.PlatformRoute) *standin.PlatformConfiguration {
	return &standin.PlatformConfiguration{
		Version:  3,
		Routes:   []standin.PlatformRoute{route},
		Tenants:  []standin.PlatformTenant{{Name: "shop", Keys: []string{callerKey}}},
		Services: []standin.PlatformService{{Name: route.Service, Connections: serverConnections}},
	}
}

// runs tells on which instance a request ran.
type runs struct{ byID sync.Map }

func (r *runs) add(id, instance string) { r.byID.Store(id, instance) }

func (r *runs) instance(id string) string {
	v, _ := r.byID.Load(id)
	s, _ := v.(string)
	return s
}
