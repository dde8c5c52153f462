package quota

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

var full = flag.Bool("full", false, "run the whole experiment and print its JSON")

// Checks in a short run over real connections that no workspace receives more than
// rate × window + burst, also during a partition and after a node was killed. The
// other measures need the whole experiment (-full).
func TestBoundHolds(t *testing.T) {
	o := Options{Modes: []string{ModeDotterel}, WarmUp: 2 * time.Second, FaultFree: 2 * time.Second, Faults: 4 * time.Second}
	if *full {
		o = Options{}
	}
	r, err := Run(context.Background(), o)
	assert.NilError(t, err)
	if *full {
		assert.NilError(t, json.NewEncoder(os.Stdout).Encode(r))
	}
	assert.Assert(t, r.Results[0].Received > 0)
	assert.Assert(t, r.Results[0].MaxOverBoundRatio <= 1, "%+v", r.Results[0])
}

// Guards against a measure that misses a window with more requests than the bound.
func TestOverBound(t *testing.T) {
	w := config.Workspace{Rate: 10, Burst: 2}
	for _, tc := range []struct {
		name  string
		times []time.Duration
		over  bool
	}{
		{"burst", []time.Duration{0, 0}, false},
		{"burst and one more", []time.Duration{0, 0, time.Millisecond}, true},
		{"at the rate after the burst", []time.Duration{0, 0, 100 * time.Millisecond, 200 * time.Millisecond}, false},
		{"over the rate later", []time.Duration{0, time.Second, time.Second, time.Second}, true},
	} {
		assert.Equal(t, maxOverBound(tc.times, w) > 1, tc.over, tc.name)
	}
}
