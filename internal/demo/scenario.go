package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/keys"
	"github.com/dotterelseam/dotterelseam/publish"
	"github.com/dotterelseam/dotterelseam/refusal"
	"github.com/dotterelseam/dotterelseam/status"
)

const (
	largeWorkspace = "cradley-chainworks"
	smallWorkspace = "netherton-boats"
	drainLookups   = 20
	burstRequests  = 300
	burstWorkers   = 16
)

// grantKey creates a key and waits until all nodes accept it. A node that accepts
// the key refuses the request for an unknown service with no_route.
func (d *demo) grantKey(ctx context.Context, workspace string) (key, id string, err error) {
	key, id, err = (&keys.Operator{Table: d.fleet.client}).Grant(ctx, workspace)
	if err != nil {
		return "", "", err
	}
	for _, h := range d.fleet.nodes {
		err := poll(ctx, func() error {
			if a := d.client.send(ctx, h, request{method: http.MethodGet, path: "/none/x", key: key}); a.reason != refusal.NoRoute {
				return fmt.Errorf("%s does not accept key %s: %v", h.settings.Name, id, a)
			}
			return nil
		})
		if err != nil {
			return "", "", err
		}
	}
	return key, id, nil
}

func (d *demo) showKeyGrant(ctx context.Context) (err error) {
	d.fleet.key, _, err = d.grantKey(ctx, largeWorkspace)
	if err == nil {
		d.printLine("keys", "granted a key to %s; every node accepts it", largeWorkspace)
	}
	return err
}

// showLookup sends a lookup in each data centre, and one without a key.
func (d *demo) showLookup(ctx context.Context) error {
	d.printLine("lookup", "GET %s:", lookupPath)
	for _, dc := range dataCentres {
		h := d.fleet.hostOf(dc, "certvault")
		a, err := d.client.sendWithRetry(ctx, h, request{method: http.MethodGet, path: lookupPath, key: d.fleet.key})
		if err != nil {
			return err
		}
		d.printLine("lookup", "through %s: %v", h.settings.Name, a)
	}
	h := d.fleet.nodes[0]
	d.printLine("lookup", "without a key: %v", d.client.send(ctx, h, request{method: http.MethodGet, path: lookupPath}))
	return nil
}

// showOrder sends an order twice with the same request ID. It runs once.
func (d *demo) showOrder(ctx context.Context) error {
	order := request{method: http.MethodPost, path: orderPath, key: d.fleet.key, id: "demo-order-1", body: "200 m6-bolt"}
	for i, dc := range dataCentres {
		a, err := d.client.sendWithRetry(ctx, d.fleet.hostOf(dc, "orderbook"), order)
		if err != nil {
			return err
		}
		d.printLine("order", "%s in %s: %v", []string{"placed", "repeated"}[i], dc, a)
	}
	runs := 0
	for _, dc := range dataCentres {
		runs += d.fleet.hostOf(dc, "orderbook").backend.Stats().RunsByRequest[order.id]
	}
	d.printLine("order", "%s ran %d time(s) and called pricelist and stockroom", order.id, runs)
	return nil
}

// showKeyWithdrawal withdraws a key and sends a request with it, which is refused.
func (d *demo) showKeyWithdrawal(ctx context.Context) error {
	key, id, err := d.grantKey(ctx, largeWorkspace)
	if err != nil {
		return err
	}
	operator := keys.Operator{Table: d.fleet.client, Nodes: d.fleet.operators()[:1]}
	w, err := operator.Withdraw(ctx, id)
	if err != nil {
		return err
	}
	nodes := 0
	for _, r := range w.DataCentres {
		nodes += r.InForce
	}
	d.printLine("keys", "withdrew another key; %d nodes in %d data centres confirmed", nodes, len(w.DataCentres))
	a := d.client.send(ctx, d.fleet.hostOf(dataCentres[1], "stockroom"), request{method: http.MethodGet, path: lookupPath, key: key})
	d.printLine("keys", "lookup with it in %s: %v", dataCentres[1], a)
	return nil
}

