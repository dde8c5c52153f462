package report

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/refusal"
)

var (
	noon  = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	since = noon.Add(-7 * time.Hour)
)

// node returns the counts of a node with one series of workspace farm, whose rate is
// 10/s and burst 20.
func node(name string, fine, coarse []Bucket) Node {
	return Node{
		Node: name, DataCentre: "dudley", Version: 1, Since: since, At: noon,
		Workspaces: []Workspace{{Name: "farm", Rate: 10, Burst: 20}},
		Series: []Series{{
			Service: "stock", Route: "GET /items/{id}", Workspace: "farm", Objective: Objective{Availability: 0.99, LatencyMS: 100},
			Fine: fine, Coarse: coarse,
		}},
	}
}

// bucketBefore returns a bucket that starts d before noon.
func bucketBefore(d time.Duration, c Counts) []Bucket {
	return []Bucket{{Start: noon.Add(-d).Unix(), Counts: c}}
}

func results(nodes ...Node) (r []Result) {
	for _, n := range nodes {
		r = append(r, Result{Address: "127.0.0.1:1", Node: n})
	}
	return r
}

// Guards against wrong budgets, burn rates and alerts, and against outcomes that are
// counted wrongly.
func TestBurn(t *testing.T) {
	const none = math.MaxFloat64
	for _, tc := range []struct {
		name             string
		fine, coarse     []Bucket
		at               time.Time
		burn             [4]float64
		left             float64
		fast, slow       AlertState
		bad6h, counted6h uint64 // in 6 h
	}{
		{name: "no requests", burn: [4]float64{none, none, none, none}, left: none, fast: AlertNoData, slow: AlertNoData},
		{name: "all good", fine: bucketBefore(time.Minute, Counts{"within": 50}), coarse: bucketBefore(6*time.Minute, Counts{"within": 50}),
			left: 1, fast: AlertOK, slow: AlertOK, counted6h: 50},
		{name: "half of the budget", fine: bucketBefore(time.Minute, Counts{"within": 199, "beyond": 1}), coarse: bucketBefore(6*time.Minute, Counts{"within": 199, "beyond": 1}),
			burn: [4]float64{0.5, 0.5, 0.5, 0.5}, left: 0.5, fast: AlertOK, slow: AlertOK, bad6h: 1, counted6h: 200},
		{name: "slow burn", fine: bucketBefore(time.Minute, Counts{"within": 93, "overload": 7}), coarse: bucketBefore(6*time.Minute, Counts{"within": 93, "overload": 7}),
			burn: [4]float64{7, 7, 7, 7}, left: -6, fast: AlertOK, slow: AlertFiring, bad6h: 7, counted6h: 100},
		{name: "fast burn", fine: bucketBefore(time.Minute, Counts{"within": 8, "server_error": 1, "broken_off": 1}), coarse: bucketBefore(6*time.Minute, Counts{"within": 8, "backend.overload": 2}),
			burn: [4]float64{20, 20, 20, 20}, left: -19, fast: AlertFiring, slow: AlertFiring, bad6h: 2, counted6h: 10},
		{name: "no requests in the last 5 min", fine: bucketBefore(20*time.Minute, Counts{"overload": 9}), coarse: bucketBefore(24*time.Minute, Counts{"overload": 9}),
			burn: [4]float64{none, 100, 100, 100}, left: -99, fast: AlertNoData, slow: AlertFiring, bad6h: 9, counted6h: 9},
		{name: "older than an hour", coarse: bucketBefore(2*time.Hour, Counts{"within": 1, "deadline": 1}),
			burn: [4]float64{none, none, none, 50}, left: -49, fast: AlertNoData, slow: AlertNoData, bad6h: 1, counted6h: 2},
		{name: "older than 6 h", coarse: bucketBefore(6*time.Hour+6*time.Minute, Counts{"deadline": 1}),
			burn: [4]float64{none, none, none, none}, left: none, fast: AlertNoData, slow: AlertNoData},
		{name: "the sender's faults", fine: bucketBefore(time.Minute, Counts{"bad_request": 5, "no_key": 5, "caller_gone": 1, "duplicate": 1}), coarse: bucketBefore(6*time.Minute, Counts{"body_too_large": 5}),
			burn: [4]float64{none, none, none, none}, left: none, fast: AlertNoData, slow: AlertNoData},
		{name: "over_rate within the rate", fine: bucketBefore(time.Minute, Counts{"within": 99, "over_rate": 1}), coarse: bucketBefore(6*time.Minute, Counts{"within": 99, "over_rate": 1}),
			burn: [4]float64{1, 1, 1, 1}, left: 0, fast: AlertOK, slow: AlertOK, bad6h: 1, counted6h: 100},
		{name: "over_rate above the rate", fine: bucketBefore(time.Minute, Counts{"within": 300, "over_rate": 1}), coarse: bucketBefore(6*time.Minute, Counts{"within": 3600, "over_rate": 1}),
			left: 1, fast: AlertOK, slow: AlertOK, counted6h: 3600},
		{name: "an outcome of a newer version", fine: bucketBefore(time.Minute, Counts{"within": 1, "new": 1}), coarse: bucketBefore(6*time.Minute, Counts{"within": 1, "new": 1}),
			burn: [4]float64{50, 50, 50, 50}, left: -49, fast: AlertFiring, slow: AlertFiring, bad6h: 1, counted6h: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := Merge(noon, results(node("a", tc.fine, tc.coarse)))
			b := r.Routes[0].Workspaces[0]
			for i, want := range tc.burn {
				assertClose(t, b.Windows[i].BurnRate, want)
			}
			assertClose(t, b.BudgetLeft, tc.left)
			assert.Equal(t, b.Fast, tc.fast)
			assert.Equal(t, b.Slow, tc.slow)
			assert.Equal(t, b.Windows[window6h].Bad, tc.bad6h)
			assert.Equal(t, b.Windows[window6h].Counted, tc.counted6h)
			assert.DeepEqual(t, r.Routes[0].All.Windows, b.Windows)
		})
	}
}

