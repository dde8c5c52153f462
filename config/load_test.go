package config_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
)

const fleetText = `data_centres:
  - {name: walsall, region: midlands, share: 0.5}
  - {name: dudley, region: midlands, share: 0.5}
workspaces:
  - {name: farm, rate: 50, burst: 100}
keys: {cut_off_limit: 20s}
`

const orderbookText = `service: orderbook
routes:
  - route: POST /orders
    importance: critical
    idempotent: false
    at_most_once: true
    attempts: 6
    timeout: 800ms
    open: false
    max_body: 64KiB
    objective: {availability: 0.999, latency: 300ms}
  - {route: "GET /orders/{id}", importance: high, idempotent: true, attempts: 3, timeout: 1s}
`

// writeTree writes files, by relative path, to a new directory and returns it.
func writeTree(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	return dir
}

// Guards against lost fields, wrong defaults and an encoding that depends on
// the order of files, entries or directories.
func TestLoadIsCanonical(t *testing.T) {
	stock := strings.ReplaceAll(orderbookText, "orderbook", "stockroom")
	dir := writeTree(t, map[string]string{"fleet.yaml": fleetText, "b/dotterel.yaml": orderbookText, "a/dotterel.yaml": stock})
	d, problems := config.Load(dir)
	assert.NilError(t, problems.Err())
	assert.Equal(t, d.Fleet.Keys.CutOffLimit, 20*time.Second)
	assert.DeepEqual(t, d.Services[0].Routes, []config.Route{
		{Pattern: "GET /orders/{id}", Importance: config.High, Idempotent: true, Attempts: 3, Timeout: time.Second, MaxBody: config.DefaultMaxBody},
		{Pattern: "POST /orders", Importance: config.Critical, AtMostOnce: true, Attempts: 6, Timeout: 800 * time.Millisecond,
			MaxBody: 64 << 10, Objective: config.Objective{Availability: 0.999, Latency: 300 * time.Millisecond}},
	})
	want, err := config.Encode(d)
	assert.NilError(t, err)

	lines := strings.SplitAfter(fleetText, "\n")
	lines[1], lines[2] = lines[2], lines[1]
	head, last, _ := strings.Cut(orderbookText, "  - {")
	first, rest, _ := strings.Cut(head, "  - route:")
	swapped := first + "  - {" + last + "  - route:" + rest
	other := writeTree(t, map[string]string{"z/fleet.yaml": strings.Join(lines, ""), "a/dotterel.yaml": swapped, "b/dotterel.yaml": stock})
	d, problems = config.Load(filepath.Join(other, "b"), other, filepath.Join(other, "a"))
	assert.NilError(t, problems.Err())
	got, err := config.Encode(d)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, want))
}

