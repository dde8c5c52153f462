package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

// overload passes requests of the offered rate through a throttle while the onward
// services complete only capacity requests per second. It returns the last admit ratio.
func overload(th *Throttle, now *time.Time, i config.Importance, offered, capacity int, seconds float64) float64 {
	return overloadWithRatio(th, now, i, offered, capacity, seconds, 1)
}

// overloadWithRatio is overload with an initial admit ratio.
func overloadWithRatio(th *Throttle, now *time.Time, i config.Importance, offered, capacity int, seconds, ratio float64) float64 {
	credit, failCredit := 0.0, 0.0
	step := time.Second / time.Duration(offered)
	for range int(seconds * float64(offered)) {
		*now = now.Add(step)
		credit += ratio
		if credit < 1 {
			continue
		}
		credit--
		admitted := ratio * float64(offered)
		failCredit += max(0, 1-float64(capacity)/admitted)
		failed := failCredit >= 1
		if failed {
			failCredit--
		}
		ratio = th.Observe("r", i, failed, max(0, 1-float64(capacity)/admitted)).AdmitRatio
	}
	return ratio
}

// Guards against an admit ratio that stays high under overload, falls without end, or
// does not recover afterwards.
func TestThrottleFindsAdmitRatio(t *testing.T) {
	now := time.Unix(0, 0)
	th := NewThrottle(func() time.Time { return now })
	assert.Equal(t, overload(th, &now, config.Low, 100, 1000, 2), 1.0)
	ratio := overload(th, &now, config.Low, 100, 50, 20)
	assert.Assert(t, ratio > 0.3 && ratio < 0.7, "admit ratio %v with capacity for half of the requests", ratio)
	assert.Equal(t, overload(th, &now, config.Low, 100, 1000, 10), 1.0)
}

// Guards against more important requests that are throttled before less important ones.
func TestThrottleByImportance(t *testing.T) {
	now := time.Unix(0, 0)
	th := NewThrottle(func() time.Time { return now })
	critical := overload(th, &now, config.Critical, 100, 80, 10)
	assert.Equal(t, critical, 1.0)
	low := overload(th, &now, config.Low, 100, 80, 10)
	assert.Assert(t, low < 1, "admit ratio %v", low)
}

// Guards against requests that are refused for seconds after the onward overload has
// ended: from the lowest admit ratio, all requests have to be admitted again within
// 3 s.
func TestThrottleRecovers(t *testing.T) {
	for _, i := range []config.Importance{config.Low, config.High} {
		now := time.Unix(0, 0)
		th := NewThrottle(func() time.Time { return now })
		ratio := overload(th, &now, i, 100, 5, 10)
		assert.Assert(t, ratio < 0.3, "admit ratio %v under heavy overload", ratio)
		assert.Equal(t, overloadWithRatio(th, &now, i, 100, 1000, 3, ratio), 1.0)
	}
}
