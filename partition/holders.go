package partition

import (
	"cmp"
	"slices"

	"github.com/dotterelseam/dotterelseam/balancer"
)

// maxHolders is the number of nodes that share the bound of one workspace. With
// fewer, nodes that disagree on the members for a moment would exceed the bound by
// more than the platform permits; with more, the part of a small workspace would
// hold less than one request.
const maxHolders = 16

// Members is a view of the fleet. All nodes with the same view agree on the
// holders of each workspace.
type Members struct {
	Version uint64              // changes with the view
	Self    string              // this node
	Nodes   []balancer.Endpoint // all nodes, this one included if it has a row
}

// holders are the nodes that share the bound of one workspace.
type holders struct {
	version uint64
	known   bool
	count   int
	self    bool                // this node is one
	others  []balancer.Endpoint // the other ones
}

// part returns this node's part of the bound, 0 to 1.
func (h *holders) part() float64 {
	if !h.self {
		return 0
	}
	return 1 / float64(h.count)
}

// find takes over the holders of a view: those with the highest rendezvous hash
// of workspace and node.
func (h *holders) find(m *Members, workspace string) {
	if h.known && h.version == m.Version {
		return
	}
	*h = holders{version: m.Version, known: true}
	type ranked struct {
		rank uint64
		node balancer.Endpoint
	}
	list := make([]ranked, len(m.Nodes))
	for i, n := range m.Nodes {
		list[i] = ranked{rank(workspace, n.Node), n}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	for _, r := range list[:min(len(list), maxHolders)] {
		h.count++
		if r.node.Node == m.Self {
			h.self = true
			continue
		}
		h.others = append(h.others, r.node)
	}
}

// rank is the FNV-1a hash of both names with a final mix; it is the same on all
// nodes, unlike that of maphash.
func rank(workspace, node string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, s := range []string{workspace, "/", node} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * prime
		}
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
