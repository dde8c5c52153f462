package admission

import "math"

const (
	// usageHalfLife is the half-life of the recorded usage, in nanoseconds. It
	// bounds the advantage that a workspace gains by being idle.
	usageHalfLife = int64(1e9)
	// maxTrackedWorkspaces is the number of workspaces above which those with
	// negligible usage are removed.
	maxTrackedWorkspaces = 1024
	// negligibleUsage is the number of served requests, after decay, below which the
	// usage of a workspace may be removed.
	negligibleUsage = 0.5
)

// usage is the recent usage of the backend server by one workspace.
type usage struct {
	served float64 // admitted requests, with exponential decay
	queued int     // requests in the queue
}

// demand is the usage that decides which workspace loses a request from a full
// queue: the requests served and those in the queue.
func (u *usage) demand() float64 { return u.served + float64(u.queued) }

// usageTable holds the usage of all workspaces. All entries decay at the same time,
// so comparing two of them does not depend on the time.
type usageTable struct {
	byWorkspace map[string]*usage
	halfLives   int64 // half-lives that have been applied
}

func newUsageTable() usageTable { return usageTable{byWorkspace: map[string]*usage{}} }

// get returns the usage of a workspace, decayed up to now, and creates it if needed.
func (t *usageTable) get(now int64, workspace string) *usage {
	if n := now / usageHalfLife; n > t.halfLives {
		t.decay(n - t.halfLives)
		t.halfLives = n
	}
	u, ok := t.byWorkspace[workspace]
	if !ok {
		u = &usage{}
		t.byWorkspace[workspace] = u
	}
	return u
}

func (t *usageTable) decay(halfLives int64) {
	factor := math.Exp2(-float64(halfLives))
	prune := len(t.byWorkspace) > maxTrackedWorkspaces
	for name, u := range t.byWorkspace {
		u.served *= factor
		if prune && u.queued == 0 && u.served < negligibleUsage {
			delete(t.byWorkspace, name)
		}
	}
}
