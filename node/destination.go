package node

import (
	"sync"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/retry"
)

// destination holds the state that this node keeps for calls to one service.
type destination struct {
	balancer *balancer.Balancer
	retries  *retry.Policy
	attemptUsage
	admitRatios admitRatios
	updateMu    sync.Mutex // keeps updates of the balancer in the order in which the directory was read
}

// destinations holds a *destination for each configured service, created at the first
// call to it.
type destinations struct{ byService sync.Map }

// destination returns the destination of a service, which it creates at the first call.
func (n *Node) destination(service string) *destination {
	if d, ok := n.destinations.byService.Load(service); ok {
		return d.(*destination)
	}
	first := &destination{
		balancer: balancer.New(balancer.Config{DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, Clock: n.cfg.Clock}),
		retries:  retry.New(n.cfg.Retry),
	}
	// Other calls may use the destination as soon as it is stored, so it gets its
	// endpoints first. The update afterwards covers changes in between.
	first.balancer.Update(n.cfg.Directory.Endpoints(service))
	d, loaded := n.destinations.byService.LoadOrStore(service, first)
	if !loaded {
		n.updateDestination(service)
	}
	return d.(*destination)
}

// updateDestination passes the directory's endpoints of a service to its balancer.
func (n *Node) updateDestination(service string) {
	v, ok := n.destinations.byService.Load(service)
	if !ok {
		return
	}
	d := v.(*destination)
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	d.balancer.Update(n.cfg.Directory.Endpoints(service))
}
