// Package admission implements admission control for a backend server: each
// request is run at once, queued for a short time or refused. Every backend
// server has one Controller, on its own host.
//
// An onward call is a call to another service that a backend server makes while it
// runs a request. Onward overload is overload of a service that such calls reach.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

const (
	// DefaultQueueTimeout is the default of Config.QueueTimeout.
	DefaultQueueTimeout = 100 * time.Millisecond
	// minQueueLength lets a backend server with very few slots absorb a burst.
	minQueueLength = 8
	// probesInFlight is the number of requests in flight up to which the expected
	// service time is not compared with the deadline. Without these probes, an
	// estimate that is too high would never be corrected.
	probesInFlight = 2
	// queueLengthPerSlot is the default queue length per slot. With 1, bursts of
	// arrivals displace the requests of less served workspaces: the least served one
	// got 0.89 to 0.97 of its fair share in the overload experiment
	// (worst_workspace_ratio).
	queueLengthPerSlot = 2
	// queueTimeoutLatencies is the queue timeout as a multiple of the average
	// latency; it applies if it is longer than Config.QueueTimeout. Requests that
	// start together end together, so a slot may take one latency to become free.
	queueTimeoutLatencies = 1.5
	// minRetryAfter is the shortest wait that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
)

// Config describes a Controller.
type Config struct {
	Slots        int              // requests that the backend server runs concurrently
	Connections  int              // connections that the backend server accepts; 0 means unlimited
	QueueLength  int              // maximum number of queued requests; 0 means queueLengthPerSlot for each slot, at least minQueueLength
	QueueTimeout time.Duration    // longest wait in the queue, extended while latency is high; 0 means DefaultQueueTimeout
	FixedLimit   bool             // keep the limit at min(Slots, Connections), for a backend server that announces them exactly
	Clock        func() time.Time // must be safe for concurrent use; nil means time.Now
}

// Request describes a request to Acquire.
type Request struct {
	Importance config.Importance
	Workspace  string
	Deadline   time.Time     // zero means none
	Admitted   bool          // part of a call tree that has already been admitted
	MaxWait    time.Duration // shortens the longest wait in the queue; 0 means the Controller's own limit
	NoRateWait bool          // refused instead of queued if the rate limit lets it wait, because another backend server has room
}

// Controller limits the concurrent requests to one backend server and queues the
// excess. It is safe for concurrent use.
type Controller struct {
	clock        func() time.Time
	epoch        time.Time
	queueTimeout time.Duration
	queueLength  int // Config.QueueLength; 0 means the default
	waiters      waiterPool

	mu            sync.Mutex // guards the fields below
	inFlight      int
	limiter       limiter
	ramp          ramp
	rate          rateLimit
	rateTimer     *time.Timer // calls dispatch when the rate limit lets the next request through; nil before its first use
	queue         queue
	usage         usageTable
	threshold     importanceThreshold
	refusalRatios [config.ImportanceLevels]refusalRatio
}

// New returns a Controller that starts at the highest limit.
func New(cfg Config) *Controller {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.QueueTimeout <= 0 {
		cfg.QueueTimeout = DefaultQueueTimeout
	}
	c := &Controller{
		clock: cfg.Clock, epoch: cfg.Clock(), queueTimeout: cfg.QueueTimeout, queueLength: cfg.QueueLength,
		limiter: limiter{fixed: cfg.FixedLimit}, rate: newRateLimit(), usage: newUsageTable(), threshold: newImportanceThreshold(),
	}
	c.limiter.setMaxLimit(maxLimit(cfg.Slots, cfg.Connections))
	return c
}

// maxLimit returns the highest limit for the announced slots and connections.
func maxLimit(slots, connections int) int {
	if connections > 0 && connections < slots {
		return connections
	}
	return max(slots, 0)
}

// now returns the time since the Controller was created, in nanoseconds.
func (c *Controller) now() int64 { return int64(c.clock().Sub(c.epoch)) }

// Resize applies newly announced slots and connections.
func (c *Controller) Resize(slots, connections int) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.setMaxLimit(maxLimit(slots, connections))
	c.dispatch(now)
}

