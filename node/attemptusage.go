package node

import (
	"sync"
	"sync/atomic"

	"github.com/dotterelseam/dotterelseam/config"
)

// attemptUsage holds, for each route of a service, the most attempts that the call
// tree of a successful call has used. It is safe for concurrent use.
type attemptUsage struct{ byPattern sync.Map }

// maxAttemptsUsed returns the most attempts that a successful call of the route has
// used, or 0 if there was none.
func (u *attemptUsage) maxAttemptsUsed(r *config.Route) int {
	if v, ok := u.byPattern.Load(r.Pattern); ok {
		return int(v.(*atomic.Int64).Load())
	}
	return 0
}

// recordAttemptsUsed records the attempts that a successful call has used.
func (u *attemptUsage) recordAttemptsUsed(r *config.Route, used int) {
	v, ok := u.byPattern.Load(r.Pattern)
	if !ok {
		v, _ = u.byPattern.LoadOrStore(r.Pattern, new(atomic.Int64))
	}
	most := v.(*atomic.Int64)
	for {
		old := most.Load()
		if int64(used) <= old || most.CompareAndSwap(old, int64(used)) {
			return
		}
	}
}
