// Command dotterelnode runs the node of one backend server host.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for wrong usage, 3 if the
// settings have problems, 8 if the stop limit passed with requests in flight.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/daemon"
	"github.com/dotterelseam/dotterelseam/internal/logging"
	"github.com/dotterelseam/dotterelseam/node"
	"github.com/dotterelseam/dotterelseam/settings"
)

const (
	exitStopped   = 0
	exitFailed    = 1
	exitUsage     = 2
	exitSettings  = 3
	exitStopLimit = 8
)

// logLimit bounds the time to write the last log lines.
const logLimit = 500 * time.Millisecond

func main() {
	path := flag.String("settings", "", "path of the YAML settings `file`")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	os.Exit(run(s))
}

func run(s *settings.Settings) int {
	lines := logging.NewWriter(os.Stderr)
	defer lines.Close(logLimit)
	log := logging.New(lines, s.LogLevel)
	d, err := daemon.New(s, log)
	if err != nil {
		log.Error(err, "start_failed")
		return exitFailed
	}
	stopped := make(chan error, 1)
	go func() { stopped <- stopOnSignal(d, s) }()
	if err := d.Run(context.Background()); err != nil {
		log.Error(err, "run_failed")
		return exitFailed
	}
	if err := <-stopped; node.ErrStopLimit.Has(err) {
		log.Error(err, "stop_limit_passed")
		return exitStopLimit
	}
	return exitStopped
}

// stopOnSignal stops the daemon at the first SIGTERM or SIGINT.
func stopOnSignal(d *daemon.Daemon, s *settings.Settings) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), s.StopLimit)
	defer cancel()
	err := d.Stop(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return node.ErrStopLimit.Wrap(err)
	}
	return err
}
