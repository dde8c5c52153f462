package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// The platform's figures for the promises.
const (
	drainTime = 2 * time.Second // after the acknowledgement that a server leaves
	// drainSurplus is how much longer than that a leaving server serves.
	drainSurplus    = 500 * time.Millisecond
	quotaWindow     = 5 * time.Second
	quotaExcess     = 0.1
	quotaSlack      = 20
	budgetWindow    = 10 * time.Second
	budgetRatio     = 0.2
	budgetSlack     = 50
	contactTime     = 3 * time.Second // after a fault, before bounds in time hold
	lossSlack       = 200 * time.Millisecond
	answerSlack     = 500 * time.Millisecond // after a route's timeout
	maxShownPerRule = 5
)

// Violation is a promise that was broken.
type Violation struct {
	Rule      string
	RequestID string // empty if the breach is of no single request
	Detail    string
}

// String returns the breach as a line.
func (b Violation) String() string { return fmt.Sprintf("%s %s: %s", b.Rule, b.RequestID, b.Detail) }

// request is one client attempt, or one call of a backend server.
type request struct {
	standin.PlatformRequest
	host      *host // where it began
	route     *route
	workspace string
	at        time.Time
	runs      []standin.ReceivedRequest
	ended     time.Time // zero while it waits
	status    int       // 0 for a connection that ended without an answer
}

// ledger holds what callers and backend servers saw, and checks it as it comes.
type ledger struct {
	mu        sync.Mutex
	requests  map[string]*request
	breaches  []Violation
	routes    map[string]*route // that any version ever held, by host name
	keys      map[string]string // workspace of each key that any version ever held
	disturbed []span            // unplanned faults, wherever they strike
	stops     []span            // planned stops of hosts
	paused    []span            // of hosts
}

// span is a time in which something happened to a host, or to the fleet if host is
// nil.
type span struct {
	host     *host
	from, to time.Time // to is zero while it lasts
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, routes: map[string]*route{}, keys: map[string]string{}}
}

// breach notes a broken promise. l.mu is held.
func (l *ledger) breach(rule, id, format string, args ...any) {
	l.breaches = append(l.breaches, Violation{rule, id, fmt.Sprintf(format, args...)})
}

func (l *ledger) fail(rule, id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(rule, id, format, args...)
}

// knows adds what a version of the configuration holds, before it is written.
func (l *ledger) knows(v *version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range v.routes {
		l.routes[v.routes[i].host] = &v.routes[i]
	}
	for key, workspace := range v.keys {
		l.keys[key] = workspace
	}
}

// sent notes a request before its first byte is sent.
func (l *ledger) sent(h *host, p *standin.PlatformRequest, workspace string, at time.Time) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &request{PlatformRequest: *p, host: h, route: l.routes[p.Host], workspace: workspace, at: at}
	l.requests[p.ID] = r
	return r
}

// ran checks a request that a backend server has begun to work on.
func (l *ledger) ran(h *host, run standin.ReceivedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[run.ID]
	if r == nil {
		l.breach("UNASKED", run.ID, "nobody sent the request that ran on %s", run.Instance)
		return
	}
	r.runs = append(r.runs, run)
	switch {
	case run.Key != "":
		l.breach("UNASKED", run.ID, "the key reached %s", run.Instance)
	case run.Method != r.Method || run.Path != r.Path || run.PlatformRequest.Host != r.Host || run.Body != r.Body:
		l.breach("UNASKED", run.ID, "%s got %s %s%s %q", run.Instance, run.Method, run.PlatformRequest.Host, run.Path, run.Body)
	case run.Tenant != r.workspace:
		l.breach("UNASKED", run.ID, "ran for workspace %q, not %q", run.Tenant, r.workspace)
	case run.Origin != r.host.service:
		l.breach("UNASKED", run.ID, "began at %q, the server was told %q", r.host.service, run.Origin)
	case r.route == nil || r.route.service != run.Service:
		l.breach("ROUTE", run.ID, "no version sends %s to %s", r.Host, run.Service)
	}
	if r.route == nil {
		return
	}
	if !r.route.idempotent && len(r.runs) > 1 {
		l.breach("TWICE", run.ID, "ran on %s and %s", r.runs[0].Instance, run.Instance)
	}
	if len(r.runs) > r.route.attempts {
		l.breach("BUDGET", run.ID, "ran %d times, the route allows %d", len(r.runs), r.route.attempts)
	}
	if !r.ended.IsZero() && r.promisedNotRun() {
		l.breach("REFUSED", run.ID, "runs on %s after it was answered %d", run.Instance, r.status)
	}
	if since, ok := h.leavingSince(); ok && run.At.After(since) && !overlaps(l.paused, h, since.Add(-drainTime), run.At) {
		l.breach("DRAIN", run.ID, "reached %s %v after it was to get no new work", run.Instance, run.At.Sub(since))
	}
}

