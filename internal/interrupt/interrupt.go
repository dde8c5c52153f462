// Package interrupt ends a waiting call early, so that it can be made again.
package interrupt

import (
	"context"
	"sync"
)

// Interrupter holds the call that waits at present. The zero value is ready. It is safe
// for concurrent use.
type Interrupter struct {
	mu     sync.Mutex
	cancel context.CancelFunc // nil while no call waits
}

// Context returns the context for a call, which Interrupt ends. done must be called
// after the call.
func (w *Interrupter) Context(ctx context.Context) (call context.Context, done func()) {
	call, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	w.cancel = cancel
	w.mu.Unlock()
	return call, func() {
		w.mu.Lock()
		w.cancel = nil
		w.mu.Unlock()
		cancel()
	}
}

// Interrupt ends the call that waits, if there is one.
func (w *Interrupter) Interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}
