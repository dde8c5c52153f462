package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/dotterelseam/dotterelseam/config"
)

// clockTolerance is the fraction of every rate that is withheld, because a
// host's clock runs up to 500 ppm fast while a time service slews it.
const clockTolerance = 0.0005

// Limit is a rate and burst of one workspace, such as a data centre's
// entitlement or what a borrower holds.
type Limit struct {
	Rate  float64 `cbor:"1,keyasint"` // requests per second
	Burst float64 `cbor:"2,keyasint"` // requests
}

func (l Limit) min(o Limit) Limit {
	return Limit{min(l.Rate, o.Rate), min(l.Burst, o.Burst)}
}

// Entitlements returns the part of each workspace's limit that a data centre
// owns. Bursts are divided in whole requests by the largest remainder method,
// because a fraction of a request cannot be served. A data centre whose part of
// the burst is below one request owns nothing of that workspace and has to
// borrow; its rate goes to the others.
func Entitlements(fleet *config.Fleet, dataCentre string) map[string]Limit {
	out := make(map[string]Limit, len(fleet.Workspaces))
	for _, w := range fleet.Workspaces {
		if l, ok := divideLimit(fleet.DataCentres, w)[dataCentre]; ok {
			out[w.Name] = l
		}
	}
	return out
}

type dcPart struct {
	name         string
	share, whole float64
	remainder    float64
}

// divideLimit divides a workspace's limit among the data centres by their
// shares. It depends on the configuration only, so all data centres compute the
// same result.
func divideLimit(dcs []config.DataCentre, w config.Workspace) map[string]Limit {
	parts, left, shareSum := make([]dcPart, 0, len(dcs)), 0.0, 0.0
	for _, dc := range dcs {
		if dc.Share <= 0 {
			continue
		}
		whole, remainder := math.Modf(w.Burst * dc.Share)
		parts = append(parts, dcPart{dc.Name, dc.Share, whole, remainder})
		shareSum += dc.Share
		left -= whole
	}
	left += math.Floor(w.Burst*min(shareSum, 1) + 1e-9) // 1e-9: the shares 0.1 + 0.2 + 0.7 add up to just below 1
	slices.SortFunc(parts, func(a, b dcPart) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.name, b.name))
	})
	servedShare := 0.0
	for i := range parts {
		if left >= 1 {
			parts[i].whole++
			left--
		}
		if parts[i].whole >= 1 {
			servedShare += parts[i].share
		}
	}
	limits := make(map[string]Limit, len(parts))
	for _, p := range parts {
		if p.whole >= 1 {
			rate := w.Rate * (1 - clockTolerance) * min(shareSum, 1) * p.share / servedShare
			limits[p.name] = Limit{Rate: quantise(rate), Burst: quantise(min(p.whole, w.Burst))}
		}
	}
	return limits
}
