// Package process runs a daemon until its planned stop and handles signals.
package process

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/node"
)

// Exit codes of the daemons. docs/operators/exit-codes.md explains them and those of
// command dotterel, which uses the codes in between.
const (
	ExitStopped   = 0 // planned stop
	ExitFailed    = 1 // the daemon could not be started or failed
	ExitUsage     = 2 // wrong command line
	ExitSettings  = 3 // the settings have problems
	ExitStopLimit = 8 // requests were still in flight when the stop limit passed
)

// LogFlushTimeout bounds the time for writing the last log lines before the exit.
const LogFlushTimeout = 500 * time.Millisecond

// Daemon is the part of a node or sidecar daemon that Run uses.
type Daemon interface {
	// Run serves until Stop has completed. The error is nil after Stop.
	Run(ctx context.Context) error
	// Stop performs the planned stop. The error is of class node.ErrStopLimit if ctx
	// ends with requests in flight.
	Stop(ctx context.Context) error
}

// Signals holds the signals that a process has received.
type Signals struct{ stop, hangUp chan os.Signal }

// CatchSignals keeps SIGTERM, SIGINT and SIGHUP from ending the process, and records them
// for Run. A daemon calls it first, so that a signal during its start is not lost.
func CatchSignals() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), hangUp: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangUp, syscall.SIGHUP)
	return s
}

func (s *Signals) release() {
	signal.Stop(s.stop)
	signal.Stop(s.hangUp)
}

// Run runs d until SIGTERM or SIGINT, performs the planned stop within stopLimit and
// returns the exit code. An error of Stop other than node.ErrStopLimit does not
// change the exit code. Run calls reload at each SIGHUP, one call at a time; signals that
// arrive during a call are combined into one. A reload does not delay a stop.
func Run(d Daemon, signals *Signals, log logr.Logger, stopLimit time.Duration, reload func()) int {
	defer signals.release()
	ended := make(chan struct{})
	defer close(ended)
	go reloadOnSignal(signals.hangUp, ended, reload)
	stopped := make(chan error, 1)
	go func() { stopped <- stopOnSignal(d, signals.stop, stopLimit) }()
	if err := d.Run(context.Background()); err != nil {
		log.Error(err, "run_failed")
		return ExitFailed
	}
	if err := <-stopped; node.ErrStopLimit.Has(err) {
		log.Error(err, "stop_limit_passed")
		return ExitStopLimit
	}
	return ExitStopped
}

// reloadOnSignal calls reload at each signal until ended is closed.
func reloadOnSignal(signals <-chan os.Signal, ended <-chan struct{}, reload func()) {
	for {
		select {
		case <-signals:
			reload()
		case <-ended:
			return
		}
	}
}

// stopOnSignal stops d at a signal. The error is of class node.ErrStopLimit if limit
// passes.
func stopOnSignal(d Daemon, signals <-chan os.Signal, limit time.Duration) error {
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := d.Stop(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return node.ErrStopLimit.Wrap(err)
	}
	return err
}
