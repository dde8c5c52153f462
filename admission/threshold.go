package admission

import (
	"math"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
)

// ThresholdTTL is how long a threshold is valid after its receipt.
const ThresholdTTL = time.Second

const (
	// A refusal raises the threshold only if no request of the same importance was
	// admitted within the recent period: recentLatencies times the average latency,
	// bounded by minRecentPeriod and maxRecentPeriod (nanoseconds). minRecentPeriod
	// is also the shortest time before the threshold is lowered by another step.
	minRecentPeriod = int64(100e6)
	recentLatencies = 2
	maxRecentPeriod = int64(400e6)
	// minOnwardRefusals is the number of consecutive requests that have to fail for
	// onward refusals before the threshold is raised, so that a single failure in a
	// service with few calls does not exclude all others.
	minOnwardRefusals = 5
	// beforeAnyRequest is a time earlier than any request, in nanoseconds.
	beforeAnyRequest = math.MinInt64 / 2
)

// importanceThreshold is the lowest importance of which this backend server is likely
// to admit and complete requests. Its times are in nanoseconds.
type importanceThreshold struct {
	lowest    config.Importance
	changedAt int64
	// The latest time that a request of each importance was admitted, and that one
	// was answered without an onward refusal.
	lastAdmitted, lastSuccess [config.ImportanceLevels]int64
	// Onward refusals since the last success, for each importance.
	consecutiveRefusals [config.ImportanceLevels]int
	onward              map[string]onwardThreshold // by service
}

// onwardThreshold is the latest threshold received from a service that the backend
// server calls.
type onwardThreshold struct {
	lowest     config.Importance
	receivedAt int64
}

func newImportanceThreshold() importanceThreshold {
	t := importanceThreshold{changedAt: beforeAnyRequest, onward: map[string]onwardThreshold{}}
	for i := range t.lastAdmitted {
		t.lastAdmitted[i], t.lastSuccess[i] = beforeAnyRequest, beforeAnyRequest
	}
	return t
}

func clampImportance(i config.Importance) config.Importance { return min(i, config.Critical) }

// recordRefusal raises the threshold above i after a refusal by the Controller, if no
// request of importance i was admitted within the recent period.
func (t *importanceThreshold) recordRefusal(now int64, i config.Importance, recent int64) {
	if now-t.lastAdmitted[clampImportance(i)] >= recent {
		t.raiseAbove(now, i)
	}
}

// recordOnwardRefusal raises the threshold above i if minOnwardRefusals consecutive
// requests of importance i failed for onward refusals and none succeeded within the
// recent period.
func (t *importanceThreshold) recordOnwardRefusal(now int64, i config.Importance, recent int64) {
	i = clampImportance(i)
	t.consecutiveRefusals[i]++
	if t.consecutiveRefusals[i] >= minOnwardRefusals && now-t.lastSuccess[i] >= recent {
		t.raiseAbove(now, i)
	}
}

func (t *importanceThreshold) recordSuccess(now int64, i config.Importance) {
	t.lastSuccess[clampImportance(i)], t.consecutiveRefusals[clampImportance(i)] = now, 0
}

func (t *importanceThreshold) raiseAbove(now int64, i config.Importance) {
	if above := clampImportance(i + 1); above > t.lowest {
		t.lowest = above
	}
	t.changedAt = now
}

// lower lowers the threshold by one step, unless it was changed within
// minRecentPeriod or an onward service has the same or a higher threshold. It must be
// called only while a slot is free.
func (t *importanceThreshold) lower(now int64) {
	if t.lowest > config.Low && now-t.changedAt >= minRecentPeriod && t.lowest > t.highestOnwardThreshold(now) {
		t.lowest--
		t.changedAt = now
	}
}

// highestOnwardThreshold returns the highest valid threshold of the onward services.
func (t *importanceThreshold) highestOnwardThreshold(now int64) config.Importance {
	highest := config.Low
	for _, o := range t.onward {
		if now-o.receivedAt < int64(ThresholdTTL) {
			highest = max(highest, o.lowest)
		}
	}
	return highest
}

// recentPeriod returns the recent period of the threshold, in nanoseconds. c.mu must be
// held.
func (c *Controller) recentPeriod() int64 {
	return min(max(minRecentPeriod, int64(recentLatencies*c.limiter.meanLatency)), maxRecentPeriod)
}

// RecordOnwardThreshold records a threshold that a service returned with the answer
// to an onward call of the backend server. While it is valid, this node's threshold is
// not lowered below it, so that entry nodes refuse requests that the service would
// refuse.
func (c *Controller) RecordOnwardThreshold(service string, t peer.Threshold) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.threshold.onward[service] = onwardThreshold{lowest: t.Lowest, receivedAt: now}
}

// Threshold returns the current threshold and load, which are sent to the nodes that
// call this backend server.
func (c *Controller) Threshold() peer.Threshold {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowerThresholdIfFree(now)
	return peer.Threshold{
		Lowest: c.threshold.lowest, InFlight: c.inFlight, Queued: c.queue.length, Limit: c.limit(now),
		RateWaitMicros: time.Duration(c.rate.wait(now, c.queue.length)).Microseconds(),
	}
}

// lowerThresholdIfFree lowers the threshold if a request would be admitted at once. c.mu must be held.
func (c *Controller) lowerThresholdIfFree(now int64) {
	if c.threshold.lowest > config.Low && c.queue.length == 0 && c.hasRoom(now) {
		c.threshold.lower(now)
	}
}

// Admits reports whether a request is worth sending to a destination with threshold
// t, which must be at most ThresholdTTL old. Requests of a call tree that has already
// been admitted are always sent: refusing them would waste the work done so far, and
// the destination ranks them above new requests of the same importance.
func Admits(t peer.Threshold, i config.Importance, admitted bool) bool {
	return admitted || i >= t.Lowest
}
