// Command reviewcase plays one case of the review against the sidecar's processes:
//
//	reviewcase CASE RECORD-FILE
//
// The environment variable TROUBLE=0 leaves out the disruption. The exit code is 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"

	"github.com/dotterelseam/dotterelseam/review/stage"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case and reports whether the rule was broken.
type play func(f *stage.Fleet, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"gone":     playGone,
	"leaving":  playLeaving,
	"memory":   playMemory,
	"quota":    playQuota,
	"revoked":  playRevoked,
	"stopping": playStopping,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE RECORD-FILE")
		return exitNotRun
	}
	f, err := stage.NewFleet(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	broken, err := cases[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.Record.Add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
