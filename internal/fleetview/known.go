package fleetview

import (
	"maps"

	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/store"
)

// Known is what a node tells one that has started after the store came back from a copy.
type Known struct {
	// Since is the era in which the node first read all rows, 0 if it never has. If it is
	// before that of the store, the node remembers what the store may have lost.
	Since      store.Era                  `cbor:"1,keyasint"`
	Rows       []store.Row                `cbor:"2,keyasint"`
	Lost       []string                   `cbor:"3,keyasint,omitempty"` // nodes whose rows the store has lost
	Departures map[string]edge.Departures `cbor:"4,keyasint,omitempty"` // by node, also of nodes without a row
}

// Remembers reports whether k goes back to before an era.
func (k *Known) Remembers(era store.Era) bool { return k.Since != 0 && k.Since < era }

// Known returns what this node can tell others.
func (v *View) Known() Known {
	k := Known{Since: v.since, Rows: v.StoredRows(), Departures: maps.Clone(v.departures)}
	for node, e := range v.rows {
		if e.lost {
			k.Lost = append(k.Lost, node)
		}
	}
	return k
}

// ApplyKnown merges what another node knows.
func (v *View) ApplyKnown(k *Known) {
	v.Apply(k.Rows)
	for node, d := range k.Departures {
		v.NoteDepartures(node, d)
	}
	for _, node := range k.Lost {
		if e, ok := v.rows[node]; ok && node != v.self && e.seenIn < v.era {
			e.lost = true
			v.rows[node] = e
		}
	}
}

// HasEarlierRows reports whether there are rows that were written before the store came back
// from a copy.
func (v *View) HasEarlierRows() bool {
	for _, e := range v.rows {
		if e.position.Revision != 0 && e.position.Era < v.era {
			return true
		}
	}
	return false
}
