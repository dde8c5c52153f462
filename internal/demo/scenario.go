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

// grant creates a key and waits until all nodes accept it.
func (d *demo) grant(ctx context.Context, workspace string) (key, id string, err error) {
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

func (d *demo) grantKeys(ctx context.Context) (err error) {
	d.fleet.key, _, err = d.grant(ctx, largeWorkspace)
	if err == nil {
		d.say("keys", "granted one to %s; every node accepts it", largeWorkspace)
	}
	return err
}

// lookUp shows a plain request in each data centre, and one without a key.
func (d *demo) lookUp(ctx context.Context) error {
	d.say("lookup", "GET %s:", lookupPath)
	for _, dc := range dataCentres {
		h := d.fleet.find(dc, "certvault")
		a, err := d.client.sendInTurn(ctx, h, request{method: http.MethodGet, path: lookupPath, key: d.fleet.key})
		if err != nil {
			return err
		}
		d.say("lookup", "through %s: %v", h.settings.Name, a)
	}
	h := d.fleet.nodes[0]
	d.say("lookup", "without a key: %v", d.client.send(ctx, h, request{method: http.MethodGet, path: lookupPath}))
	return nil
}

// order shows an order that is sent twice but runs once.
func (d *demo) order(ctx context.Context) error {
	order := request{method: http.MethodPost, path: orderPath, key: d.fleet.key, id: "demo-order-1", body: "200 m6-bolt"}
	for i, dc := range dataCentres {
		a, err := d.client.sendInTurn(ctx, d.fleet.find(dc, "orderbook"), order)
		if err != nil {
			return err
		}
		d.say("order", "%s in %s: %v", []string{"placed", "repeated"}[i], dc, a)
	}
	runs := 0
	for _, dc := range dataCentres {
		runs += d.fleet.find(dc, "orderbook").backend.Stats().RunsByRequest[order.id]
	}
	d.say("order", "%s ran %d time(s) and called pricelist and stockroom", order.id, runs)
	return nil
}

// withdraw shows a key that stops working.
func (d *demo) withdraw(ctx context.Context) error {
	key, id, err := d.grant(ctx, largeWorkspace)
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
	d.say("keys", "withdrew another; %d nodes in %d data centres confirmed", nodes, len(w.DataCentres))
	a := d.client.send(ctx, d.fleet.find(dataCentres[1], "stockroom"), request{method: http.MethodGet, path: lookupPath, key: key})
	d.say("keys", "lookup with it in %s: %v", dataCentres[1], a)
	return nil
}

// exceedRate shows a workspace that sends more than it may.
func (d *demo) exceedRate(ctx context.Context) error {
	key, _, err := d.grant(ctx, smallWorkspace)
	if err != nil {
		return err
	}
	for _, h := range d.fleet.nodes { // so that each node holds a share
		if _, err := d.client.sendInTurn(ctx, h, request{method: http.MethodGet, path: lookupPath, key: key}); err != nil {
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
	d.say("rate", "%s may send %.0f requests/s, burst %.0f", w.Name, w.Rate, w.Burst)
	d.say("rate", "of %d requests at once, %d passed, %d over_rate, %d failed",
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

// publishChange shows a new version coming into force.
func (d *demo) publishChange(ctx context.Context) error {
	w := d.workspace(smallWorkspace)
	w.Rate *= 2
	from := d.fleet.published.Version
	current, err := publish.Publish(ctx, d.fleet.client, from, d.fleet.document)
	if err != nil {
		return err
	}
	d.fleet.published = current
	d.say("publish", "version %d doubles the rate of %s", current.Version, w.Name)
	limited, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	waiter := status.Waiter{Client: status.DefaultClient(statusLimit), Addresses: d.fleet.operators()}
	if f := waiter.Wait(limited, current.Version); !f.Complete {
		return Error.New("version %d is not in force everywhere: %+v", current.Version, f)
	}
	d.say("publish", "version %d is in force on all %d nodes", current.Version, len(d.fleet.nodes))
	other := *d.fleet.document
	other.Fleet.Workspaces = other.Fleet.Workspaces[1:] // another operator's change
	if _, err := publish.Publish(ctx, d.fleet.client, from, &other); !publish.ErrConflict.Has(err) {
		return Error.New("a change that starts from version %d should conflict: %v", from, err)
	}
	d.say("publish", "another operator's change that starts from version %d: conflict", from)
	return nil
}

// drain shows a backend server that leaves and its work going elsewhere.
func (d *demo) drain(ctx context.Context) error {
	leaving, other := d.fleet.find(dataCentres[0], "stockroom"), d.fleet.find(dataCentres[1], "stockroom")
	leaving.backend.SetBehaviour(standin.BackendBehaviour{ServiceTime: serviceTime, Draining: true})
	if err := d.waitState(ctx, leaving, "draining"); err != nil {
		return err
	}
	before, beforeOther, answered := leaving.backend.Stats().Runs, other.backend.Stats().Runs, 0
	for range drainLookups {
		a, err := d.client.sendInTurn(ctx, d.fleet.find(dataCentres[0], "pricelist"), request{method: http.MethodGet, path: lookupPath, key: d.fleet.key})
		if err != nil {
			return err
		}
		if a.err == nil && a.reason == "" {
			answered++
		}
	}
	d.say("drain", "stockroom in %s drains; %d of %d lookups answered there:", dataCentres[0], answered, drainLookups)
	d.say("drain", "  %d by the one that drains, %d by the one in %s",
		leaving.backend.Stats().Runs-before, other.backend.Stats().Runs-beforeOther, dataCentres[1])
	leaving.backend.SetBehaviour(leaving.behaviour())
	return d.waitState(ctx, leaving, "serving")
}

// waitState waits until every node sees the backend server of h in a state.
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
