// Command dotterelnode runs the node on the host of a backend server. On SIGHUP
// it logs that settings are not reloaded, and changes nothing.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for wrong usage, 3 if the
// settings have problems, 8 if requests were still in flight when the setting
// stop_limit ran out.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/dotterelseam/dotterelseam/internal/daemon"
	"github.com/dotterelseam/dotterelseam/internal/logging"
	"github.com/dotterelseam/dotterelseam/internal/process"
	"github.com/dotterelseam/dotterelseam/settings"
)

func main() {
	signals := process.CatchSignals()
	path := flag.String("settings", "", "path of the YAML settings `file`")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(process.ExitUsage)
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitSettings)
	}
	os.Exit(run(s, signals))
}

func run(s *settings.Settings, signals *process.Signals) int {
	logWriter := logging.NewWriter(os.Stderr)
	defer logWriter.Close(process.LogFlushTimeout)
	log := logging.New(logWriter, s.LogLevel)
	d, err := daemon.New(s, log)
	if err != nil {
		log.Error(err, "start_failed")
		return process.ExitFailed
	}
	return process.Run(d, signals, log, s.StopLimit, func() { log.Info("settings_not_reloaded") })
}
