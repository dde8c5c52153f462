package admission

import "math"

// refusalMemory is the time constant, in nanoseconds, of the part of refused
// requests.
const refusalMemory = 300e6

// refusalPart finds which part of the requests was refused lately, from decayed
// counts.
type refusalPart struct {
	at             int64
	total, refused float64
}

// arrived counts a request.
func (r *refusalPart) arrived(now int64) {
	if passed := float64(now - r.at); passed > 0 {
		keep := math.Exp(-passed / refusalMemory)
		r.total, r.refused = r.total*keep, r.refused*keep
		r.at = now
	}
	r.total++
}

func (r *refusalPart) part() float64 { return min(r.refused/max(r.total, 1), 1) }