func assertClose(t *testing.T, got *float64, want float64) {
	t.Helper()
	if want == math.MaxFloat64 {
		assert.Assert(t, got == nil)
		return
	}
	assert.Assert(t, got != nil && math.Abs(*got-want) < 1e-9, "got %v, want %v", got, want)
}

// Guards against over_rate refusals of a workspace above its quota that count as bad
// because no single node sees the whole excess.
func TestDemandOfAllNodes(t *testing.T) {
	busy := Counts{"within": 70, "over_rate": 30} // 100 in 30 s
	start := noon.Add(-time.Minute).Unix()
	for _, tc := range []struct {
		name  string
		nodes int
		peaks []Peak // of each node
		want  uint64 // bad requests
	}{
		{"within the rate", 3, nil, 90}, // 300 in 30 s
		{"above the rate in total", 4, nil, 0},
		{"burst at all nodes at once", 2, []Peak{{Second: start + 3, Count: 26}}, 0},
		{"within rate and burst", 2, []Peak{{Second: start + 3, Count: 25}}, 60},
		{"burst in another bucket", 2, []Peak{{Second: start + 33, Count: 26}}, 60},
		{"lower rate at that time", 2, []Peak{{Second: start + 3, Count: 1, Rate: 6, Burst: 20}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var nodes []Node
			for range tc.nodes {
				n := node("a", bucketBefore(time.Minute, busy), nil)
				n.Peaks = []Peaks{{Workspace: "farm", Fine: tc.peaks}}
				nodes = append(nodes, n)
			}
			assert.Equal(t, Merge(noon, results(nodes...)).Routes[0].All.Windows[window5m].Bad, tc.want)
		})
	}
}

// fleet returns the results of an older node, of a younger one with a higher
// configuration version, and of an unreachable one.
func fleet() []Result {
	old, young := node("old", nil, bucketBefore(6*time.Minute, Counts{"within": 5, "over_rate": 1})), node("young", nil, bucketBefore(6*time.Minute, Counts{"within": 3, "overload": 1}))
	young.Since, young.Version = noon.Add(-time.Hour), 2
	young.Series[0].Objective.Availability = 0.5
	young.Series = append(young.Series, Series{Coarse: bucketBefore(6*time.Minute, Counts{"no_route": 2})})
	return append(results(young, old), Result{Address: "127.0.0.1:9", Err: ErrUnreachable.New("gone")})
}

// Guards against a merge that hides missing nodes or the start of the counts, and
// against one that uses objectives of an older configuration version.
func TestMerge(t *testing.T) {
	r := Merge(noon, fleet())
	assert.Equal(t, len(r.Nodes), 2)
	assert.Equal(t, len(r.Missing), 1)
	assert.Equal(t, r.Missing[0].Address, "127.0.0.1:9")
	assert.Equal(t, r.Since, noon.Add(-time.Hour))
	assert.Equal(t, r.Routes[0].Objective.Availability, 0.5)
	assert.DeepEqual(t, r.Routes[0].All.Outcomes, []OutcomeCount{
		{"over_rate", OriginFleet, 1, 1}, {"overload", OriginFleet, 1, 1}, {"within", OriginNone, 8, 0},
	})
	assert.DeepEqual(t, r.Unattributed, []OutcomeCount{{"no_route", OriginSender, 2, 0}})
	empty := Merge(noon, fleet()[2:])
	assert.Equal(t, len(empty.Routes), 0)
}

