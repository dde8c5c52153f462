package overhead

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a measurement in which calls fail or a path is not measured. It
// sets no bound on the latencies. OVERHEAD=1 runs the whole measurement.
func TestRun(t *testing.T) {
	r, err := run(context.Background(), 1, 200*time.Millisecond)
	if os.Getenv("OVERHEAD") != "" {
		r, err = Run(context.Background())
	}
	assert.NilError(t, err)
	assert.Assert(t, r.DirectP50 > 0 && r.OneNodeP50 > 0 && r.TwoNodeP50 > 0, "%+v", r)
	text, err := json.Marshal(r)
	assert.NilError(t, err)
	t.Logf("%s", text)
}

// BenchmarkCall makes calls one after another on each path, for three sizes of
// answers. It shows allocations and time without concurrent load. With -cpu 1 the
// time is processor time.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{defaultAnswerBytes, 16 << 10, 256 << 10} {
		benchmarkCall(b, size)
	}
}

func benchmarkCall(b *testing.B, size int) {
	tb, err := newTestbed(size)
	assert.NilError(b, err)
	defer tb.close()
	for _, path := range []struct{ name, url string }{
		{"direct", tb.direct}, {"one node", tb.oneNode}, {"two nodes", tb.twoNodes},
	} {
		b.Run(fmt.Sprintf("%d bytes/%s", size, path.name), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, tb.sendCall(b.Context(), path.url))
			}
		})
	}
}
