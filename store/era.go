package store

import "cmp"

// Era counts how often the store has come back from a copy of itself that lacks the last
// writes, also those that it has acknowledged. It begins with FirstEra and rises by one each
// time. Versions and revisions are given out again, so those of two eras are not comparable.
// 0 means that the era is not known.
type Era uint64

// FirstEra is the era of a store that has never come back from a copy.
const FirstEra Era = 1

// IsLater reports whether the store has come back from a copy before e began.
func (e Era) IsLater() bool { return e > FirstEra }

// Position is a place in the history of the store.
type Position struct {
	Era      Era
	Revision uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after other. Revisions are compared
// within one era only.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}
