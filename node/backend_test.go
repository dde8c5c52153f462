package node

import (
	"context"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/edge"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// withTimeOfDay returns t with another time of day and the same monotonic time, as
// time.Now does after the clock was set.
func withTimeOfDay(t time.Time, seconds int) time.Time {
	const secondShift = 30 // of the seconds in the first word of a time.Time with a monotonic time
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << secondShift
	return t
}

// apply applies an announcement and reports whether it changed the backend server.
func apply(tracker *backendTracker, a edge.Announcement, now time.Time) bool {
	changed, _, err := tracker.applyAnnouncement(a, admission.Config{}, now)
	return changed && err == nil
}

// Guards against an announcement that expires, or a drain signal that lasts or ends, when
// the time of day is set.
func TestBackendKeepsThroughClockStep(t *testing.T) {
	const step = 60 // seconds
	now := time.Now()
	later := withTimeOfDay(now.Add(time.Millisecond), step)
	assert.Equal(t, later.Sub(now), time.Millisecond)
	assert.Assert(t, later.Unix() >= now.Unix()+step)
	tracker := backendTracker{lifetime: time.Second, epoch: now}
	a := edge.Announcement{Service: "shop", Address: "127.0.0.1:1", Slots: 1, Connections: 1, State: "serving", Instance: "i1"}
	assert.Assert(t, apply(&tracker, a, now))
	_, refused := tracker.usable("shop", later)
	assert.Assert(t, refused == nil, "%v", refused)
	assert.Assert(t, !tracker.expire(later))
	tracker.noteDraining(tracker.current.Load(), later)
	_, refused = tracker.usable("shop", now.Add(2*time.Millisecond))
	assert.Equal(t, refused.Reason, refusal.Draining)
	assert.Assert(t, tracker.expire(later.Add(2*time.Second)))
}

// Guards against refused onward calls that count as recent for longer, or no longer, when
// the time of day is set.
func TestOnwardRefusalsThroughClockStep(t *testing.T) {
	now := time.Now()
	o := onwardOverload{epoch: now.Add(-time.Minute)}
	assert.Assert(t, !o.refusedRecently(now))
	for range onwardRefusalCount {
		o.recordRefusal(now)
	}
	assert.Assert(t, o.refusedRecently(withTimeOfDay(now.Add(time.Millisecond), 60)))
	assert.Assert(t, !o.refusedRecently(withTimeOfDay(now.Add(onwardRefusalWindow+time.Millisecond), -60)))
}

// Guards against a backend server whose announcements were late and that gets more requests than the limit it has named, or than it has slots, once they arrive again.
func TestExpiredBackendKeepsLimits(t *testing.T) {
	for name, tc := range map[string]struct {
		started int64
		keeps   bool
	}{"same server": {1, true}, "started anew": {2, false}} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			tracker := backendTracker{lifetime: time.Second, epoch: now}
			a := edge.Announcement{Service: "shop", Address: "127.0.0.1:1", Slots: 1, Connections: 1, State: "serving", Instance: "i1", Started: 1, Sequence: 1}
			assert.Assert(t, apply(&tracker, a, now))
			before := tracker.current.Load().admission
			_, err := before.Acquire(context.Background(), admission.Request{})
			assert.NilError(t, err)
			before.ObserveRateLimit(time.Now(), 5)
			now = now.Add(2 * time.Second)
			assert.Assert(t, tracker.expire(now))
			a.Started, a.Sequence = tc.started, 2
			assert.Assert(t, apply(&tracker, a, now))
			after := tracker.current.Load().admission
			assert.Equal(t, after.RateLimit() == 5, tc.keeps)
			assert.Equal(t, after.Threshold().InFlight == 1, tc.keeps)
			_, refused := tracker.usable("shop", now)
			assert.Assert(t, refused == nil, "%v", refused)
		})
	}
}

// Guards against a backend server that has been withdrawn and is in use again after a late announcement: also if the node did not know it any more at the withdrawal, because its announcements were late or the node had been restarted.
func TestWithdrawnBackendStaysAway(t *testing.T) {
	a := edge.Announcement{Service: "shop", Address: "127.0.0.1:1", Slots: 1, Connections: 1, State: "serving", Instance: "i1", Started: 7, Sequence: 1}
	now := time.Now()
	announce := func(tracker *backendTracker) { apply(tracker, a, now) }
	expire := func(tracker *backendTracker) {
		announce(tracker)
		tracker.expire(now.Add(time.Hour))
	}
	for name, tc := range map[string]struct {
		before  func(*backendTracker)
		started int64 // in the withdrawal; 0: not given
		next    int64 // start of the next backend server with the same ID
	}{
		"known":                          {announce, a.Started, a.Started + 1},
		"known, no start":                {announce, 0, now.UnixMilli() + 1},
		"expired":                        {expire, a.Started, a.Started + 1},
		"expired, no start":              {expire, 0, now.UnixMilli() + 1},
		"node restarted since":           {func(*backendTracker) {}, a.Started, a.Started + 1},
		"node restarted since, no start": {func(*backendTracker) {}, 0, now.UnixMilli() + 1},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := backendTracker{lifetime: time.Second, epoch: now}
			tc.before(&tracker)
			_, err := tracker.withdraw(a.Instance, tc.started, now)
			assert.NilError(t, err)
			for _, sequence := range []uint64{0, a.Sequence + 1} { // 0: of a server that counts from there
				late := a
				late.Sequence = sequence
				assert.Assert(t, !apply(&tracker, late, now))
				assert.Assert(t, tracker.current.Load() == nil)
			}
			next := a
			next.Started = tc.next
			assert.Assert(t, apply(&tracker, next, now))
			_, refused := tracker.usable("shop", now)
			assert.Assert(t, refused == nil, "%v", refused)
		})
	}
}

// Guards against a backend server that drains and is used again, also by a new process,
// after its first announcement, which is late and whose sequence is 0.
func TestFirstAnnouncementAfterDraining(t *testing.T) {
	now := time.Now()
	tracker := backendTracker{lifetime: time.Second, epoch: now}
	assert.Assert(t, apply(&tracker, announcement(7, 3, "draining"), now))
	assert.Assert(t, !apply(&tracker, announcement(7, 0, "serving"), now))
	restarted := backendTracker{lifetime: time.Second, epoch: now}
	restarted.recall(tracker.departures(), now)
	assert.Assert(t, !apply(&restarted, announcement(7, 0, "serving"), now))
	assert.Assert(t, apply(&restarted, announcement(8, 0, "serving"), now))
}
