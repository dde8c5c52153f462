package admission

import "math"

// refusalRatioTimeConstant is the time constant, in nanoseconds, of the part of refused
// requests.
const refusalRatioTimeConstant = 300e6

// refusalRatio finds which part of the requests was refused lately, from decayed
// counts.
type refusalRatio struct {
	updatedAt      int64
	total, refused float64
}

// recordArrival counts a request.
func (r *refusalRatio) recordArrival(now int64) {
	if passed := float64(now - r.updatedAt); passed > 0 {
		keep := math.Exp(-passed / refusalRatioTimeConstant)
		r.total, r.refused = r.total*keep, r.refused*keep
		r.updatedAt = now
	}
	r.total++
}

func (r *refusalRatio) value() float64 { return min(r.refused/max(r.total, 1), 1) }