// showRateLimit sends a burst above the rate of a workspace.
func (d *demo) showRateLimit(ctx context.Context) error {
	key, _, err := d.grantKey(ctx, smallWorkspace)
	if err != nil {
		return err
	}
	for _, h := range d.fleet.nodes { // gives each node a share of the quota
		if _, err := d.client.sendWithRetry(ctx, h, request{method: http.MethodGet, path: lookupPath, key: key}); err != nil {
			return err
		}
	}
	var passed, over, other atomic.Int64
	var workers sync.WaitGroup
	for w := range burstWorkers {
		workers.Go(func() {
			for i := w; i < burstRequests; i += burstWorkers {
				a := d.client.send(ctx, d.fleet.nodes[i%len(d.fleet.nodes)], request{method: http.MethodGet, path: lookupPath, key: key})
				switch {
				case a.reason == refusal.OverRate:
					over.Add(1)
				case a.err == nil && a.reason == "":
					passed.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	workers.Wait()
	w := d.workspace(smallWorkspace)
	d.printLine("rate", "%s may send %.0f requests/s, burst %.0f", w.Name, w.Rate, w.Burst)
	d.printLine("rate", "of %d requests at once, %d were accepted, %d refused as over_rate, %d ended otherwise",
		burstRequests, passed.Load(), over.Load(), other.Load())
	return ctx.Err()
}

func (d *demo) workspace(name string) *config.Workspace {
	list := d.fleet.document.Fleet.Workspaces
	for i := range list {
		if list[i].Name == name {
			return &list[i]
		}
	}
	return &config.Workspace{Name: name}
}

// showPublish publishes a version and waits until it is in force on all nodes. Then
// it publishes a change based on the old version, which has to conflict.
func (d *demo) showPublish(ctx context.Context) error {
	w := d.workspace(smallWorkspace)
	w.Rate *= 2
	from := d.fleet.published.Version
	current, err := publish.Publish(ctx, d.fleet.client, from, d.fleet.document)
	if err != nil {
		return err
	}
	d.fleet.published = current
	d.printLine("publish", "version %d doubles the rate of %s", current.Version, w.Name)
	limited, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	waiter := status.Waiter{Client: status.DefaultClient(statusTimeout), Addresses: d.fleet.operators()}
	if f := waiter.Wait(limited, current.Version); !f.Complete {
		return Error.New("version %d is not in force everywhere: %+v", current.Version, f)
	}
	d.printLine("publish", "version %d is in force on all %d nodes", current.Version, len(d.fleet.nodes))
	other := *d.fleet.document
	other.Fleet.Workspaces = other.Fleet.Workspaces[1:] // simulates a change by another operator
	if _, err := publish.Publish(ctx, d.fleet.client, from, &other); !publish.ErrConflict.Has(err) {
		return Error.New("a change that starts from version %d should conflict: %v", from, err)
	}
	d.printLine("publish", "another operator's change that starts from version %d: conflict", from)
	return nil
}

// showDrain drains a backend server and shows that its requests go to the one in the
// other data centre.
func (d *demo) showDrain(ctx context.Context) error {
	drained, other := d.fleet.hostOf(dataCentres[0], "stockroom"), d.fleet.hostOf(dataCentres[1], "stockroom")
	drained.backend.SetBehaviour(standin.BackendBehaviour{ServiceTime: serviceTime, Draining: true})
	if err := d.waitState(ctx, drained, "draining"); err != nil {
		return err
	}
	before, beforeOther, answered := drained.backend.Stats().Runs, other.backend.Stats().Runs, 0
	for range drainLookups {
		a, err := d.client.sendWithRetry(ctx, d.fleet.hostOf(dataCentres[0], "pricelist"), request{method: http.MethodGet, path: lookupPath, key: d.fleet.key})
		if err != nil {
			return err
		}
		if a.err == nil && a.reason == "" {
			answered++
		}
	}
	d.printLine("drain", "the stockroom backend server in %s drains; %d of %d lookups sent to this data centre were answered:", dataCentres[0], answered, drainLookups)
	d.printLine("drain", "  %d by the one that drains, %d by the one in %s",
		drained.backend.Stats().Runs-before, other.backend.Stats().Runs-beforeOther, dataCentres[1])
	drained.backend.SetBehaviour(drained.behaviour())
	return d.waitState(ctx, drained, "serving")
}

// waitState waits until every node lists the backend server of h in the given state.
func (d *demo) waitState(ctx context.Context, h *host, state string) error {
	return d.fleet.waitStatus(ctx, func(n status.Node) bool {
		for _, e := range n.Endpoints {
			if e.Node == h.settings.Name {
				return e.State == state
			}
		}
		return false
	})
}
