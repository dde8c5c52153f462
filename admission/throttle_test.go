package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// overload runs requests through a throttle whose lower services complete only
// the given rate a second of what is offered. It returns the last share.
func overload(th *Throttle, now *time.Time, i config.Importance, offered, capacity int, seconds float64) float64 {
	return overloadWithRatio(th, now, i, offered, capacity, seconds, 1)
}

// overloadWithRatio does the same with a share that was told before.
func overloadWithRatio(th *Throttle, now *time.Time, i config.Importance, offered, capacity int, seconds, share float64) float64 {
	credit, failCredit := 0.0, 0.0
	step := time.Second / time.Duration(offered)
	for range int(seconds * float64(offered)) {
		*now = now.Add(step)
		credit += share
		if credit < 1 {
			continue
		}
		credit--
		admitted := share * float64(offered)
		failCredit += max(0, 1-float64(capacity)/admitted)
		failed := failCredit >= 1
		if failed {
			failCredit--
		}
		share = th.Observe("r", i, failed, max(0, 1-float64(capacity)/admitted)).AdmitRatio
	}
	return share
}

// Guards against a share that stays high under overload, falls without end, or
// does not recover after it.
func TestThrottleFindsShare(t *testing.T) {
	now := time.Unix(0, 0)
	th := NewThrottle(func() time.Time { return now })
	assert.Equal(t, overload(th, &now, config.Low, 100, 1000, 2), 1.0)
	share := overload(th, &now, config.Low, 100, 50, 20)
	assert.Assert(t, share > 0.3 && share < 0.7, "share %v for half of the capacity", share)
	assert.Equal(t, overload(th, &now, config.Low, 100, 1000, 10), 1.0)
}

// Guards against important requests that give way before less important ones.
func TestThrottleByImportance(t *testing.T) {
	now := time.Unix(0, 0)
	th := NewThrottle(func() time.Time { return now })
	critical := overload(th, &now, config.Critical, 100, 80, 10)
	assert.Equal(t, critical, 1.0)
	low := overload(th, &now, config.Low, 100, 80, 10)
	assert.Assert(t, low < 1, "share %v", low)
}

// Guards against requests that are refused for seconds after the overload further
// down has ended: from the lowest share, everything is let in again within 3 s.
func TestThrottleRecovers(t *testing.T) {
	for _, i := range []config.Importance{config.Low, config.High} {
		now := time.Unix(0, 0)
		th := NewThrottle(func() time.Time { return now })
		share := overload(th, &now, i, 100, 5, 10)
		assert.Assert(t, share < 0.3, "share %v under heavy overload", share)
		assert.Equal(t, overloadWithRatio(th, &now, i, 100, 1000, 3, share), 1.0)
	}
}