// Guards against a report that does not list missing nodes, and against an HTML page
// that refers to other files or does not escape names.
func TestRender(t *testing.T) {
	in := fleet()
	in[0].Node.Series[0].Service, in[0].Node.Series[0].Route = "<b>", "GET /<script>"
	in[0].Node.Series[0].Coarse = append(in[0].Node.Series[0].Coarse, bucketBefore(12*time.Minute, Counts{"overload": 1})...)
	r := Merge(noon, in)
	var text, page bytes.Buffer
	assert.NilError(t, Render(&text, r))
	assert.NilError(t, RenderHTML(&page, r))
	for _, s := range []string{text.String(), page.String()} {
		assert.Assert(t, strings.Contains(s, "127.0.0.1:9"))
		assert.Assert(t, strings.Contains(s, "2026-03-01 11:00:00 UTC"))
	}
	html := page.String()
	assert.Assert(t, strings.Contains(html, "<svg") && strings.Contains(html, "Not enough data"))
	for _, bad := range []string{"<b>", "<script", "src=", "href=\""} {
		assert.Assert(t, !strings.Contains(html, bad), "%q in %s", bad, html)
	}
	for _, line := range strings.Split(text.String(), "\n") {
		assert.Assert(t, len(line) <= 100, line)
	}
	for _, in := range [][]Result{nil, fleet()[2:]} {
		assert.NilError(t, Render(&text, Merge(noon, in)))
		assert.NilError(t, RenderHTML(&page, Merge(noon, in)))
	}
}

// Guards against a new refusal reason that exceeds the counter arrays or is reported
// under another name.
func TestOutcomes(t *testing.T) {
	assert.Assert(t, NumOutcomes() <= MaxOutcomes)
	for _, reason := range refusal.Reasons() {
		o := RefusalOutcome(refusal.New(reason, "x"), false)
		assert.Equal(t, o.String(), string(reason))
		assert.Assert(t, propertyOfName(o.String()).origin != OriginNone)
	}
	assert.Equal(t, RefusalOutcome(refusal.New(refusal.Overload, "x"), true), BackendOverload)
	assert.Equal(t, RefusalOutcome(refusal.NewRan(refusal.Deadline, refusal.RanMaybe, "x"), false), BackendDeadline)
	assert.Equal(t, AnswerOutcome(200, time.Second, time.Second), WithinObjective)
	assert.Equal(t, AnswerOutcome(404, 2*time.Second, time.Second), BeyondObjective)
	assert.Equal(t, AnswerOutcome(500, 0, 0), ServerError)
}

// Guards against nodes without valid counts that are reported as reached.
func TestFetchAll(t *testing.T) {
	reachable := httptest.NewServer(Handler(func() Node { return node("a", nil, bucketBefore(0, Counts{"within": 1})) }))
	defer reachable.Close()
	notFound := httptest.NewServer(nil)
	defer notFound.Close()
	got := FetchAll(context.Background(), http.DefaultClient, []string{reachable.Listener.Addr().String(), notFound.Listener.Addr().String(), "127.0.0.1:1"})
	assert.NilError(t, got[0].Err)
	assert.Equal(t, got[0].Node.Series[0].Coarse[0].Counts["within"], uint64(1))
	assert.Assert(t, ErrUnreachable.Has(got[1].Err) && ErrUnreachable.Has(got[2].Err))
}

func ExampleMerge() {
	counted := []Bucket{{Start: noon.Add(-CoarseWidth).Unix(), Counts: Counts{"within": 198, "overload": 1, "bad_request": 4}}}
	r := Merge(noon, []Result{{Address: "127.0.0.1:8083", Node: node("dudley-1", nil, counted)}})
	r.Routes[0].Workspaces = nil
	_ = Render(os.Stdout, Report{At: noon, Since: r.Since, Nodes: r.Nodes, Routes: r.Routes})
	// Output:
	// burn report, 2026-03-01 12:00:00 UTC
	// 1 of 1 nodes; all of them count since 2026-03-01 05:00:00 UTC
	//
	// stock  GET /items/{id}  (99% within 100ms)
	//   WORKSPACE               COUNTED   LEFT     5M    30M     1H     6H  ALERTS
	//   (all)                       199    50%      -      -    0.5    0.5  no data
	//     answers:        within 198
	//     ours:           overload 1
	//     sender:         bad_request 4 (not counted)
	//
	// Good: whole answers below status 500 within the latency objective. Bad: later
	// ones, answers of status 500 or more, answers that broke off, and refusals that are
	// not the sender's fault. Not counted: refusals that are the sender's fault, senders
	// that left in time, and over_rate while the workspace as a whole sent more than its
	// rate on average, or much more than its burst at once. The budget is that of the
	// last 6 h, or since the nodes started.
}
