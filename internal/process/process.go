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

// Exit codes of the daemons.
const (
	ExitStopped   = 0
	ExitFailed    = 1
	ExitUsage     = 2
	ExitSettings  = 3
	ExitStopLimit = 8
)

// LogFlushTimeout bounds the time for writing the last log lines before the exit.
const LogFlushTimeout = 500 * time.Millisecond

// Daemon is a service that a process runs.
type Daemon interface {
	// Run serves until Stop has completed. The error is nil after Stop.
	Run(ctx context.Context) error
	// Stop performs the planned stop. The error is of class node.ErrStopLimit if ctx
	// ends with requests in flight.
	Stop(ctx context.Context) error
}

// Run runs d until SIGTERM or SIGINT, performs the planned stop within stopLimit and
// returns the exit code. It calls reload at each SIGHUP.
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

// stopOnSignal waits for SIGTERM or SIGINT and then stops d.
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
