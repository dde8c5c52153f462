package node

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/admission"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/refusal"
)

// Limits of the log lines of one event name, in lines per second. Under overload most
// requests are refused, and logging each would cost more than refusing it. Failed
// requests of callers have the highest limit.
const (
	defaultLinesPerSecond  = 5
	requestLinesPerSecond  = 70
	deliveryLinesPerSecond = 25
)

// Names of events that have their own limit.
const (
	eventRequestFailed = "request_failed"
	eventCallFailed    = "call_failed" // a call that belongs to no workspace
	eventRequestLate   = "request_late"
	eventRetried       = "request_retried"
	eventDelivery      = "delivery_failed"
)

var lineLimits = map[string]int{
	eventRequestFailed: requestLinesPerSecond, eventCallFailed: deliveryLinesPerSecond,
	eventRequestLate: deliveryLinesPerSecond / 2, eventRetried: deliveryLinesPerSecond / 2, eventDelivery: deliveryLinesPerSecond,
}

// eventLog writes one line per event. It is safe for concurrent use. Callers' keys
// must not be passed to it.
type eventLog struct {
	logger logr.Logger
	clock  func() time.Time

	mu      sync.Mutex
	second  int64
	lines   map[string]int
	skipped map[string]int
}

func newEventLog(logger logr.Logger, clock func() time.Time) *eventLog {
	return &eventLog{logger: logger, clock: clock, lines: map[string]int{}, skipped: map[string]int{}}
}

// event logs a rare event. It has no limit.
func (l *eventLog) event(name string, keysAndValues ...any) {
	l.logger.Info(name, keysAndValues...)
}

// sampled logs an event that may occur for every request, up to the limit of its name.
func (l *eventLog) sampled(name string, keysAndValues ...any) {
	if write, skipped := l.sample(name); write {
		l.logger.Info(name, append(keysAndValues, "skipped", skipped)...)
	}
}

// sample reports whether to write a line for an event name and how many of its lines
// were skipped since the last one.
func (l *eventLog) sample(event string) (write bool, skipped int) {
	limit, ok := lineLimits[event]
	if !ok {
		limit = defaultLinesPerSecond
	}
	now := l.clock().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now != l.second {
		l.second = now
		clear(l.lines)
	}
	if l.lines[event] >= limit {
		l.skipped[event]++
		return false, 0
	}
	l.lines[event]++
	skipped = l.skipped[event]
	l.skipped[event] = 0
	return true, skipped
}

// unaccepted logs the refusal of a request that was not accepted as a call.
func (l *eventLog) unaccepted(id, service string, version uint64, r *refusal.Refusal) {
	if write, skipped := l.sample(eventRequestFailed); write {
		l.logger.Info(eventRequestFailed, "request_id", id, "service", service, "reason", string(r.Reason), "ran", string(r.Ran),
			"message", r.Message, "tries", 0, "version", version, "skipped", skipped)
	}
}

// failureEvent returns the event name for the failure of a call. Calls without a
// workspace, such as calls of backend servers that carry no context, have a name of
// their own.
func (c *call) failureEvent() string {
	if c.info.Workspace == "" {
		return eventCallFailed
	}
	return eventRequestFailed
}

// logRefusal logs a call that ended with a refusal, with the state that led to it.
func (c *call) logRefusal(ctx context.Context, r *refusal.Refusal) {
	c.logEnd(c.failureEvent(), "reason", string(r.Reason), "ran", string(r.Ran), "message", r.Message,
		"retry_after_ms", r.RetryAfter, "sender_gone", ctx.Err() != nil)
}

// logResponse logs a call whose response is an error, incomplete or late.
func (c *call) logResponse(status int, complete bool) {
	switch objective := c.route.Objective.Latency; {
	case status >= http.StatusInternalServerError || !complete:
		c.logEnd(c.failureEvent(), "reason", "backend_answer", "status", status, "whole", complete)
	case objective > 0 && c.info.Workspace != "" && c.node.now().Sub(c.arrived) > objective:
		c.logEnd(eventRequestLate, "status", status, "objective_ms", objective)
	}
}

func (c *call) logEnd(event string, outcome ...any) {
	l := c.node.log
	write, skipped := l.sample(event)
	if !write {
		return
	}
	now := c.node.now()
	l.logger.Info(event, append([]any{
		"request_id", c.logID(), "service", c.req.target.service, "route", c.route.Pattern, "workspace", c.info.Workspace,
		"importance", c.info.Importance.String(),
	}, append(outcome, "tries", c.tries, "tried", strings.Join(c.triedNodes, ","), "took_ms", now.Sub(c.arrived),
		"left_ms", c.info.Deadline.Sub(now), "attempts_left", c.budget.Left(), "retry_tokens", c.dest.retries.Tokens(),
		"version", c.node.version(), "skipped", skipped)...)...)
}

// logRetry logs that a call is tried again.
func (c *call) logRetry(r *refusal.Refusal, wait time.Duration) {
	c.node.log.sampled(eventRetried, "request_id", c.logID(), "service", c.req.target.service, "reason", string(r.Reason),
		"ran", string(r.Ran), "message", r.Message, "tries", c.tries, "tried", strings.Join(c.triedNodes, ","), "wait_ms", wait,
		"attempts_left", c.budget.Left(), "retry_tokens", c.dest.retries.Tokens())
}

// logFailure logs a delivery that failed on the backend server's host.
func (d *delivery) logFailure(outcome admission.Outcome, result *peer.HopResult, keysAndValues ...any) {
	write, skipped := d.node.log.sample(eventDelivery)
	if !write {
		return
	}
	instance := ""
	if d.backend != nil {
		instance = d.backend.Instance
	}
	t := result.Threshold
	d.node.log.logger.Info(eventDelivery, append([]any{"request_id", d.logID(), "service", d.hop.Service, "origin", d.hop.Origin}, append(keysAndValues,
		"outcome", outcome.String(), "instance", instance, "in_flight", t.InFlight, "queued", t.Queued, "limit", t.Limit, "lowest", t.Lowest.String(),
		"share", result.AdmitRatio, "overloaded_below", result.OnwardOverload, "left_ms", d.req.deadline.Sub(d.node.now()), "skipped", skipped)...)...)
}
