// Package interrupt cancels a blocked call, so that the caller can repeat it at once.
package interrupt

import (
	"context"
	"sync"
)

// Interrupter cancels the call in progress. The zero value is ready for use. Context
// must not be called again before done of the previous call. Interrupt may be called
// concurrently with all other methods.
type Interrupter struct {
	mu     sync.Mutex
	cancel context.CancelFunc // nil while no call is in progress
}

// Context returns a context for one call, which Interrupt cancels. done must be called
// after the call.
func (i *Interrupter) Context(ctx context.Context) (call context.Context, done func()) {
	call, cancel := context.WithCancel(ctx)
	i.mu.Lock()
	i.cancel = cancel
	i.mu.Unlock()
	return call, func() {
		i.mu.Lock()
		i.cancel = nil
		i.mu.Unlock()
		cancel()
	}
}

// Interrupt cancels the call in progress, if there is one.
func (i *Interrupter) Interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel != nil {
		i.cancel()
	}
}
