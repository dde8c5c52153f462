package report

import "time"

// windows are the windows of the burn rates. An alert fires only if both windows of
// its pair exceed the threshold: the long one prevents alerts for short
// disturbances, and the short one ends the alert soon after its cause.
var windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Indexes of windows.
const (
	window5m = iota
	window30m
	window1h
	window6h
)

// Burn rates at which an alert fires, as in Google's SRE workbook: at 14.4, a budget
// for 30 days loses 2% in an hour; at 6, it loses 5% in 6 hours.
const (
	FastBurnRate = 14.4 // windows of 5 min and 1 h
	SlowBurnRate = 6    // windows of 30 min and 6 h
)

// AlertState is the state of the alert for a pair of windows.
type AlertState string

// The states of an alert. AlertNone means that the route has no availability
// objective.
const (
	AlertNone   AlertState = "none"
	AlertNoData AlertState = "no_data" // no counted requests in at least one of the windows
	AlertOK     AlertState = "ok"
	AlertFiring AlertState = "firing"
)

// Window holds the request counts and the burn rate of a period that ends at the time
// of the report.
type Window struct {
	Window   string   `json:"window"`  // length, such as 5m
	Counted  uint64   `json:"counted"` // requests that count in the budget, good and bad
	Bad      uint64   `json:"bad"`
	BurnRate *float64 `json:"burn_rate"` // null without an objective or counted requests
}

// burnRate returns the fraction of bad requests divided by the allowed fraction, or
// nil without counted requests or an objective.
func burnRate(counted, bad uint64, availability float64) *float64 {
	if counted == 0 || availability <= 0 || availability >= 1 {
		return nil
	}
	rate := float64(bad) / float64(counted) / (1 - availability)
	return &rate
}

// remainingBudget returns the fraction of the allowed bad requests that is left, or
// nil without counted requests or an objective. It is negative if more requests were
// bad than allowed.
func remainingBudget(counted, bad uint64, availability float64) *float64 {
	burned := burnRate(counted, bad, availability)
	if burned == nil {
		return nil
	}
	left := 1 - *burned
	return &left
}

// alertState returns the state of the alert for a pair of windows.
func alertState(short, long *Window, threshold, availability float64) AlertState {
	switch {
	case availability <= 0 || availability >= 1:
		return AlertNone
	case short.BurnRate == nil || long.BurnRate == nil:
		return AlertNoData
	case *short.BurnRate >= threshold && *long.BurnRate >= threshold:
		return AlertFiring
	}
	return AlertOK
}
