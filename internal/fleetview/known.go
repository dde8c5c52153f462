package fleetview

import (
	"maps"
	"time"

	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/store"
)

// Known is what a node tells one that has started after the store came back from a copy.
type Known struct {
	Since      store.Era                  `cbor:"1,keyasint"`           // era in which the node first read all rows, 0 if it never has
	ReadFor    time.Duration              `cbor:"2,keyasint"`           // how long ago that was
	Rows       []store.Row                `cbor:"3,keyasint"`           // as StoredRows returns them
	Lost       []string                   `cbor:"4,keyasint,omitempty"` // nodes whose rows the store has lost
	Departures map[string]edge.Departures `cbor:"5,keyasint,omitempty"` // by node, also of nodes without a row
}

// Remembers reports whether k contains all that a node may have acknowledged whose row was
// written in an era, 0 if there is none: from that era on, or for so long that no earlier
// announcement arrives any more.
func (k *Known) Remembers(era store.Era) bool {
	return k.Since != 0 && (k.Since <= era || k.ReadFor > edge.MaxAnnouncementDelay)
}

// Known returns what this node can tell others.
func (v *View) Known(now time.Time) Known {
	k := Known{Since: v.since, ReadFor: now.Sub(v.firstRead), Rows: v.StoredRows(), Departures: maps.Clone(v.departures)}
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
