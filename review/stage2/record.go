package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file with all that was sent, answered and run. It is safe for concurrent
// use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

// since returns the seconds from the start of the case to t.
func (r *record) since(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// add writes one line with the present time.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.since(t), fmt.Sprintf(format, args...)) // the result does not depend on the file
}

// say writes a line to the file and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f %s\n", r.since(time.Now()), fmt.Sprintf(format, args...))
}
