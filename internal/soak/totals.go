package soak

import (
	"slices"
	"time"
)

// checkAggregates checks the guarantees about totals over time windows.
func (c *checker) checkAggregates() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkQuota()
	c.checkRateLimits()
	c.checkRetryBudget()
}

// checkQuota checks the number of requests of each workspace that were both sent and
// run within a window. The caller holds c.mu.
func (c *checker) checkQuota() {
	for _, w := range workspaces {
		if w.rate == 0 {
			continue
		}
		type pair struct{ sent, ran time.Time }
		var all []pair
		for _, r := range c.requests {
			if r.workspace == w.name && len(r.runs) > 0 {
				all = append(all, pair{r.at, r.runs[0].At})
			}
		}
		slices.SortFunc(all, func(a, b pair) int { return a.sent.Compare(b.sent) })
		limit := (w.rate*quotaWindow.Seconds()+w.burst)*(1+quotaExcessRatio) + quotaSlack
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
			c.recordLocked("QUOTA", "", "workspace %s: %d requests ran within %v, at most %.0f are permitted", w.name, most, quotaWindow, limit)
		}
	}
}

// checkRetryBudget checks the number of retries to each service against its number of
// requests. Each window of retries is compared with the largest of three windows of
// requests: the same one and those half a window and a whole window earlier. The
// caller holds c.mu.
func (c *checker) checkRetryBudget() {
	for _, service := range []string{serviceDesk, serviceOrders, serviceCounts} {
		var sent, retries []time.Time
		for _, r := range c.requests {
			if r.route == nil || r.route.service != service {
				continue
			}
			sent = append(sent, r.at)
			for _, run := range r.runs[min(1, len(r.runs)):] {
				retries = append(retries, run.At)
			}
		}
		for _, from := range retries {
			got, most := countWithin(retries, from, retryBudgetWindow), 0
			for _, back := range []time.Duration{0, retryBudgetWindow / 2, retryBudgetWindow} {
				most = max(most, countWithin(sent, from.Add(-back), retryBudgetWindow))
			}
			if float64(got) > retryBudgetRatio*float64(most)+retryBudgetSlack {
				c.recordLocked("BUDGET", "", "%d retries to %s within %v, with %d requests", got, service, retryBudgetWindow, most)
				break
			}
		}
	}
}

// countWithin returns how many of the times are within the window that starts at from.
func countWithin(times []time.Time, from time.Time, window time.Duration) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// countServedBetween returns how many requests of a workspace that were sent in a
// period got status 200, and how many were sent in all.
func (c *checker) countServedBetween(workspace string, from, to time.Time) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
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

// countServed returns how many requests got status 200. It must be called after all
// callers have stopped.
func (c *checker) countServed() (n int) {
	for _, r := range c.requests {
		if r.status == 200 {
			n++
		}
	}
	return n
}
