package sidecar

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/directory"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// drill lets the store go away and come back from a copy that was taken after a transaction.
func (f *fleet) drill(copied uint64) {
	f.standIn.SetFaults(standin.PlatformFaults{Away: true})
	f.standIn.Restore(copied)
	f.standIn.SetFaults(standin.PlatformFaults{})
}

// awaitMembers waits until each host knows all of them, and the store has their rows.
func awaitMembers(t *testing.T, hosts ...*host) {
	t.Helper()
	waitUntil(t, func() string {
		for _, h := range hosts {
			if _, nodes := h.sidecar.directory.Members(); len(nodes) != len(hosts) {
				return fmt.Sprintf("%s knows %d nodes", h.id, len(nodes))
			}
			if !h.fleet.standIn.Has("dotterel", directory.RowPrefix+h.id) {
				return "the store has no row of " + h.id
			}
		}
		return ""
	})
}

// Guards against a node whose row was lost when the store came back from a copy, and which the
// others forget: they divide the limits of workspaces among fewer nodes than use them, and
// send it no requests.
func TestNewNodeOutlastsRestore(t *testing.T) {
	f := newFleet(t)
	a, b := f.host("shop-1", "shop"), f.host("shop-2", "shop")
	f.configure(4, farm)
	awaitMembers(t, a, b)
	copied := f.standIn.Ver()
	c := f.host("shop-3", "shop")
	awaitMembers(t, a, b, c)
	f.drill(copied)
	awaitMembers(t, a, b, c)
	for _, h := range []*host{a, b, c} {
		h.awaitEndpoints("shop", 3)
	}
}

// Guards against a backend server that has left and is in use again, because the store came
// back from a copy from before its departure, its node was killed right after, and an earlier
// announcement arrives late at the new process.
func TestLeavingOutlastsRestore(t *testing.T) {
	for name, leave := range map[string]func(h *host) int{
		"deregistered": (*host).deregister,
		"draining":     func(h *host) int { return h.sendHeartbeat(h.sequence.Add(1), "draining") },
	} {
		t.Run(name, func(t *testing.T) {
			leaving := newLeavingHost(t)
			f, late := leaving.fleet, leaving.sequence.Load()
			leaving.awaitEndpoints("shop", 2)
			copied := f.standIn.Ver()
			assert.Equal(t, leave(leaving), http.StatusOK)
			leaving.stop()
			f.drill(copied)
			leaving.start()
			waitUntil(t, func() string {
				if status := leaving.sendHeartbeat(late, "ready"); status != http.StatusOK {
					return fmt.Sprintf("the late announcement gets %d", status)
				}
				return ""
			})
			leaving.requireLeft(late)
			leaving.born += 2
			leaving.requireUsed()
		})
	}
}

// Guards against a withdrawn key that a node accepts which starts after the store came back from
// a copy with the configuration from before the withdrawal.
func TestWithdrawnKeyOutlastsRestore(t *testing.T) {
	f := newFleet(t)
	a, b := f.host("shop-1", "shop"), f.host("shop-2", "shop")
	f.configure(4, farm)
	a.awaitServing("read.example")
	awaitMembers(t, a, b)
	copied := f.standIn.Ver()
	f.configure(5, newcomer)
	for _, h := range []*host{a, b} {
		waitUntil(t, func() string {
			if status := h.call("GET", "read.example", "k1").status; status != http.StatusUnauthorized {
				return fmt.Sprintf("the withdrawn key gets %d", status)
			}
			return ""
		})
	}
	a.stop()
	operatorWritesAgain := f.standIn.RestoreRows(copied)
	a.start()
	a.announce("ready")
	accepted := false
	waitUntil(t, func() string {
		status := a.call("GET", "read.example", "k1").status
		accepted = accepted || status == http.StatusOK
		if status != http.StatusUnauthorized {
			return fmt.Sprintf("the withdrawn key gets %d", status)
		}
		return ""
	})
	assert.Assert(t, !accepted, "the withdrawn key is accepted")
	operatorWritesAgain()
	assert.Equal(t, a.call("GET", "read.example", "k1").status, http.StatusUnauthorized)
}
