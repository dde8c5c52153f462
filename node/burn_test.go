package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/report"
)

// sumCounts adds up the coarse counts of a node's series.
func sumCounts(series []report.Series) report.Counts {
	sum := report.Counts{}
	for _, s := range series {
		for _, b := range s.Coarse {
			for name, n := range b.Counts {
				sum[name] += n
			}
		}
	}
	return sum
}

func noObjective(string, string) report.Objective { return report.Objective{} }

// Guards against an allocation for each counted request.
func TestBurnTableDoesNotAllocate(t *testing.T) {
	table := newBurnTable(time.Now)
	key, w, now := seriesKey{"stock", "GET /items/{id}", "farm", false}, &config.Workspace{Name: "farm"}, time.Now()
	count := func() { table.record(key, report.WithinObjective, now); table.recordDemand(w, now) }
	count()
	assert.Equal(t, testing.AllocsPerRun(1000, count), 0.0)
}

// Guards against a table that grows with the number of workspaces, that loses requests
// when it is full, or that keeps series of routes that are no longer used.
func TestBurnTableIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := newBurnTable(func() time.Time { return now })
	fill := func(service string) {
		for i := range 2000 {
			table.record(seriesKey{service, fmt.Sprint(i % 200), fmt.Sprint(i), false}, report.WithinObjective, now)
		}
	}
	fill("a")
	assert.Assert(t, table.series.Load() <= maxSeries+maxOtherSeries+1)
	assert.Equal(t, sumCounts(table.report(noObjective))["within"], uint64(2000))
	now = now.Add(7 * time.Hour)
	assert.Equal(t, sumCounts(table.report(noObjective))["within"], uint64(0))
	fill("b")
	services := map[string]int{}
	for _, s := range table.report(noObjective) {
		services[s.Service] += len(s.Coarse)
	}
	assert.Equal(t, services["a"], 0)
	assert.Assert(t, services["b"] > maxSeries/2, "%v", services)
}

// Guards against requests that are counted under the wrong route or outcome, and
// against refusals of the backend server that are counted as refusals of the node.
func TestBurnCounts(t *testing.T) {
	const route = "GET /items/{id}"
	for _, tc := range []struct {
		name      string
		path, key string
		behaviour standin.BackendBehaviour
		want      report.Series // at the entry node: the key and the only outcome
	}{
		{"answered", "/stock/items/1", testKey, standin.BackendBehaviour{}, oneSeries("stock", route, "farm", "within")},
		{"no key", "/stock/items/1", "", standin.BackendBehaviour{}, oneSeries("stock", route, "", "no_key")},
		{"no route", "/stock/nothing", testKey, standin.BackendBehaviour{}, oneSeries("", "", "", "no_route")},
		{"no such service", "/x/items/1", testKey, standin.BackendBehaviour{}, oneSeries("", "", "", "no_route")},
		{"shed by the backend server", "/stock/items/1", testKey, standin.BackendBehaviour{Shed: true}, oneSeries("stock", route, "farm", "backend.overload")},
		{"slow backend server", "/stock/slow", testKey, standin.BackendBehaviour{ServiceTime: time.Minute}, oneSeries("stock", "GET /slow", "farm", "backend.deadline")},
		{"no backend server", "/empty/items/1", testKey, standin.BackendBehaviour{}, oneSeries("empty", route, "farm", "no_backend_server")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, "stock", "empty")
			entry := f.startHost("a", "", standin.BackendBehaviour{})
			f.startHost("b", "stock", tc.behaviour)
			req := newRequest(t, "GET", entry.url+tc.path, nil)
			if tc.key != "" {
				req.Header.Set(headerKey, tc.key)
			}
			do(t, req)
			waitFor(t, func() bool { return len(entry.node.BurnReport().Series) > 0 }) // a request is counted after its response
			got := entry.node.BurnReport().Series
			assert.Equal(t, len(got), 1)
			assert.DeepEqual(t, oneSeries(got[0].Service, got[0].Route, got[0].Workspace, ""), oneSeries(tc.want.Service, tc.want.Route, tc.want.Workspace, ""))
			assert.DeepEqual(t, sumCounts(got), sumCounts([]report.Series{tc.want}))
			_, body := do(t, newRequest(t, "GET", "http://"+entry.node.cfg.Operators.Addr().String()+report.Path, nil))
			assert.Assert(t, strings.Contains(string(body), `"`+tc.want.Route+`"`), "%s", body)
		})
	}
}

func oneSeries(service, route, workspace, outcome string) report.Series {
	s := report.Series{Service: service, Route: route, Workspace: workspace}
	if outcome != "" {
		s.Coarse = []report.Bucket{{Counts: report.Counts{outcome: 1}}}
	}
	return s
}

// Guards the burn report end to end: callers' requests and onward calls counted at
// several nodes must be merged in one report, which lists the node that cannot be
// reached.
func TestBurnReportOfFleet(t *testing.T) {
	f := newFleet(t, "front", "deep")
	entry := f.startHost("a", "", standin.BackendBehaviour{})
	front := f.startHost("b", "front", standin.BackendBehaviour{Calls: []string{"GET /deep/items/2"}})
	f.startHost("c", "deep", standin.BackendBehaviour{})
	const each = 5
	for range each {
		do(t, newKeyedRequest(t, "GET", entry.url+"/front/items/1", nil))
		do(t, newKeyedRequest(t, "GET", front.url+"/front/items/1", nil))
		do(t, newKeyedRequest(t, "GET", entry.url+"/deep/items/1", nil))
	}
	operators := func(h *host) string { return h.node.cfg.Operators.Addr().String() }
	var r report.Report
	counted := func(service string) uint64 {
		for _, route := range r.Routes {
			if route.Service == service {
				return route.All.Windows[0].Counted
			}
		}
		return 0
	}
	waitFor(t, func() bool { // a request is counted after its response
		r = report.Merge(time.Now(), report.FetchAll(context.Background(), http.DefaultClient, []string{operators(entry), operators(front), "127.0.0.1:1"}))
		return counted("front") == 2*each && counted("deep") == 3*each
	})
	assert.Equal(t, len(r.Nodes), 2)
	assert.Equal(t, r.Missing[0].Address, "127.0.0.1:1")
	assert.Equal(t, r.Routes[0].Workspaces[0].Workspace, "farm")
	peaks := entry.node.BurnReport().Peaks
	assert.Equal(t, len(peaks), 1)
	assert.Assert(t, peaks[0].Fine[0].Count > 0 && peaks[0].Fine[0].Rate == 1000, "%v", peaks)
}

func BenchmarkBurnRecord(b *testing.B) {
	table := newBurnTable(time.Now)
	key, w, now := seriesKey{"stock", "GET /items/{id}", "farm", false}, &config.Workspace{Name: "farm"}, time.Now()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			table.recordDemand(w, now)
			table.record(key, report.WithinObjective, now)
		}
	})
}