// Guards against invalid files that are accepted, or reported at a wrong position.
func TestLoadProblems(t *testing.T) {
	fleet := func(old, new string) map[string]string {
		return map[string]string{"fleet.yaml": strings.Replace(fleetText, old, new, 1), "a/dotterel.yaml": orderbookText}
	}
	service := func(old, new string) map[string]string {
		return map[string]string{"fleet.yaml": fleetText, "a/dotterel.yaml": strings.Replace(orderbookText, old, new, 1)}
	}
	extra := func(name, text string) map[string]string {
		return map[string]string{"fleet.yaml": fleetText, "a/dotterel.yaml": orderbookText, name: text}
	}
	for _, tc := range []struct {
		name  string
		files map[string]string
		want  []string // all problems, in order; DIR stands for the directory
	}{
		{"service twice", extra("b/dotterel.yaml", orderbookText), []string{`DIR/b/dotterel.yaml:1: service: service "orderbook" is stated in DIR/a/dotterel.yaml:1 already`}},
		{"two fleet files", extra("b/fleet.yaml", fleetText), []string{"DIR/fleet.yaml: a second fleet file; the first is DIR/b/fleet.yaml"}},
		{"no fleet file", map[string]string{"a/dotterel.yaml": orderbookText}, []string{"fleet.yaml: no fleet.yaml"}},
		{"misspelt file", extra("b/dotterel.yml", ""), []string{"DIR/b/dotterel.yml: is ignored; rename it to dotterel.yaml"}},
		{"empty file", extra("b/dotterel.yaml", ""), []string{"DIR/b/dotterel.yaml: is empty"}},
		{"data centre twice", fleet("dudley", "walsall"), []string{`DIR/fleet.yaml:3: data_centres[1].name: data centre "walsall" is stated on line 2`}},
		{"shares above 1", fleet("0.5}\nworkspaces", "0.6}\nworkspaces"), []string{"DIR/fleet.yaml:3: data_centres[1].share: the shares of the data centres up to this one add up to 1.1"}},
		{"share not a fraction", fleet("share: 0.5", "share: -1"), []string{"DIR/fleet.yaml:2: data_centres[0].share: -1 is not between"}},
		{"share missing", fleet(", share: 0.5", ""), []string{"DIR/fleet.yaml:2: data_centres[0].share: is missing"}},
		{"workspace twice", fleet("workspaces:", "workspaces:\n  - {name: farm, rate: 1, burst: 2}"), []string{`DIR/fleet.yaml:6: workspaces[1].name: workspace "farm" is stated on line 5`}},
		{"workspace name", fleet("farm", "a/b"), []string{`DIR/fleet.yaml:5: workspaces[0].name: "a/b" is not a name`}},
		{"rate and burst", fleet("rate: 50, burst: 100", "rate: 0, burst: .inf"), []string{"DIR/fleet.yaml:5: workspaces[0].burst: must be a finite", "DIR/fleet.yaml:5: workspaces[0].rate: must be more than 0"}},
		{"burst below the data centres", fleet("burst: 100", "burst: 1"), []string{"DIR/fleet.yaml:5: workspaces[0].burst: 1 is less than one request for each of 2 data centres"}},
		{"rate as text", fleet("rate: 50", "rate: 50/s"), []string{"DIR/fleet.yaml:5: workspaces[0].rate: must be a number"}},
		{"cut-off limit", fleet("20s", "25h"), []string{"DIR/fleet.yaml:6: keys.cut_off_limit: 25h0m0s is more than 24h0m0s"}},
		{"unknown field", service("timeout:", "time_out:"), []string{"DIR/a/dotterel.yaml:3: routes[0].timeout: is missing", "DIR/a/dotterel.yaml:8: routes[0].time_out: unknown field"}},
		{"duplicate field", service("timeout:", "attempts: 3\n    timeout:"), []string{"DIR/a/dotterel.yaml:8: routes[0].attempts: duplicate field; first set on line 7"}},
		{"duplicate route", service("GET /orders/{id}", "POST /orders"), []string{`DIR/a/dotterel.yaml:12: routes[1].route: route "POST /orders" is stated on line 3`}},
		{"same pattern in other words", service("GET /orders/{id}", "POST  /orders"), []string{`DIR/a/dotterel.yaml:12: routes[1].route: "POST  /orders" conflicts with "POST /orders" on line 3`}},
		{"conflicting patterns", service("POST /orders", "GET /{kind}/last"), []string{`DIR/a/dotterel.yaml:12: routes[1].route: "GET /orders/{id}" conflicts with "GET /{kind}/last" on line 3`}},
		{"bad pattern", service("/orders/{id}", "/orders/{id"), []string{`DIR/a/dotterel.yaml:12: routes[1].route: "GET /orders/{id" is not a net/http pattern`}},
		{"pattern with a host", service("POST /orders", "POST host/orders"), []string{`DIR/a/dotterel.yaml:3: routes[0].route: "POST host/orders" must be`}},
		{"at most once and idempotent", service("idempotent: false", "idempotent: true"), []string{"DIR/a/dotterel.yaml:6: routes[0].at_most_once: excludes idempotent"}},
		{"at most once and open", service("open: false", "open: true"), []string{"DIR/a/dotterel.yaml:9: routes[0].open: excludes at_most_once"}},
		{"at most once, not important", service("critical", "normal"), []string{`DIR/a/dotterel.yaml:4: routes[0].importance: "normal" is below high`}},
		{"unknown importance", service("critical", "urgent"), []string{`DIR/a/dotterel.yaml:4: routes[0].importance: "urgent" does not exist`}},
		{"idempotent missing", service("idempotent: true, ", ""), []string{"DIR/a/dotterel.yaml:12: routes[1].idempotent: is missing"}},
		{"idempotent unclear", service("idempotent: true", "idempotent: yes"), []string{"DIR/a/dotterel.yaml:12: routes[1].idempotent: must be true or false"}},
		{"attempts", service("attempts: 6", "attempts: 0x10"), []string{"DIR/a/dotterel.yaml:7: routes[0].attempts: must be a decimal integer"}},
		{"too many attempts", service("attempts: 6", "attempts: 2000"), []string{"DIR/a/dotterel.yaml:7: routes[0].attempts: 2000 is not between"}},
		{"timeout without unit", service("800ms", "800"), []string{"DIR/a/dotterel.yaml:8: routes[0].timeout: must be a duration"}},
		{"timeout", service("800ms", "6m"), []string{"DIR/a/dotterel.yaml:8: routes[0].timeout: 6m0s is more than 5m0s"}},
		{"size", service("64KiB", "64KB"), []string{`DIR/a/dotterel.yaml:10: routes[0].max_body: must be a size with the unit B, KiB, MiB or GiB, such as 64KiB, not "64KB"`}},
		{"size too large", service("64KiB", "9999999999GiB"), []string{"DIR/a/dotterel.yaml:10: routes[0].max_body: must be a size"}},
		{"objective", service("0.999", "1.0"), []string{"DIR/a/dotterel.yaml:11: routes[0].objective.availability: 1 is not between"}},
		{"reserved name", service("service: orderbook", "service: v1"), []string{`DIR/a/dotterel.yaml:1: service: "v1" is reserved`}},
		{"no routes", map[string]string{"fleet.yaml": fleetText, "a/dotterel.yaml": "service: a\nroutes: []\n"}, []string{"DIR/a/dotterel.yaml:2: routes: no route is stated"}},
		{"two files wrong", map[string]string{"fleet.yaml": "keys: 3", "a/dotterel.yaml": "[]"}, []string{
			"DIR/a/dotterel.yaml:1: must be a mapping", "DIR/fleet.yaml:1: data_centres: is missing", "DIR/fleet.yaml:1: keys: must be a mapping", "DIR/fleet.yaml:1: workspaces: is missing"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := writeTree(t, tc.files)
			d, problems := config.Load(dir)
			assert.Assert(t, d == nil)
			assert.Equal(t, len(problems), len(tc.want), "%v", problems)
			for i, want := range tc.want {
				got := strings.ReplaceAll(problems[i].Error(), dir, "DIR")
				assert.Assert(t, strings.HasPrefix(got, want), "got  %s\nwant %s", got, want)
			}
		})
	}
	_, problems := config.Load("/nonexistent")
	assert.Equal(t, len(problems), 2, "%v", problems)
}

func ExampleLoad() {
	d, problems := config.Load("../examples/trust")
	if err := problems.Err(); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(len(d.Services), "services,", len(d.Fleet.Workspaces), "workspaces")
	// Output: 4 services, 8 workspaces
}
