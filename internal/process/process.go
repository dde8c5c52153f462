// Package process runs a daemon between its start and its planned stop.
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

// Exit codes of the daemons.
const (
	ExitStopped   = 0
	ExitFailed    = 1
	ExitUsage     = 2
	ExitSettings  = 3
	ExitStopLimit = 8
)

// LogFlushTimeout bounds the time to write the last log lines.
const LogFlushTimeout = 500 * time.Millisecond

// Daemon is what a process runs.
type Daemon interface {
	// Run serves until Stop has ended the daemon; then the error is nil.
	Run(ctx context.Context) error
	// Stop is the planned stop. The error is of class node.ErrStopLimit if ctx ends
	// with requests in flight.
	Stop(ctx context.Context) error
}

// Run runs d until SIGTERM or SIGINT and returns the exit code. The planned stop
// may take stopLimit. reload is called at each SIGHUP.
func Run(d Daemon, log logr.Logger, stopLimit time.Duration, reload func()) int {
	stopped := make(chan error, 1)
	go func() { stopped <- stopOnSignal(d, stopLimit, reload) }()
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

func stopOnSignal(d Daemon, limit time.Duration, reload func()) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		reload()
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := d.Stop(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return node.ErrStopLimit.Wrap(err)
	}
	return err
}
