// Package admission decides which requests a backend server runs now, which
// wait for a short time and which are refused. One Controller stands in front
// of each backend server, on the backend server's own host.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Defaults of Config.
const (
	DefaultQueueTimeout = 100 * time.Millisecond
	// minQueueLength lets a backend server with very few slots absorb a burst.
	minQueueLength = 8
	// probesInFlight requests are admitted even if the expected service time is
	// longer than their time left. Without them, an estimate that is too high
	// would never be corrected.
	probesInFlight = 2
	// queueLengthPerSlot is the default length of the queue per slot. With 1, arrivals in
	// bursts displaced less served workspaces: the worst one got 0.89 to 0.97 of its
	// entitlement in the overload experiment.
	queueLengthPerSlot = 2
	// queueTimeoutLatencies is the time limit in the queue as a multiple of the average
	// latency, if that is longer than QueueTimeout. Requests that run together end
	// together, so a slot may take one latency to become free.
	queueTimeoutLatencies = 1.5
	// minRetryAfter is the shortest time that a refused caller is told to wait.
	minRetryAfter = 50 * time.Millisecond
)

// Config describes a Controller.
type Config struct {
	Slots        int           // requests that the backend server runs at the same time
	Connections  int           // connections that the backend server accepts; 0 means no bound
	QueueLength  int           // requests that may wait; 0 means queueLengthPerSlot for each slot
	QueueTimeout time.Duration // longest wait while latency is short; 0 means DefaultQueueTimeout
	FixedLimit   bool          // keep the limit at min(Slots, Connections): the backend server states them exactly
	Clock        func() time.Time
}

// Request is what Acquire needs to know about a request.
type Request struct {
	Importance config.Importance
	Workspace  string
	Deadline   time.Time // zero means none
	Admitted   bool      // part of a call tree that was admitted before
	// MaxWait is the longest time in the queue; 0 means the Controller's own limit.
	MaxWait time.Duration
}

// Outcome tells how an admitted request ended.
type Outcome uint8

// The outcomes of an admitted request.
const (
	OK        Outcome = iota // the backend server answered completely
	Failed                   // the backend server failed, or its answer was incomplete
	Shed                     // the backend server reported that it did not run the request
	Cancelled                // the caller left or the deadline passed while the request ran
	// OnwardRefused means that the request failed because one of its onward calls
	// was refused for overload, or was answered by a service whose threshold is
	// above the request's importance.
	OnwardRefused
)

var outcomeNames = [...]string{"ok", "failed", "shed", "cancelled", "onward_refused"}

// String returns the name of the outcome in log lines.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Controller admits requests to one backend server. It is safe for concurrent
// use.
type Controller struct {
	clock        func() time.Time
	epoch        time.Time
	queueTimeout time.Duration
	queueLength  int // configured; 0 means the number of slots
	waiters      waiterPool

	mu            sync.Mutex
	inFlight      int
	limiter       limiter
	ramp          ramp
	queue         queue
	usage         usageTable
	threshold     importanceThreshold
	refusalRatios [config.ImportanceLevels]refusalRatio
}

