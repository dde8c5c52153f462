package admission

import (
	"math"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
)

// ThresholdTTL is how long a received threshold is used, counted from its
// receipt.
const ThresholdTTL = time.Second

const (
	// minRecentPeriod is the least time without a request of an importance being
	// admitted after which a shed one raises the threshold, nanoseconds. It is also
	// the least time between two steps down.
	minRecentPeriod = int64(100e6)
	// recentLatencies is the same as a multiple of the average latency, up to
	// maxRecentPeriod.
	recentLatencies = 2
	maxRecentPeriod = int64(400e6)
	// minOnwardRefusals is the least number of requests that fail further down in a row
	// before the threshold is raised, so that a single one of a service with few
	// calls does not shut the others out.
	minOnwardRefusals = 5
	// beforeAnyRequest is a time before any request.
	beforeAnyRequest = math.MinInt64 / 2
)

// threshold derives the lowest importance that is worth sending to this backend server.
type importanceThreshold struct {
	lowest    config.Importance
	changedAt int64
	// The last time that a request of each importance was admitted here, and that
	// one was answered without an onward refusal.
	lastAdmitted, lastSuccess [config.ImportanceLevels]int64
	// consecutiveRefusals counts onward refusals since the last answered request.
	consecutiveRefusals [config.ImportanceLevels]int
	onward              map[string]onwardThreshold // by service
}

// onwardThreshold is the last threshold received from a service that the backend server
// calls.
type onwardThreshold struct {
	lowest     config.Importance
	receivedAt int64
}

func newImportanceThreshold() importanceThreshold {
	g := importanceThreshold{changedAt: beforeAnyRequest, onward: map[string]onwardThreshold{}}
	for i := range g.lastAdmitted {
		g.lastAdmitted[i], g.lastSuccess[i] = beforeAnyRequest, beforeAnyRequest
	}
	return g
}

func clampImportance(i config.Importance) config.Importance { return min(i, config.Critical) }

// recordShed raises the threshold above i if no request of importance i was admitted
// within the time.
func (g *importanceThreshold) recordShed(now int64, i config.Importance, within int64) {
	if now-g.lastAdmitted[clampImportance(i)] >= within {
		g.raiseAbove(now, i)
	}
}

// recordOnwardRefusal raises the threshold above i if several requests of importance i
// failed further down and none was answered within the time.
func (g *importanceThreshold) recordOnwardRefusal(now int64, i config.Importance, within int64) {
	i = clampImportance(i)
	g.consecutiveRefusals[i]++
	if g.consecutiveRefusals[i] >= minOnwardRefusals && now-g.lastSuccess[i] >= within {
		g.raiseAbove(now, i)
	}
}

// recordSuccess records that a request of importance i succeeded.
func (g *importanceThreshold) recordSuccess(now int64, i config.Importance) {
	g.lastSuccess[clampImportance(i)], g.consecutiveRefusals[clampImportance(i)] = now, 0
}

func (g *importanceThreshold) raiseAbove(now int64, i config.Importance) {
	if above := clampImportance(i + 1); above > g.lowest {
		g.lowest = above
	}
	g.changedAt = now
}

// lower lowers the threshold by one step if it was not changed within minRecentPeriod and
// no onward service still refuses what it refuses. It is called when there is a
// free slot.
func (g *importanceThreshold) lower(now int64) {
	if g.lowest > config.Low && now-g.changedAt >= minRecentPeriod && g.lowest > g.onwardLowest(now) {
		g.lowest--
		g.changedAt = now
	}
}

func (g *importanceThreshold) onwardLowest(now int64) config.Importance {
	lowest := config.Low
	for _, o := range g.onward {
		if now-o.receivedAt < int64(ThresholdTTL) {
			lowest = max(lowest, o.lowest)
		}
	}
	return lowest
}

// recentPeriod returns the time that counts as recent for the gate.
func (c *Controller) recentPeriod() int64 {
	return min(max(minRecentPeriod, int64(recentLatencies*c.limiter.meanLatency)), maxRecentPeriod)
}

// RecordOnwardThreshold records a threshold that came with the answer to an onward call of
// the backend server. Refusals further down thus reach the entry node.
func (c *Controller) RecordOnwardThreshold(service string, t peer.Threshold) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.threshold.onward[service] = onwardThreshold{lowest: t.Lowest, receivedAt: now}
}

// Threshold tells upstream nodes what is admitted at present.
func (c *Controller) Threshold() peer.Threshold {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowerThresholdIfFree(now)
	return peer.Threshold{
		Lowest: c.threshold.lowest, InFlight: c.inFlight, Queued: c.queue.length, Limit: c.limit(now),
	}
}

// lowerThresholdIfFree tells the gate if there is a free slot.
func (c *Controller) lowerThresholdIfFree(now int64) {
	if c.threshold.lowest > config.Low && c.queue.length == 0 && c.inFlight < c.limit(now) {
		c.threshold.lower(now)
	}
}

// Admits reports whether a request is worth sending to a destination with
// threshold t, which must be at most ThresholdTTL old. Already-admitted work is
// always sent: refusing it wastes the work done so far, and at the destination it
// goes before new work.
func Admits(t peer.Threshold, i config.Importance, admitted bool) bool {
	return admitted || i >= t.Lowest
}
