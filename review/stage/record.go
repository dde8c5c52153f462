package stage

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, w: bufio.NewWriter(file)}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), line) // Flush returns the error
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.file.Close()
}

// contextUntil returns a context that ends when stop is closed.
func contextUntil(stop <-chan struct{}) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	return ctx
}
