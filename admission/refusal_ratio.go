package admission

import "math"

// refusalRatioTimeConstant is the time constant of the decay of a refusalRatio, in
// nanoseconds.
const refusalRatioTimeConstant = 300e6

// refusalRatio computes the fraction of recent requests that were refused, from
// counts with exponential decay. The decay is applied only when a request arrives, so
// the fraction is that of the time of the latest arrival.
type refusalRatio struct {
	updatedAt      int64 // nanoseconds
	total, refused float64
}

// recordArrival counts a request and applies the decay up to now.
func (r *refusalRatio) recordArrival(now int64) {
	if elapsed := float64(now - r.updatedAt); elapsed > 0 {
		decay := math.Exp(-elapsed / refusalRatioTimeConstant)
		r.total, r.refused = r.total*decay, r.refused*decay
		r.updatedAt = now
	}
	r.total++
}

func (r *refusalRatio) value() float64 { return min(r.refused/max(r.total, 1), 1) }
