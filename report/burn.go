package report

import "time"

// Windows of the burn rates. An alert needs both windows of its pair, so that it
// ends soon after its cause and does not fire for a short disturbance.
var windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Places in the list of windows.
const (
	window5m = iota
	window30m
	window1h
	window6h
)

// Burn rates from which an alert fires, as in Google's SRE workbook: at 14.4, a
// budget of 30 days loses 2% in an hour; at 6, it loses 5% in 6 hours.
const (
	FastBurnRate = 14.4 // windows of 5 min and 1 h
	SlowBurnRate = 6    // windows of 30 min and 6 h
)

// AlertState is the state of a pair of windows.
type AlertState string

// The states of an alert. AlertNone means that the route has no objective for its
// availability.
const (
	AlertNone   AlertState = "none"
	AlertNoData AlertState = "no_data" // no requests that count in one of the windows
	AlertOK     AlertState = "ok"
	AlertFiring AlertState = "firing"
)

// Window is what happened in the last part of the time.
type Window struct {
	Window   string   `json:"window"`
	Counted  uint64   `json:"counted"` // requests, good and bad
	Bad      uint64   `json:"bad"`
	BurnRate *float64 `json:"burn_rate"` // null without an objective or requests
}

// burnRate returns how many times faster than allowed the budget is used up.
func burnRate(counted, bad uint64, availability float64) *float64 {
	if counted == 0 || availability <= 0 || availability >= 1 {
		return nil
	}
	rate := float64(bad) / float64(counted) / (1 - availability)
	return &rate
}

// budgetLeft returns the part of the allowed bad requests that is left, which is
// negative when more were bad.
func budgetLeft(counted, bad uint64, availability float64) *float64 {
	burned := burnRate(counted, bad, availability)
	if burned == nil {
		return nil
	}
	left := 1 - *burned
	return &left
}

// alert returns the state of a pair of windows.
func alert(short, long *Window, threshold, availability float64) AlertState {
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
