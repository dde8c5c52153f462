package integration

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/harness"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/keys"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// noFault is a fault without effect.
var noFault = fault{"no fault", func(*fleet) func() { return func() {} }}

// Guards against a withdrawn key that a reachable node still accepts, also on
// connections opened before the withdrawal, while the platform is down, slow or cut
// off.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	for _, active := range []fault{
		noFault,
		{"platform down", platformFault(standin.PlatformFaults{Down: true})},
		{"platform slow", platformFault(standin.PlatformFaults{Delay: 3 * time.Second})},
		{"data centre cut from the platform", faults[2].begin},
	} {
		t.Run(active.name, func(t *testing.T) {
			f := faultFleet(t)
			key, id := f.grant("large", f.Nodes...)
			kept, _ := f.grant("large", f.Nodes...)
			clients := make([]*http.Client, len(f.Nodes)) // each reuses one connection
			for i, n := range f.Nodes {
				clients[i] = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}}
				f.eventually(func() error {
					return checkStatus(sendWith(clients[i], n, "GET", "/frontdesk/guests/1", key, "", ""), 200)
				})
			}
			defer active.begin(f)()
			operator := keys.Operator{Table: f.Client, Nodes: []string{f.Nodes[0].Operators, f.Nodes[3].Operators}}
			withdrawal, err := operator.Withdraw(context.Background(), id)
			assert.NilError(t, err)
			assert.Assert(t, withdrawal.InForceEverywhere(), "%+v", withdrawal)
			for i, n := range f.Nodes {
				r := sendWith(clients[i], n, "GET", "/frontdesk/guests/1", key, "", "")
				assert.Equal(t, r.reason(), refusal.WithdrawnKey, "%s: %v", n.Name, r)
				assert.Equal(t, r.ran(), refusal.RanNo)
				f.eventually(func() error { return checkStatus(f.send(n, "GET", "/frontdesk/guests/1", kept, "", ""), 200) })
			}
		})
	}
}

func checkStatus(r reply, status int) error {
	if r.status != status {
		return fmt.Errorf("%v", r)
	}
	return nil
}

// Guards the behaviour of a data centre that is cut off from the others and from the
// platform: it stops accepting keys after the cut-off limit, because withdrawals cannot
// reach it, but still serves open routes, which need no key.
func TestCutOffDataCentre(t *testing.T) {
	d := faultDocument(1)
	d.Fleet.Keys.CutOffLimit = 3 * time.Second
	d.Services[0].Routes = append(d.Services[0].Routes, config.Route{
		Pattern: "GET /menu", Importance: config.Low, Idempotent: true, Open: true, Attempts: 2, Timeout: time.Second,
	})
	var nodes []harness.NodeSpec
	for _, dc := range dataCentres {
		nodes = append(nodes, backendSpec(dc, "frontdesk", standin.BackendBehaviour{}))
	}
	f := startFleet(t, d, nodes...)
	key, id := f.grant("large", f.Nodes...)
	cutOff, reachable := f.Nodes[0], f.Nodes[1]
	f.eventually(func() error { return checkStatus(f.send(cutOff, "GET", "/frontdesk/guests/1", key, "", ""), 200) })

	for _, zone := range []string{"krakow", "lodz", harness.PlatformZone} {
		f.Network.Cut("gdansk", zone)
	}
	operator := keys.Operator{Table: f.Client, Nodes: []string{reachable.Operators}}
	withdrawal, err := operator.Withdraw(context.Background(), id)
	assert.NilError(t, err)
	assert.Assert(t, !withdrawal.InForceEverywhere(), "%+v", withdrawal)
	assert.Equal(t, f.send(reachable, "GET", "/frontdesk/guests/1", key, "", "").reason(), refusal.WithdrawnKey)
	f.eventually(func() error {
		if r := f.send(cutOff, "GET", "/frontdesk/guests/1", key, "", ""); r.reason() != refusal.KeysUnverified {
			return fmt.Errorf("%v", r)
		}
		return nil
	})
	r := f.send(cutOff, "GET", "/frontdesk/menu", "", "", "")
	assert.Equal(t, r.status, 200, "%v", r)

	for _, zone := range []string{"krakow", "lodz", harness.PlatformZone} {
		f.Network.Heal("gdansk", zone)
	}
	f.eventually(func() error {
		if r := f.send(cutOff, "GET", "/frontdesk/guests/1", key, "", ""); r.reason() != refusal.WithdrawnKey {
			return fmt.Errorf("%v", r)
		}
		return nil
	})
}
