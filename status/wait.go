package status

import (
	"context"
	"net/http"
	"time"
)

// pollInterval is the pause between two polls of Wait.
const pollInterval = 100 * time.Millisecond

// Waiter waits until a configuration version is in force.
type Waiter struct {
	Client    *http.Client
	Addresses []string // operators listeners, ip:port
	// Pause waits between polls. If it is nil, a timer is used.
	Pause func(ctx context.Context, d time.Duration)
}

// Wait polls the nodes until version or a higher one is in force on all of them, or
// until ctx ends, and returns the progress. A node never returns to a lower
// version, so a node that has reached it is not polled again.
func (w Waiter) Wait(ctx context.Context, version uint64) Rollout {
	results := make([]Result, len(w.Addresses))
	remaining := make([]int, len(w.Addresses)) // indexes of the nodes to poll
	for i := range remaining {
		remaining[i] = i
	}
	for first := true; ; first = false {
		addresses := make([]string, len(remaining))
		for k, i := range remaining {
			addresses[k] = w.Addresses[i]
		}
		var behind []int
		for k, r := range FetchAll(ctx, w.Client, addresses) {
			i := remaining[k]
			if r.Err == nil || first || ctx.Err() == nil { // a request that ctx cancelled gives no new information
				results[i] = r
			}
			if results[i].Err != nil || results[i].Node.Version < version {
				behind = append(behind, i)
			}
		}
		remaining = behind
		if len(remaining) == 0 || ctx.Err() != nil {
			return Summarise(version, results)
		}
		w.pause(ctx)
	}
}

func (w Waiter) pause(ctx context.Context) {
	if w.Pause != nil {
		w.Pause(ctx, pollInterval)
		return
	}
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
