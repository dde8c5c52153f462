package partition

import (
	"cmp"
	"slices"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/internal/rendezvous"
)

// maxHolders is the number of nodes that share the rate limit of one workspace. With
// fewer, nodes whose views of the members differ for a moment would exceed the limit by
// more than the platform permits; with more, each share of a small workspace's limit
// would be less than one request.
const maxHolders = 16

// Members is a node's view of the fleet. Nodes with equal views determine the same
// holders for each workspace.
type Members struct {
	Version uint64              // changes with the view
	Self    string              // ID of this node
	Nodes   []balancer.Endpoint // all nodes, including this one once it is registered
}

// holderSet is the set of nodes that share the rate limit of one workspace.
type holderSet struct {
	version  uint64 // Members.Version from which the set was computed
	valid    bool   // false before the first update
	count    int
	isHolder bool                // this node is a holder
	others   []balancer.Endpoint // the other holders
}

// share returns this node's share of the rate limit, 0 to 1.
func (h *holderSet) share() float64 {
	if !h.isHolder {
		return 0
	}
	return 1 / float64(h.count)
}

// update computes the holders if the view has changed: the nodes with the highest
// rendezvous hash of workspace and node.
func (h *holderSet) update(m *Members, workspace string) {
	if h.valid && h.version == m.Version {
		return
	}
	*h = holderSet{version: m.Version, valid: true}
	type ranked struct {
		rank uint64
		node balancer.Endpoint
	}
	list := make([]ranked, len(m.Nodes))
	for i, n := range m.Nodes {
		list[i] = ranked{rendezvous.Hash(workspace, n.Node), n}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	for _, r := range list[:min(len(list), maxHolders)] {
		h.count++
		if r.node.Node == m.Self {
			h.isHolder = true
			continue
		}
		h.others = append(h.others, r.node)
	}
}
