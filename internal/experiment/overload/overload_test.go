package overload

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
)

// BenchmarkRun prints the measures of a full run, which takes about a minute. Run
// it with -benchtime 1x. OVERLOAD_MODE selects one mode.
func BenchmarkRun(b *testing.B) {
	var o Options
	if m := os.Getenv("OVERLOAD_MODE"); m != "" {
		o.Modes = []string{m}
	}
	for b.Loop() {
		r, err := Run(context.Background(), o)
		assert.NilError(b, err)
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", " ")
		assert.NilError(b, e.Encode(r))
	}
}

// Guards against a run that does not end, a run without any completed request, and
// more deliveries in the call tree of a request than the attempt bound under load.
func TestRunIsBounded(t *testing.T) {
	r, err := Run(context.Background(), Options{Modes: []string{ModeDotterel}, Phase: 200 * time.Millisecond})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Results), 1)
	got := r.Results[0]
	assert.Equal(t, got.Mode, ModeDotterel)
	assert.Assert(t, got.GoodputBefore > 0)
	assert.Assert(t, got.AttemptsPerTreeMax >= len(chain) && got.AttemptsPerTreeMax <= callTreeAttempts, "%d", got.AttemptsPerTreeMax)
	_, err = Run(context.Background(), Options{Modes: []string{"other"}})
	assert.Assert(t, Error.Has(err))
}

// syntheticRecord returns a record with phases of 1 s and one operation every 10 ms.
// fails decides, by phase and time since its start, which operations fail.
func syntheticRecord(fails func(phase string, offset time.Duration) bool) *modeRecord {
	rec := &modeRecord{mode: "x", phases: Options{Phase: time.Second}.withDefaults().phases()}
	start := time.Duration(0)
	for i, p := range rec.phases {
		for offset := time.Duration(0); offset < p.length; offset += 10 * time.Millisecond {
			arrival := start + offset
			rec.operations = append(rec.operations, &operation{phase: i, arrival: arrival, attempts: []clientAttempt{
				{start: arrival, end: arrival + time.Millisecond, succeeded: !fails(p.name, offset)},
			}})
		}
		start += p.length
	}
	return rec
}

// Guards against a recovery time that ends at a short success before a relapse, and
// against a recovery that is reported although the success ratio stays low.
func TestRecovery(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(offset time.Duration) bool
		want time.Duration
		ok   bool
	}{
		{"at once", func(time.Duration) bool { return false }, 0, true},
		{"after 300 ms", func(offset time.Duration) bool { return offset < 300*time.Millisecond }, 300 * time.Millisecond, true},
		{"relapse", func(offset time.Duration) bool { return offset%(400*time.Millisecond) < 100*time.Millisecond },
			time.Second, false},
		{"never", func(time.Duration) bool { return true }, time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rec := syntheticRecord(func(p string, offset time.Duration) bool { return p == "after surge" && tc.fail(offset) })
			got, ok := rec.recoveryTime("after surge")
			assert.Equal(t, got, tc.want)
			assert.Equal(t, ok, tc.ok)
			r := rec.measure()
			assert.Equal(t, r.GoodputBefore, 100.0)
			assert.Equal(t, r.Recovered, tc.ok)
		})
	}
}

// Guards against missing a failed attempt during which a less important attempt
// started and was served, and against counting other failed attempts.
func TestFailedWhileLowerServed(t *testing.T) {
	op := func(i config.Importance, start, end int, ok bool) *operation {
		return &operation{importance: i, attempts: []clientAttempt{{start: time.Duration(start), end: time.Duration(end), succeeded: ok}}}
	}
	failed := op(config.High, 10, 20, false)
	for _, tc := range []struct {
		name  string
		other *operation
		want  int
	}{
		{"served during it", op(config.Low, 15, 30, true), 1},
		{"started earlier", op(config.Low, 5, 15, true), 0},
		{"started later", op(config.Low, 25, 30, true), 0},
		{"shed as well", op(config.Low, 15, 30, false), 0},
		{"as important", op(config.High, 15, 30, true), 0},
	} {
		assert.Equal(t, countFailedWhileLowerServed([]*operation{failed, tc.other}, config.High), tc.want, tc.name)
	}
}

// Guards against fair shares above the demand or the capacity, and against shares
// that break the priority of importance or the max-min fairness within it.
func TestFairShares(t *testing.T) {
	o := offeredLoad{{10, 10, 0, 0, 0}, {100, 10, 20, 0, 0}, {50, 0, 0, 5, 0}, {0, 0, 0, 0, 5}}
	want := []float64{38, 20, 20, 0, 0}
	for w, got := range o.fairShares(78) {
		assert.Assert(t, got > want[w]-0.1 && got < want[w]+0.1, "workspace %d: %v", w, got)
	}
	assert.Equal(t, o.maxWeighted(30), 20*loadMix[0].weight+10*loadMix[1].weight)
	assert.Equal(t, o.maxWeighted(1e6), 20*loadMix[0].weight+130*loadMix[1].weight+55*loadMix[2].weight+5*loadMix[3].weight)
}

// Guards against counting deliveries of a request per server instead of per service.
func TestAttempts(t *testing.T) {
	rec := &modeRecord{servers: map[string][]standin.BackendStats{
		"front": {{RunsByRequest: map[string]int{"a": 1}}, {RunsByRequest: map[string]int{"a": 1, "b": 1}}},
		"deep":  {{RunsByRequest: map[string]int{"a": 3}}},
	}}
	var r Result
	rec.addDeliveryCounts(&r)
	assert.Equal(t, r.AttemptsPerRequestMax, 3)
	assert.Equal(t, r.AttemptsPerTreeMax, 5)
	assert.Equal(t, r.AttemptsPerRequestMean, 2.0)
}
