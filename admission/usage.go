package admission

import "math"

const (
	// usageHalfLife is the time in which served work loses half of its weight,
	// nanoseconds. It bounds the credit of a workspace that was idle.
	usageHalfLife = int64(1e9)
	// maxTrackedWorkspaces bounds the memory for workspaces that are no longer seen.
	maxTrackedWorkspaces = 1024
	// negligibleUsage is the weight below which a share may be dropped.
	negligibleUsage = 0.5
)

// usage is the recent service that one workspace received.
type usage struct {
	served float64 // requests admitted, decayed
	queued int     // requests waiting now
}

// demand orders workspaces for displacement: service received plus service
// already claimed by waiting requests.
func (s *usage) demand() float64 { return s.served + float64(s.queued) }

// usage holds the shares of all workspaces. All of them decay together, so that
// comparisons between them never need the time.
type usageTable struct {
	byWorkspace map[string]*usage
	halfLives   int64 // number of half-lives passed
}

func newUsageTable() usageTable { return usageTable{byWorkspace: map[string]*usage{}} }

func (s *usageTable) get(now int64, workspace string) *usage {
	if p := now / usageHalfLife; p > s.halfLives {
		s.decay(p - s.halfLives)
		s.halfLives = p
	}
	sh, ok := s.byWorkspace[workspace]
	if !ok {
		sh = &usage{}
		s.byWorkspace[workspace] = sh
	}
	return sh
}

func (s *usageTable) decay(periods int64) {
	factor := math.Exp2(-float64(periods))
	prune := len(s.byWorkspace) > maxTrackedWorkspaces
	for name, sh := range s.byWorkspace {
		sh.served *= factor
		if prune && sh.queued == 0 && sh.served < negligibleUsage {
			delete(s.byWorkspace, name)
		}
	}
}
