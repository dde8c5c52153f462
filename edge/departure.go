package edge

import (
	"cmp"
	"slices"

	"github.com/zeebo/errs"
)

// ErrNotStored is the class of errors of announcements and withdrawals that must not be
// acknowledged yet, because a restarted node would not know of them.
var ErrNotStored = errs.Class("state of the backend server not stored")

// Departure says that a start of the backend server on a host takes no new requests. The
// node stores it, because an announcement that was sent before it may arrive late, at a
// process of the node that has started since. The zero value means none.
type Departure struct {
	Instance string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint"` // Unix milliseconds; 0: not known, see Received
	// Sequence is that of the first announcement with the state draining. Announcements
	// of this start up to it are outdated.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Withdrawn reports that the start was withdrawn. All its announcements are outdated.
	Withdrawn bool `cbor:"4,keyasint,omitempty"`
	// Received is the time at which the departure became known, Unix milliseconds. If the
	// start is not known, it applies to each start of the instance until then. Departures
	// of the newest known start leave it 0.
	Received int64 `cbor:"5,keyasint,omitempty"`
}

// MaxOtherDepartures limits Departures.Others.
const MaxOtherDepartures = 16

// Departures are what a node stores of the starts that take no new requests.
type Departures struct {
	Newest Departure   // newest start that left, among those known to the node
	Others []Departure // with Received; at most one for each instance, the one received last at the end
}

// Equal reports whether d and other are the same.
func (d Departures) Equal(other Departures) bool {
	return d.Newest == other.Newest && slices.Equal(d.Others, other.Others)
}

// IsZero reports whether d contains no departure.
func (d Departures) IsZero() bool { return d.Equal(Departures{}) }

// Merge returns what d and other say together. If both know a departure of an instance in
// Others, the one received later is kept.
func (d Departures) Merge(other Departures) Departures {
	merged := Departures{Newest: d.Newest.Merge(other.Newest)}
	all := slices.Concat(d.Others, other.Others)
	slices.SortStableFunc(all, func(a, b Departure) int { return cmp.Compare(a.Received, b.Received) })
	for i, o := range all {
		sameInstance := func(later Departure) bool { return later.Instance == o.Instance }
		if !slices.ContainsFunc(all[i+1:], sameInstance) {
			merged.Others = append(merged.Others, o)
		}
	}
	merged.Others = merged.Others[max(0, len(merged.Others)-MaxOtherDepartures):]
	return merged
}

// Merge returns what d and other say together: the newer start, or of the same start the
// higher sequence and whether either was withdrawn.
func (d Departure) Merge(other Departure) Departure {
	switch {
	case other.Started > d.Started:
		return other
	case other.Started < d.Started:
		return d
	}
	if d.Instance == "" {
		d.Instance = other.Instance
	}
	d.Sequence = max(d.Sequence, other.Sequence)
	d.Withdrawn = d.Withdrawn || other.Withdrawn
	return d
}

// Outdates reports whether a is an announcement from before what d says, of a start that
// is known.
func (d Departure) Outdates(a *Announcement) bool {
	switch {
	case a.Started == 0 || d.Started == 0:
		return false
	case a.Started != d.Started:
		return a.Started < d.Started
	}
	return d.Withdrawn || a.Instance == d.Instance && a.Sequence < d.Sequence
}
