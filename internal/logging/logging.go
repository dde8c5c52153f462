// Package logging provides the logger of the daemons. It writes one line of key=value
// pairs for each event. A separate goroutine writes the lines, so that a slow or
// blocked output does not delay the callers.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/settings"
)

const (
	// bufferBytes is the maximum size of the lines that wait for the output. Further
	// lines are dropped and counted.
	bufferBytes = 256 << 10
	// maxValueBytes is the length to which a value is truncated.
	maxValueBytes = 512
	// flushInterval is how long lines are collected for one write, so that a busy node
	// makes few writes.
	flushInterval = 50 * time.Millisecond
)

// Writer queues the lines of the loggers made by New and writes them to an output in
// the background. The callers of the loggers never wait for the output. It is safe
// for concurrent use.
type Writer struct {
	out io.Writer

	mu           sync.Mutex
	pending      []byte
	dropped      int    // lines dropped that no log_dropped line has reported yet
	droppedTotal uint64 // lines dropped since the start
	wake         chan struct{}
	closed       bool
	done         chan struct{}
}

// NewWriter returns a writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// writeLine queues one line, given without its newline, or drops it if the buffer is
// full or the writer is closed.
func (w *Writer) writeLine(b []byte) {
	w.mu.Lock()
	if len(w.pending)+len(b) > bufferBytes || w.closed {
		w.dropped++
		w.droppedTotal++
		w.mu.Unlock()
		return
	}
	w.pending = append(append(w.pending, b...), '\n')
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines that were dropped since the start.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Close writes the pending lines and waits until they are written, but at most for
// timeout. If the output is still blocked then, the goroutine and the pending lines
// are abandoned. Later lines are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var reusable []byte
	for range w.wake {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		w.mu.Lock()
		batch, dropped := w.pending, w.dropped
		w.pending, w.dropped, closed = reusable[:0], 0, w.closed
		w.mu.Unlock()
		if dropped > 0 {
			batch = append(appendLine(batch, time.Now(), "log_dropped", []any{"lines", dropped}), '\n')
		}
		// There is no other place to report a failed write to.
		_, _ = w.out.Write(batch)
		reusable = batch
		if closed {
			return
		}
	}
}

// New returns a logger that writes to w. Lines of V(0) are written at LogInfo and
// LogDebug, those of V(1) and higher only at LogDebug, and errors at every level.
func New(w *Writer, level settings.LogLevel) logr.Logger {
	return logr.New(&sink{w: w, level: level})
}

// sink implements logr.LogSink.
type sink struct {
	w      *Writer
	level  settings.LogLevel
	values []any
}

// Init implements logr.LogSink.
func (*sink) Init(logr.RuntimeInfo) {}

// Enabled reports whether Info lines of the given V level are written. Error lines
// are written at every level.
func (s *sink) Enabled(level int) bool {
	switch s.level {
	case settings.LogError:
		return false
	case settings.LogDebug:
		return true
	}
	return level == 0
}

// Info implements logr.LogSink.
func (s *sink) Info(_ int, event string, keysAndValues ...any) {
	s.w.writeLine(appendLine(nil, time.Now(), event, s.values, keysAndValues))
}

// Error implements logr.LogSink.
func (s *sink) Error(err error, event string, keysAndValues ...any) {
	s.w.writeLine(appendLine(nil, time.Now(), event, s.values, keysAndValues, []any{"error", err}))
}

// WithValues implements logr.LogSink.
func (s *sink) WithValues(keysAndValues ...any) logr.LogSink {
	c := *s
	c.values = append(append([]any{}, s.values...), keysAndValues...)
	return &c
}

// WithName implements logr.LogSink. It ignores the name, because each event has its
// own name.
func (s *sink) WithName(string) logr.LogSink { return s }

const timeFormat = "2006-01-02T15:04:05.000Z"

// appendLine appends a log line without a newline to b, with the key-value pairs of
// all groups.
func appendLine(b []byte, now time.Time, event string, groups ...[]any) []byte {
	if b == nil {
		b = make([]byte, 0, 256)
	}
	b = append(b, "ts="...)
	b = now.UTC().AppendFormat(b, timeFormat)
	b = append(append(b, " event="...), event...)
	for _, group := range groups {
		for i := 0; i+1 < len(group); i += 2 {
			key, _ := group[i].(string)
			b = append(append(append(b, ' '), key...), '=')
			b = appendValue(b, group[i+1])
		}
	}
	return b
}

// appendValue appends a value. Durations are written as a number of milliseconds
// without a unit.
func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case string:
		return appendText(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	case bool:
		return strconv.AppendBool(b, v)
	case float64:
		return strconv.AppendFloat(b, v, 'g', 4, 64)
	case time.Duration:
		return strconv.AppendFloat(b, float64(v)/float64(time.Millisecond), 'f', 1, 64)
	case error:
		return appendText(b, v.Error())
	case fmt.Stringer:
		return appendText(b, v.String())
	}
	return appendText(b, fmt.Sprint(v))
}

// appendText appends a value, truncated to maxValueBytes. It quotes values that are
// empty or contain characters that would make the line ambiguous.
func appendText(b []byte, s string) []byte {
	if len(s) > maxValueBytes {
		s = s[:maxValueBytes]
	}
	if s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '=' }) {
		return append(b, s...)
	}
	return strconv.AppendQuote(b, s)
}