// New returns a Controller with the full limit in force.
func New(cfg Config) *Controller {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.QueueTimeout <= 0 {
		cfg.QueueTimeout = DefaultQueueTimeout
	}
	c := &Controller{
		clock: cfg.Clock, epoch: cfg.Clock(), queueTimeout: cfg.QueueTimeout, queueLength: cfg.QueueLength,
		limiter: limiter{fixed: cfg.FixedLimit}, usage: newUsageTable(), threshold: newImportanceThreshold(),
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

// now returns the time since the Controller was made, in nanoseconds.
func (c *Controller) now() int64 { return int64(c.clock().Sub(c.epoch)) }

// Resize puts newly announced slots and connections in force.
func (c *Controller) Resize(slots, connections int) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.setMaxLimit(maxLimit(slots, connections))
	c.dispatch(now)
}

// SetColdStart starts a ramp of the limit that reaches the full limit after d. A
// fixed limit has none.
func (c *Controller) SetColdStart(d time.Duration) {
	if c.limiter.fixed {
		return
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ramp = ramp{start: now, duration: int64(d)}
}

// limit returns the number of requests that may run at present.
func (c *Controller) limit(now int64) int { return c.ramp.apply(now, c.limiter.current()) }

// queueLimit returns the number of requests that may wait.
func (c *Controller) queueLimit() int {
	if c.queueLength > 0 {
		return c.queueLength
	}
	return max(queueLengthPerSlot*c.limiter.maxLimit, minQueueLength)
}

// Ticket is the permission to run one request.
type Ticket struct {
	c          *Controller
	start      int64
	importance config.Importance
}

// Acquire waits until r may run and returns its ticket, which must be released
// exactly once. The error is a *refusal.Refusal: overload, or deadline if the
// deadline cannot be met or ctx ended. The request did not run then.
func (c *Controller) Acquire(ctx context.Context, r Request) (Ticket, error) {
	if ctx.Err() != nil {
		return Ticket{}, errCallerGone
	}
	now := c.now()
	deadline := c.deadline(r)
	c.mu.Lock()
	c.refusalRatios[clampImportance(r.Importance)].recordArrival(now)
	if c.queue.length == 0 && c.inFlight < c.limit(now) && c.canMeetDeadline(now, deadline, 0) {
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

// deadline returns the deadline of r on the clock of now, or 0.
func (c *Controller) deadline(r Request) int64 {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(int64(r.Deadline.Sub(c.epoch)), 1)
}

// canMeetDeadline reports whether a request that waits behind the given number of others
// is expected to end by its deadline.
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

// expectedWait returns the time until that many requests have left the queue.
func (c *Controller) expectedWait(now int64, ahead int) int64 {
	return int64(float64(ahead) * c.limiter.meanLatency / float64(max(c.limit(now), 1)))
}

// maxQueueWait returns the longest time in the queue.
func (c *Controller) maxQueueWait() int64 {
	return max(int64(c.queueTimeout), int64(queueTimeoutLatencies*c.limiter.meanLatency))
}

func (c *Controller) admit(now int64, i config.Importance, s *usage) {
	c.inFlight++
	c.limiter.recordInFlight(c.inFlight)
	c.threshold.lastAdmitted[clampImportance(i)] = now
	s.served++
}

// enqueue adds a waiter for r, or refuses r.
func (c *Controller) enqueue(now, deadline int64, r Request) (*waiter, error) {
	s := c.usage.get(now, r.Workspace)
	class := classOf(r.Importance, r.Admitted)
	if !c.canMeetDeadline(now, deadline, c.queue.countAhead(class, s)) {
		return nil, c.refuseDeadline(now, r.Importance)
	}
	if c.queue.length >= c.queueLimit() {
		victim := c.queue.displacedBy(class, s)
		if victim == nil {
			return nil, c.refuseOverload(now, r.Importance, "queue is full")
		}
		c.refuseQueued(victim, c.refuseOverload(now, victim.importance, "displaced by a more important or less served request"))
	}
	w := c.waiters.get()
	wait := c.maxQueueWait()
	if r.MaxWait > 0 {
		wait = min(wait, int64(r.MaxWait))
	}
	w.arrived, w.expires, w.deadline = now, now+wait, deadline
	w.importance, w.class, w.usage = r.Importance, class, s
	c.queue.push(w)
	c.dispatch(now)
	return w, nil
}

// wait blocks until w is admitted, refused or expired, or until ctx ends.
func (c *Controller) wait(ctx context.Context, w *waiter) (Ticket, error) {
	defer c.waiters.put(w)
	w.timer.Reset(time.Duration(w.expires - w.arrived))
	select {
	case v := <-w.decided:
		return c.ticketFor(w, v)
	case <-ctx.Done():
		return c.stopWaiting(w, errCallerGone)
	case <-w.timer.C:
		return c.stopWaiting(w, nil)
	}
}

func (c *Controller) ticketFor(w *waiter, v decision) (Ticket, error) {
	if v.err != nil {
		return Ticket{}, v.err
	}
	return Ticket{c: c, start: v.start, importance: w.importance}, nil
}

// stopWaiting takes w out of the queue unless it was decided in the meantime. A nil
// reason means that the time in the queue is over.
func (c *Controller) stopWaiting(w *waiter, reason *refusal.Refusal) (Ticket, error) {
	now := c.now()
	c.mu.Lock()
	if !w.queued {
		c.mu.Unlock()
		return c.ticketFor(w, <-w.decided)
	}
	if reason == nil {
		reason = c.refuseOverload(now, w.importance, "waited too long")
	}
	c.queue.remove(w)
	c.mu.Unlock()
	return Ticket{}, reason
}

// drop refuses a queued waiter.
func (c *Controller) refuseQueued(w *waiter, r *refusal.Refusal) {
	c.queue.remove(w)
	w.decided <- decision{err: r}
}

// dispatch admits queued requests in order while the limit allows it.
func (c *Controller) dispatch(now int64) {
	limit := c.limit(now)
	for c.inFlight < limit {
		w := c.queue.next()
		if w == nil {
			return
		}
		switch {
		case now >= w.expires:
			c.refuseQueued(w, c.refuseOverload(now, w.importance, "waited too long"))
		case !c.canMeetDeadline(now, w.deadline, 0):
			c.refuseQueued(w, c.refuseDeadline(now, w.importance))
		default:
			c.queue.remove(w)
			c.admit(now, w.importance, w.usage)
			w.decided <- decision{start: now}
		}
	}
}

// Release ends the request of t and admits the next ones.
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

// errCallerGone is returned for a request whose caller left before it was admitted.
var errCallerGone = refusal.New(refusal.Deadline, "caller left or deadline passed before the request was admitted")

func (c *Controller) refuseDeadline(now int64, i config.Importance) *refusal.Refusal {
	c.refusalRatios[clampImportance(i)].refused++
	return refusal.New(refusal.Deadline, "deadline cannot be met").WithRetryAfter(c.retryAfter(now))
}

func (c *Controller) refuseOverload(now int64, i config.Importance, cause string) *refusal.Refusal {
	c.threshold.recordShed(now, i, c.recentPeriod())
	c.refusalRatios[clampImportance(i)].refused++
	r := &refusal.Refusal{Reason: refusal.Overload, Ran: refusal.RanNo, Message: cause}
	r.RetryAfter = c.retryAfter(now)
	return r
}

// RefusalRatio returns the part of requests of an importance that was refused lately,
// from 0 to 1.
func (c *Controller) RefusalRatio(i config.Importance) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusalRatios[clampImportance(i)].value()
}

// retryAfter returns the time in which a full queue is expected to empty.
func (c *Controller) retryAfter(now int64) time.Duration {
	return max(time.Duration(c.expectedWait(now, c.queueLimit())), minRetryAfter)
}
