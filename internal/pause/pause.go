// Package pause provides a sleep that ends with a context.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx ends. If d is 0 or
// less, it does not wait and returns whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
