package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// Limits that the platform specifies for the guarantees, and tolerances.
const (
	drainGracePeriod = 2 * time.Second // new requests may arrive for this long after the drain is acknowledged
	// drainMargin is how long a draining server keeps serving after the grace period.
	drainMargin         = 500 * time.Millisecond
	quotaWindow         = 5 * time.Second
	quotaExcessRatio    = 0.1 // fraction by which a workspace may exceed its rate and burst in quotaWindow
	quotaSlack          = 20  // requests that are permitted in addition
	retryBudgetWindow   = 10 * time.Second
	retryBudgetRatio    = 0.2                    // retries per request that are permitted in retryBudgetWindow
	retryBudgetSlack    = 50                     // retries that are permitted in addition
	faultRecoveryTime   = 3 * time.Second        // after a fault, until time limits apply again
	connectionLossSlack = 200 * time.Millisecond // a request that has not run may lose its connection to a stopping node within this time
	responseSlack       = 500 * time.Millisecond // after the timeout of the route
	maxShownPerRule     = 5
)

// Violation is an observed violation of a guarantee. The rules are:
//
//   - UNASKED: a backend server received a request that no caller sent, or not in this
//     form, or with a key, another workspace or another calling service
//   - ROUTE: a request ran at a service to which no configuration version routes it
//   - TWICE: a request that is not idempotent ran more than once
//   - BUDGET: a request ran more often than its route allows, or there were more
//     retries to a service than its retry budget permits
//   - REFUSED: a request ran although its response states that it did not
//   - DRAIN: a backend server received a request after the end of its drain grace period
//   - LIMIT: a backend server received more requests than the rate limit that it names in
//     its responses permits
//   - MIXED: a response does not belong to its request or is not from a backend server
//   - LOST: a request got no response because of the planned stop of its node
//   - QUOTA: more requests of a workspace ran than its quota permits
//   - CONFIG: the newest configuration version is not in force, a node went back to an
//     older one, or a response came after the timeout of its route
//   - STOP: a node process did not exit in time after SIGTERM
//   - START: a node process or backend server could not be restarted
//   - EXIT: a node process exited unexpectedly
//   - RECOVER: too few requests succeeded after the last fault
type Violation struct {
	Rule      string
	RequestID string // empty if it is not about a single request
	Detail    string
}

// String returns the violation as one line without a line break.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Rule, v.RequestID, v.Detail) }

// request is a request of a caller, or an onward call of a backend server.
type request struct {
	standin.PlatformRequest
	host      *host // that received it from the caller or backend server
	route     *route
	workspace string
	at        time.Time
	behind    bool // sent before the answer to another request on its connection
	runs      []standin.ReceivedRequest
	ended     time.Time // zero until it has ended
	status    int       // 0 if the connection ended without a complete response
}

// checker records what callers and backend servers observe, and checks it against the
// guarantees of the nodes.
type checker struct {
	mu              sync.Mutex
	requests        map[string]*request
	violations      []Violation
	routes          map[string]*route // of all configuration versions, by host name
	keys            map[string]string // workspace by key, of all configuration versions
	unplannedFaults []span            // host is nil, whichever hosts are affected
	plannedStops    []span            // by host
	pauses          []span            // by host
	signals         []*signal         // of backend servers, in order of their starts
}

// span is a period in which a host, or the whole fleet if host is nil, was affected by
// a fault or a planned operation.
type span struct {
	host     *host
	from, to time.Time // to is zero until the span ends
}

func newChecker() *checker {
	return &checker{requests: map[string]*request{}, routes: map[string]*route{}, keys: map[string]string{}}
}

// recordLocked records a violation. The caller holds c.mu.
func (c *checker) recordLocked(rule, id, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, id, fmt.Sprintf(format, args...)})
}

func (c *checker) record(rule, id, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLocked(rule, id, format, args...)
}

// addVersion adds the routes and keys of a configuration version. It has to be called
// before the version is written to the store.
func (c *checker) addVersion(v *version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range v.routes {
		c.routes[v.routes[i].hostName] = &v.routes[i]
	}
	for key, workspace := range v.keys {
		c.keys[key] = workspace
	}
}

// recordSent records a request. It has to be called before the first byte of the
// request is sent.
func (c *checker) recordSent(h *host, p *standin.PlatformRequest, workspace string, at time.Time) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &request{PlatformRequest: *p, host: h, route: c.routes[p.Host], workspace: workspace, at: at}
	c.requests[p.ID] = r
	return r
}

