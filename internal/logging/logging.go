// Package logging builds the logger of the daemons: one line of key=value pairs
// for each event.
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/dotterelseam/dotterelseam/settings"
)

// New returns a logger that writes to w. Lines are written at once.
func New(w io.Writer, level settings.LogLevel) logr.Logger {
	verbosity := 0
	if level == settings.LogDebug {
		verbosity = 1
	}
	// A failed write has nobody else to be told.
	write := func(_, args string) { _, _ = io.WriteString(w, args+"\n") }
	log := funcr.New(write, funcr.Options{LogTimestamp: true, Verbosity: verbosity})
	if level == settings.LogError {
		return logr.New(errorsOnly{log.GetSink()})
	}
	return log
}

// errorsOnly is a sink that drops informational events.
type errorsOnly struct{ logr.LogSink }

func (errorsOnly) Enabled(int) bool { return false }
