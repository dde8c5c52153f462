// Package quota limits the request rate of each workspace over the whole fleet.
// The limit of a workspace is divided into shares, each a token bucket of its
// own. A share is deducted at the sender before it is added at the receiver, so
// the shares never add up to more than the limit.
//
// In each data centre one node, the holder, owns the data centre's part of
// every limit, its entitlement. The Holder lends shares to the nodes, whose
// Borrower adds them to a Bucket. A LoanBorrower borrows from the holder of
// another data centre. Shares are lent on a lease, which package lease times.
//
// The holder row, a row of the platform's table for each data centre, names the
// holder. Each new holder has a new, higher epoch.
package quota

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of this package. The methods of Bucket return *refusal.Refusal
// instead.
var (
	// ErrStale is the class of reports and answers that arrive after a newer one.
	ErrStale = errs.Class("quota: stale report")
	// ErrExceedsLent is the class of reports that claim more than was lent.
	ErrExceedsLent = errs.Class("quota: report exceeds the ledger")
	// ErrMalformed is the class of messages and stored states that cannot be
	// decoded.
	ErrMalformed = errs.Class("quota: malformed message")
)

// Share is a part of a workspace's limit: a token bucket. A lent share is
// dropped when its lease ends.
type Share struct {
	Rate  float64 `cbor:"1,keyasint"` // requests per second
	Burst float64 `cbor:"2,keyasint"` // requests
	Level float64 `cbor:"3,keyasint"` // requests that may be served now, at most Burst
}

// stepsPerUnit is the resolution of rates and bursts. Multiples of a negative
// power of two are added and subtracted without rounding errors, so the sums of
// lent shares do not drift.
const stepsPerUnit = 1 << 12

// quantise rounds down to a multiple of 1/stepsPerUnit; negative values become 0.
func quantise(x float64) float64 {
	return math.Floor(max(x, 0)*stepsPerUnit) / stepsPerUnit
}

// fill adds the level that accrues in the elapsed time, up to maxLevel.
func (s *Share) fill(elapsed time.Duration, maxLevel float64) {
	if elapsed > 0 && s.Rate > 0 {
		s.Level += s.Rate * elapsed.Seconds()
	}
	s.Level = max(0, min(s.Level, maxLevel))
}

// reduce lowers the share to the given rate and burst, but the burst not below
// reserved, and returns the level that no longer fits.
func (s *Share) reduce(rate, burst, reserved float64) (level float64) {
	s.Rate = min(s.Rate, rate)
	s.Burst = min(s.Burst, max(burst, math.Ceil(reserved)))
	level = max(0, s.Level-max(0, s.Burst-reserved))
	s.Level -= level
	return quantise(level)
}

// roundDemand rounds up to a multiple of 1/16, which has a short encoding.
func roundDemand(x float64) float64 { return math.Ceil(x*16) / 16 }
