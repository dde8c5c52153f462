// Command dotterelsidecar runs a node as a sidecar of one backend server, on the
// users' platform that docs/platform.md describes. The settings file is named by
// -settings or by the environment variable DOTTERELSEAM_SETTINGS. On SIGHUP it checks
// the file and logs the result, but applies no changes.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for wrong usage, 3 if the
// settings have problems, 8 if requests were still in flight when the setting
// stop_limit ran out.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/go-logr/logr"

	"github.com/dotterelseam/dotterelseam/internal/logging"
	"github.com/dotterelseam/dotterelseam/internal/process"
	"github.com/dotterelseam/dotterelseam/internal/sidecar"
	"github.com/dotterelseam/dotterelseam/settings"
)

// settingsEnv is the environment variable with the default of -settings.
const settingsEnv = "DOTTERELSEAM_SETTINGS"

func main() {
	signals := process.CatchSignals()
	path := flag.String("settings", os.Getenv(settingsEnv), "path of the YAML settings `file`")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(process.ExitUsage)
	}
	s, err := settings.LoadSidecar(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitSettings)
	}
	os.Exit(run(s, *path, signals))
}

func run(s *settings.Sidecar, path string, signals *process.Signals) int {
	logWriter := logging.NewWriter(os.Stdout)
	defer logWriter.Close(process.LogFlushTimeout)
	log := logging.New(logWriter, s.LogLevel)
	d, err := sidecar.New(s, log)
	if err != nil {
		log.Error(err, "start_failed")
		return process.ExitFailed
	}
	return process.Run(d, signals, log, d.StopLimit(), func() { checkSettings(log, path) })
}

// checkSettings logs whether the present content of the settings file is valid.
func checkSettings(log logr.Logger, path string) {
	if err := sidecar.CheckSettings(path); err != nil {
		log.Error(err, "settings_not_valid")
		return
	}
	log.Info("settings_checked")
}
