package node

import (
	"slices"
	"time"

	"github.com/dotterelseam/dotterelseam/balancer"
	"github.com/dotterelseam/dotterelseam/edge"
)

const (
	// maxStartSkew is how far in the future a stored start or receipt may lie. One beyond
	// it was not written by this node and would outdate all announcements.
	maxStartSkew = time.Hour
	// otherDepartureLifetime is how long a departure counts whose start the node has not
	// seen. Backend servers end, and late announcements arrive, within seconds of it. An
	// announcement after that is one of a backend server whose clock was set back.
	otherDepartureLifetime = time.Minute
)

// departures are the starts of backend servers on this host that take no new requests. It
// is not safe for concurrent use.
type departures struct {
	newest edge.Departure   // newest known start that drains or was withdrawn, also from an earlier process
	others []otherDeparture // of starts that the node has not seen, the one received last at the end
}

// otherDeparture is a departure with the time at which it was received, which does not
// change when the time of day is set.
type otherDeparture struct {
	edge.Departure
	at time.Time
}

// outdates reports whether a is an announcement from before a departure.
func (d *departures) outdates(a *edge.Announcement, now time.Time) bool {
	return d.newest.Outdates(a) || slices.ContainsFunc(d.others, func(o otherDeparture) bool { return o.outdates(a, now) })
}

func (o *otherDeparture) outdates(a *edge.Announcement, now time.Time) bool {
	age := now.Sub(o.at)
	if a.Instance != o.Instance || age > otherDepartureLifetime {
		return false
	}
	last := o.Started
	if last == 0 {
		last = now.Add(-age).UnixMilli() // the time of its receipt, as the clock is set now
	}
	return a.Started <= last && (o.Withdrawn || a.Sequence < o.Sequence)
}

// noteDraining records that a start drains if a says so. The error is of class
// edge.ErrNotStored.
func (d *departures) noteDraining(a *edge.Announcement, now time.Time) error {
	switch {
	case edge.States[a.State] != balancer.Draining:
	case a.Started != 0 && a.Started != d.newest.Started:
		d.newest = edge.Departure{Instance: a.Instance, Started: a.Started, Sequence: a.Sequence}
	case a.Started == 0 && a.Sequence != 0 && !d.hasOther(a.Instance, now):
		return d.addOther(edge.Departure{Instance: a.Instance, Sequence: a.Sequence}, now)
	}
	return nil
}

// noteOutdatedDrain records that a start drains if a says so, which has no other effect because a
// later start is known. The error is of class edge.ErrNotStored.
func (d *departures) noteOutdatedDrain(a *edge.Announcement, now time.Time) error {
	if edge.States[a.State] != balancer.Draining || a.Started == 0 || a.Started == d.newest.Started || d.outdates(a, now) {
		return nil
	}
	return d.addOther(edge.Departure{Instance: a.Instance, Started: a.Started, Sequence: a.Sequence}, now)
}

// noteWithdrawn records that a known start was withdrawn.
func (d *departures) noteWithdrawn(instance string, started int64) {
	d.newest = d.newest.Merge(edge.Departure{Instance: instance, Started: started, Withdrawn: true})
}

// noteUnseen records that a start which the node has not seen was withdrawn. started is 0
// if the call did not name it. The error is of class edge.ErrNotStored.
func (d *departures) noteUnseen(instance string, started int64, now time.Time) error {
	return d.addOther(edge.Departure{Instance: instance, Started: started, Withdrawn: true}, now)
}

func (d *departures) hasOther(instance string, now time.Time) bool {
	return slices.ContainsFunc(d.others, func(o otherDeparture) bool {
		return o.Instance == instance && now.Sub(o.at) <= otherDepartureLifetime
	})
}

// addOther replaces the departure of the same instance. The error is of class
// edge.ErrNotStored if there are too many.
func (d *departures) addOther(o edge.Departure, now time.Time) error {
	d.others = slices.DeleteFunc(d.others, func(other otherDeparture) bool {
		return other.Instance == o.Instance || now.Sub(other.at) > otherDepartureLifetime
	})
	if len(d.others) >= edge.MaxOtherDepartures {
		return edge.ErrNotStored.New("%d unknown backend servers have left within %v", len(d.others), otherDepartureLifetime)
	}
	o.Received = now.UnixMilli()
	d.others = append(d.others, otherDeparture{o, now})
	return nil
}

// recall adds what was stored. A newer departure of the same instance holds, and starts far
// in the future are left out.
func (d *departures) recall(stored edge.Departures, now time.Time) {
	latest := now.Add(maxStartSkew).UnixMilli()
	if stored.Newest.Started <= latest {
		d.newest = d.newest.Merge(stored.Newest)
	}
	var recalled []otherDeparture
	for _, o := range stored.Others {
		if o.Received >= 0 && max(o.Started, o.Received) <= latest && !d.hasOther(o.Instance, now) {
			age := max(0, time.Duration(now.UnixMilli()-o.Received)*time.Millisecond)
			recalled = append(recalled, otherDeparture{o, now.Add(-age)})
		}
	}
	recalled = append(recalled, d.others...)
	d.others = recalled[max(0, len(recalled)-edge.MaxOtherDepartures):]
}

// stored returns what has to be stored.
func (d *departures) stored() edge.Departures {
	s := edge.Departures{Newest: d.newest}
	for _, o := range d.others {
		s.Others = append(s.Others, o.Departure)
	}
	return s
}