// recordRun records and checks a request that a backend server has started to run.
func (c *checker) recordRun(h *host, run standin.ReceivedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[run.ID]
	if r == nil {
		c.recordLocked("UNASKED", run.ID, "ran on %s, but was not sent by any caller", run.Instance)
		return
	}
	r.runs = append(r.runs, run)
	c.recordSignalledRun(h, r, run)
	switch {
	case run.Key != "":
		c.recordLocked("UNASKED", run.ID, "the key was forwarded to %s", run.Instance)
	case run.Method != r.Method || run.Path != r.Path || run.PlatformRequest.Host != r.Host || run.Body != r.Body:
		c.recordLocked("UNASKED", run.ID, "%s received a request that differs from the one sent: %s %s%s %q", run.Instance, run.Method, run.PlatformRequest.Host, run.Path, run.Body)
	case run.Tenant != r.workspace:
		c.recordLocked("UNASKED", run.ID, "ran for workspace %q, not %q", run.Tenant, r.workspace)
	case run.Origin != r.host.service:
		c.recordLocked("UNASKED", run.ID, "sent by service %q, but the backend server received %q as the caller", r.host.service, run.Origin)
	case r.route == nil || r.route.service != run.Service:
		c.recordLocked("ROUTE", run.ID, "no configuration version routes %s to %s", r.Host, run.Service)
	}
	if r.route == nil {
		return
	}
	if !r.route.idempotent && len(r.runs) > 1 {
		c.recordLocked("TWICE", run.ID, "ran on %s and %s", r.runs[0].Instance, run.Instance)
	}
	if len(r.runs) > r.route.attempts {
		c.recordLocked("BUDGET", run.ID, "ran %d times, the route allows %d", len(r.runs), r.route.attempts)
	}
	if !r.ended.IsZero() && r.reportedNotRun() {
		c.recordLocked("REFUSED", run.ID, "ran on %s after the response %d, which states that it did not run", run.Instance, r.status)
	}
	if since, ok := h.noNewWorkAfter(); ok && run.At.After(since) && !overlaps(c.pauses, h, since.Add(-drainGracePeriod), run.At) {
		c.recordLocked("DRAIN", run.ID, "reached %s %v after the end of its drain grace period", run.Instance, run.At.Sub(since))
	}
}

func (r *request) reportedNotRun() bool {
	if r.route == nil || r.route.idempotent {
		return false
	}
	switch r.status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// recordEnd records and checks the outcome of a request. status is 0 if the connection
// ended without a complete response; problem describes what is wrong with the
// response, or is "".
func (c *checker) recordEnd(r *request, status int, problem string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ended, r.status = at, status
	c.recordSignalSeen(r)
	switch {
	case problem != "":
		c.recordLocked("MIXED", r.ID, "status %d: %s", status, problem)
	case r.reportedNotRun() && len(r.runs) > 0:
		c.recordLocked("REFUSED", r.ID, "the response %d states that it did not run, but it ran on %s", status, r.runs[0].Instance)
	}
	undisturbed := !overlaps(c.unplannedFaults, nil, r.at.Add(-faultRecoveryTime), at)
	waited := at.Sub(r.at)
	if status == 0 && undisturbed && overlaps(c.plannedStops, r.host, r.at, at) && (len(r.runs) > 0 || waited > connectionLossSlack && !r.behind) {
		c.recordLocked("LOST", r.ID, "no response after %v at %s during its planned stop", waited, r.host.name())
	}
	if r.route != nil && undisturbed && waited > r.route.timeout+responseSlack {
		c.recordLocked("CONFIG", r.ID, "response %d after %v at %s, the timeout of the route is %v", status, waited, r.host.name(), r.route.timeout)
	}
}

// overlaps reports whether any of the spans that are of host h overlaps the period.
func overlaps(spans []span, h *host, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		return s.host == h && s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// beginSpan adds a span that starts now and returns a function that ends it.
func (c *checker) beginSpan(spans *[]span, h *host) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(*spans)
	*spans = append(*spans, span{host: h, from: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		(*spans)[i].to = time.Now()
	}
}

// summarize returns the violations as lines, at most maxShownPerRule of each rule, and
// the number of violations of each rule that has more.
func summarize(violations []Violation) string {
	var b strings.Builder
	count := map[string]int{}
	for _, x := range violations {
		if count[x.Rule]++; count[x.Rule] <= maxShownPerRule {
			fmt.Fprintln(&b, x)
		}
	}
	for rule, n := range count {
		if n > maxShownPerRule {
			fmt.Fprintf(&b, "%s: %d in all\n", rule, n)
		}
	}
	return b.String()
}

func (c *checker) workspaceOf(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[key]
}
