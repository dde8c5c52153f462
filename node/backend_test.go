package node

import (
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
	assert.Assert(t, tracker.applyAnnouncement(a, admission.Config{}, now))
	_, refused := tracker.usable("shop", later)
	assert.Assert(t, refused == nil, "%v", refused)
	assert.Assert(t, !tracker.expire(later))
	tracker.noteDraining(later)
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
