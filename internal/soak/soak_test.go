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
	seeds = flag.Int("soak.seeds", 0, "number of seeds to soak in place of the regression cases")
	first = flag.Uint64("soak.first", 0, "first of these seeds; 0 takes fresh ones")
	logs  = flag.String("soak.logs", "", "folder for the logs of seeds that broke a promise")
)

// regressions are the seeds that run in CI: a first one, and all that ever broke a
// promise.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none: the short run"},
	{104, "a node stayed at an old configuration while its connection to the store was silent"},
	{105, "restarted nodes that the store turned away took the whole bound of each workspace"},
	{206, "as 104, with callers that were refused for their new keys"},
}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// Guards every promise that the ledger checks, while faults of all kinds overlap.
func TestSoak(t *testing.T) {
	var list []uint64
	for _, r := range regressions {
		list = append(list, r.seed)
	}
	if *seeds > 0 {
		list = nil
	}
	start := *first
	if start == 0 {
		start = uint64(time.Now().UnixNano())
	}
	for n := range *seeds {
		list = append(list, start+uint64(n))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(seed, t.TempDir())
			assert.NilError(t, err)
			t.Log(report)
			if len(report.Breaches) == 0 {
				return
			}
			if *logs != "" {
				assert.NilError(t, report.Save(filepath.Join(*logs, fmt.Sprint(seed))))
			}
			t.Errorf("%d promises were broken", len(report.Breaches))
		})
	}
}