// SetColdStart lowers the limit and raises it linearly to its full value over d. It
// has no effect on a fixed limit.
func (c *Controller) SetColdStart(d time.Duration) {
	if c.limiter.fixed {
		return
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ramp = ramp{start: now, duration: int64(d)}
}

// LimitIsExact reports whether the limit is the number of slots that the backend server
// announced. A request that the backend server refuses in spite of it was not refused
// for lack of slots.
func (c *Controller) LimitIsExact() bool { return c.limiter.fixed }

// limit returns the current concurrency limit. c.mu must be held.
func (c *Controller) limit(now int64) int { return c.ramp.apply(now, c.limiter.current()) }

// hasRoom reports whether the concurrency limit and the rate limit let another request
// through. c.mu must be held.
func (c *Controller) hasRoom(now int64) bool {
	return c.inFlight < c.limit(now) && c.rate.wait(now, 0) == 0
}

// queueLimit returns the maximum number of queued requests. c.mu must be held.
func (c *Controller) queueLimit() int {
	if c.queueLength > 0 {
		return c.queueLength
	}
	return max(queueLengthPerSlot*c.limiter.maxLimit, minQueueLength)
}

// Ticket is the permission to run one request. It must be released exactly once.
type Ticket struct {
	c          *Controller
	start      int64
	importance config.Importance
}

// Acquire waits until r may run and returns its ticket, which must be released
// exactly once. The error is a *refusal.Refusal with Ran set to RanNo; its reason
// is Overload, BackendLimited if only the rate limit stands in the way, or Deadline if the
// deadline cannot be met or ctx ended.
func (c *Controller) Acquire(ctx context.Context, r Request) (Ticket, error) {
	if ctx.Err() != nil {
		return Ticket{}, errCallerGone
	}
	now := c.now()
	deadline := c.deadline(r)
	c.mu.Lock()
	c.refusalRatios[clampImportance(r.Importance)].recordArrival(now)
	if c.queue.length == 0 && c.hasRoom(now) && c.canMeetDeadline(now, deadline, 0) {
		c.admit(now, r.Importance, c.usage.get(now, r.Workspace))
		c.mu.Unlock()
		return Ticket{c: c, start: now, importance: r.Importance}, nil
	}
	w, err := c.enqueue(now, deadline, r)
	c.mu.Unlock()
	if err != nil {
		return Ticket{}, err
	}
	return c.wait(ctx, w)
}

// deadline returns the deadline of r in nanoseconds since the Controller was created,
// or 0 if it has none.
func (c *Controller) deadline(r Request) int64 {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(int64(r.Deadline.Sub(c.epoch)), 1)
}

// canMeetDeadline reports whether a request that waits behind the given number of
// others is expected to complete by its deadline. c.mu must be held.
func (c *Controller) canMeetDeadline(now, deadline int64, ahead int) bool {
	if deadline == 0 {
		return true
	}
	if now >= deadline {
		return false
	}
	if ahead == 0 && c.inFlight < probesInFlight {
		return true
	}
	return now+c.expectedWait(now, ahead)+c.limiter.serviceTime() <= deadline
}

// expectedWait returns the expected time, in nanoseconds, until the given number of
// requests have left the queue. c.mu must be held.
func (c *Controller) expectedWait(now int64, ahead int) int64 {
	return int64(float64(ahead) * c.limiter.meanLatency / float64(max(c.limit(now), 1)))
}

// maxQueueWait returns the longest time in the queue, in nanoseconds. c.mu must be
// held.
func (c *Controller) maxQueueWait() int64 {
	return max(int64(c.queueTimeout), int64(queueTimeoutLatencies*c.limiter.meanLatency))
}

// admit counts a request as running. c.mu must be held.
func (c *Controller) admit(now int64, i config.Importance, u *usage) {
	c.inFlight++
	c.rate.take(now)
	c.limiter.recordInFlight(c.inFlight)
	c.threshold.lastAdmitted[clampImportance(i)] = now
	u.served++
}

// enqueue adds a waiter for r to the queue, or refuses r. If the queue is full, the
// waiter that ranks lowest is refused, provided that it ranks below r. c.mu must be
// held.
func (c *Controller) enqueue(now, deadline int64, r Request) (*waiter, error) {
	u := c.usage.get(now, r.Workspace)
	class := classOf(r.Importance, r.Admitted)
	ahead := c.queue.countAhead(class, u)
	if !c.canMeetDeadline(now, deadline, ahead) {
		return nil, c.refuseDeadline(now, r.Importance)
	}
	wait := c.maxQueueWait()
	if r.MaxWait > 0 {
		wait = min(wait, int64(r.MaxWait))
	}
	if turn := c.rate.wait(now, ahead); turn > c.maxRateWait(now, wait, deadline, r.NoRateWait) {
		return nil, c.refuseRate(now, turn, r.Importance)
	}
	if c.queue.length >= c.queueLimit() {
		displaced := c.queue.displacedBy(class, u)
		if displaced == nil {
			return nil, c.refuseOverload(now, r.Importance, "queue is full")
		}
		c.refuseQueued(displaced, c.refuseWaiting(now, displaced.importance, "displaced by a more important or less served request"))
	}
	w := c.waiters.get()
	w.arrived, w.expires, w.deadline = now, now+wait, deadline
	w.importance, w.class, w.usage = r.Importance, class, u
	c.queue.push(w)
	c.dispatch(now)
	return w, nil
}

// wait blocks until w is admitted, refused or expired, or until ctx ends.
func (c *Controller) wait(ctx context.Context, w *waiter) (Ticket, error) {
	defer c.waiters.put(w)
	w.timer.Reset(time.Duration(w.expires - w.arrived))
	select {
	case d := <-w.decided:
		return c.ticketFor(w, d)
	case <-ctx.Done():
		return c.stopWaiting(w, errCallerGone)
	case <-w.timer.C:
		return c.stopWaiting(w, nil)
	}
}

func (c *Controller) ticketFor(w *waiter, d decision) (Ticket, error) {
	if d.err != nil {
		return Ticket{}, d.err
	}
	return Ticket{c: c, start: d.start, importance: w.importance}, nil
}

// stopWaiting removes w from the queue, unless it was admitted or refused in the
// meantime. A nil reason means that w has reached its time limit in the queue.
func (c *Controller) stopWaiting(w *waiter, reason *refusal.Refusal) (Ticket, error) {
	now := c.now()
	c.mu.Lock()
	if !w.queued {
		c.mu.Unlock()
		return c.ticketFor(w, <-w.decided)
	}
	if reason == nil {
		reason = c.refuseWaiting(now, w.importance, "waited too long")
	}
	c.queue.remove(w)
	c.mu.Unlock()
	return Ticket{}, reason
}

// refuseQueued removes w from the queue and refuses it. c.mu must be held.
func (c *Controller) refuseQueued(w *waiter, r *refusal.Refusal) {
	c.queue.remove(w)
	w.decided <- decision{err: r}
}

// dispatch admits queued requests in order while the limit allows it, and refuses
// those that have expired or cannot meet their deadline. c.mu must be held.
func (c *Controller) dispatch(now int64) {
	limit := c.limit(now)
	for c.inFlight < limit {
		w := c.queue.next()
		if w == nil {
			return
		}
		if c.rate.wait(now, 0) > 0 {
			c.dispatchLater(now)
			return
		}
		switch {
		case now >= w.expires:
			c.refuseQueued(w, c.refuseWaiting(now, w.importance, "waited too long"))
		case !c.canMeetDeadline(now, w.deadline, 0):
			c.refuseQueued(w, c.refuseDeadline(now, w.importance))
		default:
			c.queue.remove(w)
			c.admit(now, w.importance, w.usage)
			w.decided <- decision{start: now}
		}
	}
}

// Release reports the outcome of the request, frees its slot and admits queued
// requests.
func (t Ticket) Release(o Outcome) {
	c := t.c
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.observe(now, now-t.start, o)
	switch o {
	case OK:
		c.threshold.recordSuccess(now, t.importance)
	case OnwardRefused:
		c.threshold.recordOnwardRefusal(now, t.importance, c.recentPeriod())
	}
	c.inFlight--
	c.dispatch(now)
	c.lowerThresholdIfFree(now)
}
