// Package logging builds the logger of the daemons: one line of key=value pairs
// for each event, written by a goroutine of its own, so that a slow or blocked
// output delays nobody.
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
	// bufferBytes bounds the lines that wait for the output. Lines beyond it are
	// dropped and counted.
	bufferBytes = 256 << 10
	// maxValueBytes bounds one value of a line.
	maxValueBytes = 512
	// flushInterval gathers lines, so that a busy node makes few writes.
	flushInterval = 50 * time.Millisecond
)

// Writer passes lines on to an output without waiting for it. It is safe for
// concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	total   uint64 // dropped since the start
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// NewWriter starts the goroutine that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// line takes one line, without its end.
func (w *Writer) line(b []byte) {
	w.mu.Lock()
	if len(w.pending)+len(b) > bufferBytes || w.closed {
		w.dropped++
		w.total++
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

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what is pending, waits for it up to the limit and drops later lines.
func (w *Writer) Close(limit time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		w.mu.Lock()
		batch, dropped := w.pending, w.dropped
		w.pending, w.dropped, closed = spare[:0], 0, w.closed
		w.mu.Unlock()
		if dropped > 0 {
			batch = append(appendLine(batch, time.Now(), "log_dropped", []any{"lines", dropped}), '\n')
		}
		// A failed write has nobody else to be told.
		_, _ = w.out.Write(batch)
		spare = batch
		if closed {
			return
		}
	}
}

// New returns a logger that writes to w.
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

// Enabled implements logr.LogSink.
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
	s.w.line(appendLine(nil, time.Now(), event, s.values, keysAndValues))
}

// Error implements logr.LogSink.
func (s *sink) Error(err error, event string, keysAndValues ...any) {
	s.w.line(appendLine(nil, time.Now(), event, s.values, keysAndValues, []any{"error", err}))
}

// WithValues implements logr.LogSink.
func (s *sink) WithValues(keysAndValues ...any) logr.LogSink {
	c := *s
	c.values = append(append([]any{}, s.values...), keysAndValues...)
	return &c
}

// WithName implements logr.LogSink. Events are named one by one.
func (s *sink) WithName(string) logr.LogSink { return s }

const timeFormat = "2006-01-02T15:04:05.000Z"

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

// appendText quotes a value only if it would not read as one word.
func appendText(b []byte, s string) []byte {
	if len(s) > maxValueBytes {
		s = s[:maxValueBytes]
	}
	if s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '=' }) {
		return append(b, s...)
	}
	return strconv.AppendQuote(b, s)
}
