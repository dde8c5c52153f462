package edge

import (
	"math"
	"strconv"
)

// NoRateLimit is the RateLimit of a backend server that takes any number of requests.
var NoRateLimit = math.Inf(1)

// Signals is what a backend server says about itself in a response.
type Signals struct {
	// RateLimit is the number of requests per second that it takes from all nodes together,
	// not negative; NoRateLimit if it names none.
	RateLimit float64
	// UnreadableLimit is the value that named a limit but is not a number. RateLimit is then
	// not valid. It is empty otherwise.
	UnreadableLimit string
	// Leaving is set if the backend server takes no new requests any more until it ends.
	Leaving bool
	// UnreadableLeaving is the value that said whether the backend server leaves but is not
	// a truth value. It is empty otherwise.
	UnreadableLeaving string
}

// ReadSignals returns the signals of a response in which the header fields for the rate
// limit and for leaving have these values; empty ones are missing.
func ReadSignals(limit, leaving string) Signals {
	s := Signals{RateLimit: NoRateLimit}
	if limit != "" {
		s.RateLimit, s.UnreadableLimit = parseRateLimit(limit)
	}
	if leaving != "" {
		var err error
		if s.Leaving, err = strconv.ParseBool(leaving); err != nil {
			s.UnreadableLeaving = leaving
		}
	}
	return s
}

// parseRateLimit returns the limit, or value itself if it is not one.
func parseRateLimit(value string) (perSecond float64, unreadable string) {
	perSecond, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, value
	}
	return perSecond, ""
}
