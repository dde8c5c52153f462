package sidecar

import (
	"time"

	"github.com/dotterelseam/dotterelseam/node"
)

// Longest parts of a planned stop besides the time for requests in flight.
const (
	// stopReserve is reserved for the last log lines and the exit of the process.
	stopReserve = time.Second
	// drainDelay is how long a stopping node still accepts requests, until callers and
	// other nodes have learnt that it is not ready any more.
	drainDelay = 2200 * time.Millisecond
)

// Each part takes at most the stop limit divided by its divisor, so that a quarter of a short
// limit is left for the requests that were accepted last.
const (
	reserveDivisor       = 6
	drainDelayDivisor    = 2
	shutdownDelayDivisor = 12
)

// stopParts are the parts of a planned stop besides the time for requests in flight.
type stopParts struct{ reserve, drainDelay, shutdownDelay time.Duration }

// partsOfStop returns the parts of a stop that has to end within limit.
func partsOfStop(limit time.Duration) stopParts {
	return stopParts{
		reserve:       min(stopReserve, limit/reserveDivisor),
		drainDelay:    min(drainDelay, limit/drainDelayDivisor),
		shutdownDelay: min(node.DefaultShutdownDelay, limit/shutdownDelayDivisor),
	}
}
