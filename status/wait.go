package status

import (
	"context"
	"net/http"
	"time"
)

// waitPause is the time between two polls of Wait.
const waitPause = 100 * time.Millisecond

// Waiter waits until a configuration version is in force.
type Waiter struct {
	Client    *http.Client
	Addresses []string // operators listeners, ip:port
	// Pause waits between polls; nil means a timer.
	Pause func(ctx context.Context, d time.Duration)
}

// Wait asks the nodes until all of them have version, or a higher one, in force
// or ctx ends, and tells where it is in force. A version in force never
// reverts, so a node that has it is not asked again.
func (w Waiter) Wait(ctx context.Context, version uint64) Rollout {
	results := make([]Result, len(w.Addresses))
	open := make([]int, len(w.Addresses)) // indexes of the nodes to ask
	for i := range open {
		open[i] = i
	}
	for first := true; ; first = false {
		addresses := make([]string, len(open))
		for k, i := range open {
			addresses[k] = w.Addresses[i]
		}
		var behind []int
		for k, r := range FetchAll(ctx, w.Client, addresses) {
			i := open[k]
			if r.Err == nil || first || ctx.Err() == nil { // an exchange cut off by ctx tells nothing new
				results[i] = r
			}
			if results[i].Err != nil || results[i].Node.Version < version {
				behind = append(behind, i)
			}
		}
		open = behind
		if len(open) == 0 || ctx.Err() != nil {
			return Summarise(version, results)
		}
		w.pause(ctx)
	}
}

func (w Waiter) pause(ctx context.Context) {
	if w.Pause != nil {
		w.Pause(ctx, waitPause)
		return
	}
	timer := time.NewTimer(waitPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