func (r *request) promisedNotRun() bool {
	if r.route == nil || r.route.idempotent {
		return false
	}
	switch r.status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// ended checks what the caller of a request got. status is 0 if the connection
// ended without a whole answer; wrong is what is wrong with the answer, or "".
func (l *ledger) ended(r *request, status int, wrong string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.status = at, status
	switch {
	case wrong != "":
		l.breach("MIXED", r.ID, "status %d: %s", status, wrong)
	case r.promisedNotRun() && len(r.runs) > 0:
		l.breach("REFUSED", r.ID, "answered %d, but ran on %s", status, r.runs[0].Instance)
	}
	calm := !overlaps(l.disturbed, nil, r.at.Add(-contactTime), at)
	waited := at.Sub(r.at)
	if status == 0 && calm && overlaps(l.stops, r.host, r.at, at) && (len(r.runs) > 0 || waited > lossSlack) {
		l.breach("LOST", r.ID, "no answer after %v at %s, which was stopped as planned", waited, r.host.name())
	}
	if r.route != nil && calm && waited > r.route.timeout+answerSlack {
		l.breach("CONFIG", r.ID, "the answer %d came after %v at %s, the route's timeout is %v", status, waited, r.host.name(), r.route.timeout)
	}
}

// overlaps reports whether one of the spans of a host overlaps a time.
func overlaps(spans []span, h *host, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		return s.host == h && s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// mark adds a span that begins now and returns what ends it.
func (l *ledger) mark(spans *[]span, h *host) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(*spans)
	*spans = append(*spans, span{host: h, from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		(*spans)[i].to = time.Now()
	}
}

// checkSums checks the promises about sums over time.
func (l *ledger) checkSums() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkQuota()
	l.checkBudget()
}

// checkQuota counts the requests of a workspace that were both sent and run in a
// window.
func (l *ledger) checkQuota() {
	for _, w := range workspaces {
		if w.rate == 0 {
			continue
		}
		type pair struct{ sent, ran time.Time }
		var all []pair
		for _, r := range l.requests {
			if r.workspace == w.name && len(r.runs) > 0 {
				all = append(all, pair{r.at, r.runs[0].At})
			}
		}
		slices.SortFunc(all, func(a, b pair) int { return a.sent.Compare(b.sent) })
		limit := (w.rate*quotaWindow.Seconds()+w.burst)*(1+quotaExcess) + quotaSlack
		most := 0
		for i := range all {
			count, end := 0, all[i].sent.Add(quotaWindow)
			for _, p := range all[i:] {
				if p.sent.After(end) {
					break
				}
				if !p.ran.After(end) {
					count++
				}
			}
			most = max(most, count)
		}
		if float64(most) > limit {
			l.breach("QUOTA", "", "workspace %s got %d requests in %v, at most %.0f are permitted", w.name, most, quotaWindow, limit)
		}
	}
}

// checkBudget compares the repeats of each service with its requests.
func (l *ledger) checkBudget() {
	for _, service := range []string{serviceDesk, serviceOrders, serviceCounts} {
		var sent, repeats []time.Time
		for _, r := range l.requests {
			if r.route == nil || r.route.service != service {
				continue
			}
			sent = append(sent, r.at)
			for _, run := range r.runs[min(1, len(r.runs)):] {
				repeats = append(repeats, run.At)
			}
		}
		for _, from := range repeats {
			got, most := count(repeats, from, budgetWindow), 0
			for _, back := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
				most = max(most, count(sent, from.Add(-back), budgetWindow))
			}
			if float64(got) > budgetRatio*float64(most)+budgetSlack {
				l.breach("BUDGET", "", "%d repeats at %s within %v, with %d requests", got, service, budgetWindow, most)
				break
			}
		}
	}
}

// count returns how many of the times are in a window.
func count(times []time.Time, from time.Time, window time.Duration) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// served returns the requests of a workspace that were sent in a span, and how many
// of them were answered with success.
func (l *ledger) served(workspace string, from, to time.Time) (served, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.workspace != workspace || r.at.Before(from) || r.at.After(to) {
			continue
		}
		all++
		if r.status == 200 {
			served++
		}
	}
	return served, all
}

// shown returns the breaches, a few of each rule, as lines.
func shown(breaches []Violation) string {
	var b strings.Builder
	count := map[string]int{}
	for _, x := range breaches {
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

// successes returns how many requests were answered with success.
func (l *ledger) successes() (n int) {
	for _, r := range l.requests {
		if r.status == 200 {
			n++
		}
	}
	return n
}

// holder returns the workspace of a key.
func (l *ledger) holder(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}
