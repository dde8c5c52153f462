package soak

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/harness"
)

var (
	seeds   = flag.Int("soak.seeds", 0, "number of seeds to soak in place of the regression cases")
	planned = flag.Bool("soak.planned", true, "more planned work beside the faults of these seeds")
	first   = flag.Uint64("soak.first", 0, "first of these seeds; 0 takes fresh ones")
	atOnce  = flag.Int("soak.parallel", 2, "runs at the same time")
	logs    = flag.String("soak.logs", "", "folder for the logs of seeds that broke a promise")
)

// regressions run in CI: a first short run, and all that ever broke a promise.
var regressions = []struct {
	Options
	cause string
}{
	{Options{Seed: 1, PlannedWork: true}, "none: the short run"},
	{Options{Seed: 104}, "a node stayed at an old configuration while its connection to the store was silent"},
	{Options{Seed: 105}, "restarted nodes that the store turned away took the whole bound of each workspace"},
	{Options{Seed: 206}, "as 104, with callers that were refused for their new keys"},
	{Options{Seed: 1043}, "as 104, at a node that refused all callers and so heard of no newer version"},
}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// Guards every promise that the ledger checks, while faults of all kinds overlap.
func TestSoak(t *testing.T) {
	var list []Options
	for _, r := range regressions {
		list = append(list, r.Options)
	}
	if *seeds > 0 {
		list = nil
	}
	start := *first
	if start == 0 {
		start = uint64(time.Now().UnixNano())
	}
	for n := range *seeds {
		list = append(list, Options{Seed: start + uint64(n), PlannedWork: *planned})
	}
	slots := make(chan struct{}, *atOnce)
	for _, o := range list {
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			o.Dir = t.TempDir()
			report, err := Run(o)
			assert.NilError(t, err)
			t.Log(report)
			if len(report.Violations) == 0 {
				return
			}
			if *logs != "" {
				assert.NilError(t, report.Save(filepath.Join(*logs, fmt.Sprint(o.Seed))))
			}
			t.Errorf("%d promises were broken", len(report.Violations))
		})
	}
}
