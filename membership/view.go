package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
)

const gatewaysPerDC = 2

// remoteDC is the last known state of another data centre or, in
// Membership.remotes, also of this one.
type remoteDC struct {
	value       dcValue
	lastContact time.Time // when its heartbeat or record last changed
}

// view is an immutable snapshot of the known nodes.
type view struct {
	members   []Member                       // nodes of this data centre that are not dead, including this node, ordered by ID
	dead      []Member                       // dead nodes of this data centre
	local     []string                       // IDs of members, without this node
	gateways  []string                       // IDs of this data centre's gateways, in order of precedence
	remote    map[string][]string            // gateway IDs of the other data centres, by data centre
	remoteGW  map[string][]Member            // gateways of the other data centres, by data centre
	addresses map[string]string              // peers listener by node ID
	endpoints map[string][]balancer.Endpoint // by service
	expired   []string                       // data centres whose contact has expired
}

// buildView computes the view at time now. A data centre without contact for
// contactTimeout keeps its gateways, so that they can be retried, but loses its
// endpoints.
func buildView(self Member, nodes map[string]Member, remotes map[string]remoteDC, now time.Time) *view {
	v := &view{
		remote: map[string][]string{}, remoteGW: map[string][]Member{},
		addresses: map[string]string{}, endpoints: map[string][]balancer.Endpoint{},
	}
	for _, m := range nodes {
		switch {
		case m.ID == self.ID:
		case m.State == Dead:
			v.dead = append(v.dead, m)
		default:
			v.members = append(v.members, m)
			v.local = append(v.local, m.ID)
			v.addresses[m.ID] = m.PeerAddress
		}
	}
	if self.State != Dead {
		v.members = append(v.members, self)
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(v.local)
	v.gateways = chooseGateways(self.DataCentre, v.members)
	for i := range v.members {
		if e := v.members[i].Endpoint; e != nil {
			v.endpoints[e.Service] = append(v.endpoints[e.Service], *e)
		}
	}
	for dc, r := range remotes {
		if dc != self.DataCentre {
			v.addRemote(dc, &r, now)
		}
	}
	for _, list := range v.endpoints {
		slices.SortFunc(list, func(a, b balancer.Endpoint) int {
			return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Node, b.Node))
		})
	}
	return v
}

func (v *view) addRemote(dc string, r *remoteDC, now time.Time) {
	for _, g := range r.value.Gateways {
		v.remote[dc] = append(v.remote[dc], g.ID)
		v.remoteGW[dc] = append(v.remoteGW[dc], Member{
			ID: g.ID, Incarnation: g.Incarnation, PeerAddress: g.PeerAddress, DataCentre: dc, Region: r.value.Region,
		})
		v.addresses[g.ID] = g.PeerAddress
	}
	if now.Sub(r.lastContact) > contactTimeout {
		v.expired = append(v.expired, dc)
		return
	}
	for _, e := range r.value.endpoints(dc) {
		v.endpoints[e.Service] = append(v.endpoints[e.Service], e)
		v.addresses[e.Node] = e.PeerAddress
	}
}

// rendezvousHash returns the weight of a node in the gateway election and its
// position on the probe ring.
func rendezvousHash(dc, node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(dc + "/" + node)) // never fails
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// chooseGateways returns the IDs of the alive members with the lowest
// rendezvous hashes, lowest first.
func chooseGateways(dc string, members []Member) []string {
	var ids []string
	for i := range members {
		if members[i].State == Alive {
			ids = append(ids, members[i].ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousHash(dc, a), rendezvousHash(dc, b)), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), gatewaysPerDC)]
}

// changedServices returns the services whose endpoints differ between two views.
func changedServices(old, v *view) (services []string) {
	for s, list := range v.endpoints {
		if !slices.Equal(list, old.endpoints[s]) {
			services = append(services, s)
		}
	}
	for s := range old.endpoints {
		if _, ok := v.endpoints[s]; !ok {
			services = append(services, s)
		}
	}
	return services
}
