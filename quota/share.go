// Package quota bounds what each workspace receives from the whole fleet. The
// bound of a workspace is split into shares, each a token bucket of its own, and
// shares move between nodes by being deducted at the sender first.
package quota

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of this package. Callers of Bucket see *refusal.Refusal only.
var (
	// ErrStale is the class of reports that a newer one has overtaken.
	ErrStale = errs.Class("quota: stale report")
	// ErrLedger is the class of reports that claim more than was lent.
	ErrExceedsLent = errs.Class("quota: report exceeds the ledger")
	// ErrMalformed is the class of undecodable messages.
	ErrMalformed = errs.Class("quota: malformed message")
)

// Share is a part of a workspace's bound. A share with a lease is worth
// nothing after the lease.
type Share struct {
	Rate  float64 `cbor:"1,keyasint"` // requests per second
	Burst float64 `cbor:"2,keyasint"` // requests
	Level float64 `cbor:"3,keyasint"` // requests that may be served now, at most Burst
}

// steps is the resolution of rates and bursts. Multiples of a power of two are
// added and subtracted without rounding, so a ledger does not drift.
const stepsPerUnit = 1 << 12

// quantise rounds down to the resolution; negative values become 0.
func quantise(x float64) float64 {
	return math.Floor(max(x, 0)*stepsPerUnit) / stepsPerUnit
}

// fill adds what accrues in d, up to limit.
func (s *Share) fill(elapsed time.Duration, maxLevel float64) {
	if elapsed > 0 && s.Rate > 0 {
		s.Level += s.Rate * elapsed.Seconds()
	}
	s.Level = max(0, min(s.Level, maxLevel))
}

// reduce cuts the share down to the given rate and burst, but not below keep
// of burst, and returns the level that no longer fits.
func (s *Share) reduce(rate, burst, reserved float64) (level float64) {
	s.Rate = min(s.Rate, rate)
	s.Burst = min(s.Burst, max(burst, math.Ceil(reserved)))
	level = max(0, s.Level-max(0, s.Burst-reserved))
	s.Level -= level
	return quantise(level)
}

// round shortens an estimate for a message.
func roundDemand(x float64) float64 { return math.Ceil(x*16) / 16 }
