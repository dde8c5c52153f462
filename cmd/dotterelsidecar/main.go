// Command dotterelsidecar runs the node beside one backend server on the users'
// platform. The settings file is named by -settings or by the environment
// variable DOTTERELSEAM_SETTINGS. SIGHUP checks the file again.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for wrong usage, 3 if the
// settings have problems, 8 if the stop limit passed with requests in flight.
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

const settingsVariable = "DOTTERELSEAM_SETTINGS"

func main() {
	path := flag.String("settings", os.Getenv(settingsVariable), "path of the YAML settings `file`")
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
	os.Exit(run(s, *path))
}

func run(s *settings.Sidecar, path string) int {
	lines := logging.NewWriter(os.Stdout)
	defer lines.Close(process.LogFlushTimeout)
	log := logging.New(lines, s.LogLevel)
	d, err := sidecar.New(s, log)
	if err != nil {
		log.Error(err, "start_failed")
		return process.ExitFailed
	}
	return process.Run(d, log, d.StopLimit(), func() { checkSettings(log, path) })
}

// checkSettings tells whether the node could start with the settings file as it is now.
func checkSettings(log logr.Logger, path string) {
	if err := sidecar.CheckSettings(path); err != nil {
		log.Error(err, "settings_not_valid")
		return
	}
	log.Info("settings_checked")
}
