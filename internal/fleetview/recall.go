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
	rowEra     store.Era // in which the own row was written that the store had last; 0: it had none
}

// Departures returns the departures that are known so far.
func (r *Recall) Departures() edge.Departures { return r.departures }

// Complete reports whether all departures are known.
func (r *Recall) Complete() bool { return r.complete }

// NoteStored records what the store has in an era: the own row, or nil if there is none.
func (r *Recall) NoteStored(row *Row, era store.Era) {
	r.rowEra = 0
	if row != nil {
		r.departures, r.rowEra = r.departures.Merge(row.Departures()), row.Era
	}
	if !era.IsLater() || row != nil && row.Era == era {
		r.complete = true
	}
}

// NoteAnswers records what other nodes know of a node. It returns how many of them remember all
// that an earlier process may have acknowledged.
func (r *Recall) NoteAnswers(answers []Known, node string) (remembering int) {
	for i := range answers {
		r.departures = r.departures.Merge(answers[i].Departures[node])
		if answers[i].Remembers(r.rowEra) {
			remembering++
		}
	}
	r.complete = r.complete || remembering > 0
	return remembering
}
