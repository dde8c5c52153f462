package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/edge"
)

// departureCase is a late announcement or one of a new start after the withdrawal of a
// backend server that the process has not heard of.
type departureCase struct {
	started  time.Duration // from the withdrawal to the start of the announced server
	after    time.Duration // from the withdrawal to the arrival of the announcement
	outdated bool
}

// Guards against a late announcement that brings back a backend server of which the process
// has heard only that it has left, and against a new start under its ID that is not used.
func TestDepartureOfUnknownServer(t *testing.T) {
	left := time.Now()
	for name, tc := range map[string]departureCase{
		"late":                                 {-time.Hour, 5 * time.Second, true},
		"started just before":                  {0, time.Second, true},
		"new start":                            {time.Millisecond, 2 * time.Second, false},
		"new start, long after":                {time.Hour, 2 * time.Hour, false},
		"alive with a clock that was set back": {-time.Hour, otherDepartureLifetime + time.Second, false},
	} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted %v", name, restarted), func(t *testing.T) {
				var d departures
				assert.NilError(t, d.noteUnseen("i1", 0, left))
				arrival := left.Add(tc.after)
				if restarted {
					stored := d.stored()
					d = departures{}
					d.recall(stored, left.Add(tc.after/2))
				}
				a := announcement(left.Add(tc.started).UnixMilli(), 9, "serving")
				assert.Equal(t, d.outdates(&a, arrival), tc.outdated)
				a.Instance = "i2"
				assert.Assert(t, !d.outdates(&a, arrival), "another server is not used")
			})
		}
	}
}

// Guards against a new start that is not used, or a late announcement that is, because the
// time of day was set between the departure and the announcement.
func TestDepartureThroughClockStep(t *testing.T) {
	left := time.Now()
	for _, step := range []int{-60, 60} {
		var d departures
		assert.NilError(t, d.noteUnseen("i1", 0, left))
		arrival := withTimeOfDay(left.Add(5*time.Second), step)
		inNewTime := func(sinceLeft time.Duration) int64 { return withTimeOfDay(left.Add(sinceLeft), step).UnixMilli() }
		late, next := announcement(inNewTime(-time.Second), 9, "serving"), announcement(inNewTime(time.Second), 1, "serving")
		assert.Assert(t, d.outdates(&late, arrival), "step %d s", step)
		assert.Assert(t, !d.outdates(&next, arrival), "step %d s", step)
	}
}

// Guards against a backend server that drains, names no start in its announcements, and is
// used again by a new process after an earlier announcement that is late.
func TestDrainingWithoutStart(t *testing.T) {
	now := time.Now()
	before := backendTracker{lifetime: time.Second, epoch: now}
	assert.Assert(t, apply(&before, announcement(0, 5, "draining"), now))
	after := backendTracker{lifetime: time.Second, epoch: now}
	after.recall(before.departures(), now)
	assert.Assert(t, !apply(&after, announcement(0, 4, "serving"), now))
	assert.Assert(t, apply(&after, announcement(0, 5, "draining"), now))
}

// Guards against a backend server in use that counts as outdated because another one has
// left, and against one that left while another was in use and is used after a restart.
func TestDepartureBesideServerInUse(t *testing.T) {
	now := time.Now()
	withdraw := func(started int64) func(*backendTracker) error {
		return func(tracker *backendTracker) error {
			removed, err := tracker.withdraw("i1", started, now)
			assert.Assert(t, !removed)
			return err
		}
	}
	drain := func(tracker *backendTracker) error {
		_, _, err := tracker.applyAnnouncement(announcement(3, 5, "draining"), admission.Config{}, now)
		return err
	}
	for name, tc := range map[string]struct {
		leave   func(*backendTracker) error
		started int64 // of the server that leaves
	}{
		"no start": {withdraw(0), 1}, "older": {withdraw(3), 3}, "newer": {withdraw(9), 9}, "older drains": {drain, 3},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := backendTracker{lifetime: time.Second, epoch: now}
			inUse, late := announcement(5, 1, "serving"), announcement(tc.started, 4, "serving")
			inUse.Instance = "i2"
			assert.Assert(t, apply(&tracker, inUse, now))
			assert.NilError(t, tc.leave(&tracker))
			assert.Assert(t, !apply(&tracker, late, now))
			assert.Equal(t, tracker.current.Load().Instance, "i2")
			restarted := backendTracker{lifetime: time.Second, epoch: now}
			restarted.recall(tracker.departures(), now)
			assert.Assert(t, !apply(&restarted, late, now), "used after a restart")
			assert.Assert(t, apply(&restarted, inUse, now), "the server in use was lost")
		})
	}
}

// Guards against departures of unknown servers that grow without limit, or of which one is
// forgotten for another.
func TestDeparturesOfUnknownServersAreLimited(t *testing.T) {
	now := time.Now()
	var d departures
	for i := range edge.MaxOtherDepartures {
		assert.NilError(t, d.noteUnseen(fmt.Sprintf("i%d", i), 0, now))
	}
	assert.Assert(t, edge.ErrNotStored.Has(d.noteUnseen("next", 0, now)))
	assert.NilError(t, d.noteUnseen("i0", 0, now), "a repetition")
	first := announcement(1, 1, "serving")
	assert.Assert(t, d.outdates(&first, now))
	now = now.Add(otherDepartureLifetime + time.Second)
	assert.NilError(t, d.noteUnseen("next", 0, now))
}
