package fleetview

import (
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/store"
)

// Recall decides when a new process knows all departures that earlier processes of its node
// have acknowledged. A row that is older than the store's era, or none, says only a part of
// them: the store may have lost what was written since. Others then have to tell. The zero
// value knows nothing. It is not safe for concurrent use.
type Recall struct {
	departures edge.Departures
	complete   bool
}

// Departures returns the departures that are known so far.
func (r *Recall) Departures() edge.Departures { return r.departures }

// Complete reports whether all departures are known.
func (r *Recall) Complete() bool { return r.complete }

// NoteStored records what the store has in an era: the own row, or nil if there is none.
func (r *Recall) NoteStored(row *Row, era store.Era) {
	if row != nil {
		r.departures = r.departures.Merge(row.Departures())
	}
	if !era.IsLater() || row != nil && row.Era == era {
		r.complete = true
	}
}

// NoteAnswers records what other nodes know of a node, while the store is in an era.
func (r *Recall) NoteAnswers(answers []Known, node string, era store.Era) {
	for i := range answers {
		r.departures = r.departures.Merge(answers[i].Departures[node])
		r.complete = r.complete || answers[i].Remembers(era)
	}
}

// NoteNewFleet records that nothing shows that there was an earlier process: neither the store
// nor another node knows anything from before the store's era.
func (r *Recall) NoteNewFleet() { r.complete = true }
