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
	// recentTime is the least time without a request of an importance being
	// admitted after which a shed one raises the threshold, nanoseconds. It is also
	// the least time between two steps down.
	recentTime = int64(100e6)
	// recentLatencies is the same as a multiple of the average latency, up to
	// maxRecentTime.
	recentLatencies = 2
	maxRecentTime   = int64(400e6)
	// minRefused is the least number of requests that fail further down in a row
	// before the threshold is raised, so that a single one of a service with few
	// calls does not shut the others out.
	minRefused = 5
	// longAgo is a time before any request.
	longAgo = math.MinInt64 / 2
)

// gate derives the lowest importance that is worth sending to this backend server.
type gate struct {
	lowest  config.Importance
	changed int64
	// The last time that a request of each importance was admitted here, and that
	// one was answered without an onward refusal.
	admitted, answered [config.ImportanceLevels]int64
	// refusedSince counts onward refusals since the last answered request.
	refusedSince [config.ImportanceLevels]int
	onward       map[string]onward // by service
}

// onward is the last threshold received from a service that the backend server
// calls.
type onward struct {
	lowest config.Importance
	at     int64
}

func newGate() gate {
	g := gate{changed: longAgo, onward: map[string]onward{}}
	for i := range g.admitted {
		g.admitted[i], g.answered[i] = longAgo, longAgo
	}
	return g
}

func level(i config.Importance) config.Importance { return min(i, config.Critical) }

// shed raises the threshold above i if no request of importance i was admitted
// within the time.
func (g *gate) shed(now int64, i config.Importance, within int64) {
	if now-g.admitted[level(i)] >= within {
		g.raise(now, i)
	}
}

// onwardShed raises the threshold above i if several requests of importance i
// failed further down and none was answered within the time.
func (g *gate) onwardShed(now int64, i config.Importance, within int64) {
	i = level(i)
	g.refusedSince[i]++
	if g.refusedSince[i] >= minRefused && now-g.answered[i] >= within {
		g.raise(now, i)
	}
}

// answer records that a request of importance i succeeded.
func (g *gate) answer(now int64, i config.Importance) {
	g.answered[level(i)], g.refusedSince[level(i)] = now, 0
}

func (g *gate) raise(now int64, i config.Importance) {
	if above := level(i + 1); above > g.lowest {
		g.lowest = above
	}
	g.changed = now
}

// free lowers the threshold by one step if it was not changed within recentTime and
// no onward service still refuses what it refuses. It is called when there is a
// free slot.
func (g *gate) free(now int64) {
	if g.lowest > config.Low && now-g.changed >= recentTime && g.lowest > g.onwardLowest(now) {
		g.lowest--
		g.changed = now
	}
}

func (g *gate) onwardLowest(now int64) config.Importance {
	lowest := config.Low
	for _, o := range g.onward {
		if now-o.at < int64(ThresholdTTL) {
			lowest = max(lowest, o.lowest)
		}
	}
	return lowest
}

// within returns the time that counts as recent for the gate.
func (c *Controller) within() int64 {
	return min(max(recentTime, int64(recentLatencies*c.limiter.mean)), maxRecentTime)
}

// RecordOnwardThreshold records a threshold that came with the answer to an onward call of
// the backend server. Refusals further down thus reach the entry node.
func (c *Controller) RecordOnwardThreshold(service string, t peer.Threshold) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.onward[service] = onward{lowest: t.Lowest, at: now}
}

// Threshold tells upstream nodes what is admitted at present.
func (c *Controller) Threshold() peer.Threshold {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteFree(now)
	return peer.Threshold{
		Lowest: c.gate.lowest, InFlight: c.inFlight, Queued: c.queue.length, Limit: c.limit(now),
	}
}

// noteFree tells the gate if there is a free slot.
func (c *Controller) noteFree(now int64) {
	if c.gate.lowest > config.Low && c.queue.length == 0 && c.inFlight < c.limit(now) {
		c.gate.free(now)
	}
}

// Admits reports whether a request is worth sending to a destination with
// threshold t, which must be at most ThresholdTTL old. Already-admitted work is
// always sent: refusing it wastes the work done so far, and at the destination it
// goes before new work.
func Admits(t peer.Threshold, i config.Importance, admitted bool) bool {
	return admitted || i >= t.Lowest
}
