// Command dotterelsidecar runs the node beside one backend server on the users'
// platform. The settings file is named by -settings or by the environment
// variable DOTTERELSEAM_SETTINGS.
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

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/internal/logging"
	"github.com/dotterelseam/dotterelseam/internal/sidecar"
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

const settingsVariable = "DOTTERELSEAM_SETTINGS"

func main() {
	path := flag.String("settings", os.Getenv(settingsVariable), "path of the YAML settings `file`")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	s, err := settings.LoadSidecar(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	os.Exit(run(s, *path))
}

func run(s *settings.Sidecar, path string) int {
	lines := logging.NewWriter(os.Stdout)
	defer lines.Close(logLimit)
	log := logging.New(lines, s.LogLevel)
	d, err := sidecar.New(s, log)
	if err != nil {
		log.Error(err, "start_failed")
		return exitFailed
	}
	stopped := make(chan error, 1)
	go func() { stopped <- handleSignals(d, log, path) }()
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

// handleSignals checks the settings again at each SIGHUP and stops the node at
// the first SIGTERM or SIGINT.
func handleSignals(d *sidecar.Sidecar, log logr.Logger, path string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		if _, err := settings.LoadSidecar(path); err != nil {
			log.Error(err, "settings_not_reloaded")
			continue
		}
		log.Info("settings_checked")
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.StopLimit())
	defer cancel()
	err := d.Stop(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return node.ErrStopLimit.Wrap(err)
	}
	return err
}
