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
	// Unreadable is the value that named a limit but is not a number. RateLimit is then not
	// valid. It is empty otherwise.
	Unreadable string
}

// ReadSignals returns the signals of a response that names a rate limit with the value
// limit, or none if it is empty.
func ReadSignals(limit string) Signals {
	if limit == "" {
		return Signals{RateLimit: NoRateLimit}
	}
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Signals{Unreadable: limit}
	}
	return Signals{RateLimit: perSecond}
}
