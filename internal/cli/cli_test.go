package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/cli"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/report"
	"github.com/dotterelseam/dotterelseam/status"
)

const trustDir = "../../examples/trust"

func run(args ...string) (code subcommands.ExitStatus, out, errOut string) {
	var o, e bytes.Buffer
	code = cli.Run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

// serveStatus serves the status report of a node with the given configuration
// version and returns the server's address.
func serveStatus(t *testing.T, name, dc string, version uint64) string {
	t.Helper()
	srv := httptest.NewServer(status.Handler(func() status.Node {
		return status.Node{Node: name, DataCentre: dc, State: status.Serving, Version: version}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func startPlatform(t *testing.T) (*standin.Platform, string) {
	t.Helper()
	p := standin.NewPlatform()
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return p, srv.URL
}

// Guards the exit codes that scripts rely on, and against arguments that are
// silently ignored.
func TestExitCodes(t *testing.T) {
	broken := t.TempDir()
	assert.NilError(t, os.WriteFile(broken+"/fleet.yaml", []byte("x: 1\n"), 0o600))
	behind, unreachable := serveStatus(t, "dudley-1", "dudley", 1), "127.0.0.1:1"
	current := serveStatus(t, "walsall-1", "walsall", 2)
	for _, tc := range []struct {
		name   string
		args   string // URL stands for the platform, where version 1 is present
		faults standin.PlatformFaults
		want   subcommands.ExitStatus
		text   string // in either output
	}{
		{name: "no command", want: cli.ExitUsage, text: "7  not in force everywhere in time"},
		{name: "unknown command", args: "chekc", want: cli.ExitUsage, text: "Usage"},
		{name: "check", args: "check " + trustDir, text: "4 services, 19 routes, 8 workspaces"},
		{name: "check without directory", args: "check", want: cli.ExitUsage, text: "no directory"},
		{name: "check invalid files", args: "check " + broken, want: cli.ExitProblems, text: "fleet.yaml:1: x: unknown field"},
		{name: "misplaced flag", args: "check " + trustDir + " -json", want: cli.ExitUsage, text: "-json must come before"},
		{name: "publish", args: "publish -platform URL " + trustDir, text: "published version 2"},
		{name: "publish from", args: "publish -platform URL -from 1 " + trustDir, text: "published version 2"},
		{name: "publish invalid files", args: "publish -platform URL " + broken, want: cli.ExitProblems, text: "data_centres: is missing"},
		{name: "conflict", args: "publish -platform URL -from 0 " + trustDir, want: cli.ExitConflict, text: "start from version 1"},
		{name: "platform down", args: "publish -platform URL -from 1 " + trustDir, faults: standin.PlatformFaults{Down: true}, want: cli.ExitUnreachable, text: "nothing was published"},
		{name: "no platform", args: "publish " + trustDir, want: cli.ExitUsage, text: "-platform is missing"},
		{name: "bad platform", args: "publish -platform 127.0.0.1 " + trustDir, want: cli.ExitUsage, text: "not a base URL"},
		{name: "wait without nodes", args: "publish -platform URL -wait " + trustDir, want: cli.ExitUsage, text: "-operators is missing"},
		{name: "nodes without wait", args: "publish -platform URL -operators 127.0.0.1:1 " + trustDir, want: cli.ExitUsage, text: "needs -wait"},
		{name: "in force", args: "publish -platform URL -wait -operators " + current + " " + trustDir, text: "in force on all 1 nodes"},
		{name: "not in force", args: "publish -platform URL -wait -limit 50ms -operators " + current + "," + behind + "," + unreachable + " " + trustDir,
			want: cli.ExitNotInForce, text: "dudley: in force on 0 of 1 nodes; behind: dudley-1\n  walsall: in force on 1 of 1 nodes\n  node 127.0.0.1:1 could not be reached"},
		{name: "demo with argument", args: "demo trust", want: cli.ExitUsage, text: "no other arguments"},
		{name: "report without subcommand", args: "report", want: cli.ExitUsage, text: "burn"},
		{name: "report burn, unreachable", args: "report burn -operators " + unreachable, want: cli.ExitFailed, text: "MISSING: node at 127.0.0.1:1"},
		{name: "report burn without nodes", args: "report burn", want: cli.ExitUsage, text: "-operators is missing"},
		{name: "report burn, bad file", args: "report burn -html " + broken + "/none/x -operators " + unreachable, want: cli.ExitFailed, text: "no such file"},
		{name: "experiment without subcommand", args: "experiment", want: cli.ExitUsage, text: "overhead"},
		{name: "experiment help", args: "experiment help overload", text: "goodput ratio at least 0.95"},
		{name: "experiment, bad sizes", args: "experiment config -sizes 12,x", want: cli.ExitUsage, text: "from 12 to"},
		{name: "experiment, bad mode", args: "experiment overload -modes all", want: cli.ExitUsage, text: "does not exist"},
		{name: "experiment quota, bad mode", args: "experiment quota -modes all", want: cli.ExitUsage, text: "does not exist"},
		{name: "experiment, extra argument", args: "experiment overhead now", want: cli.ExitUsage, text: "unexpected argument"},
		{name: "status", args: "status -operators " + current, text: "walsall-1  SERVING"},
		{name: "status, unreachable", args: "status -operators " + current + "," + unreachable, want: cli.ExitFailed, text: "127.0.0.1:1  UNREACHABLE"},
		{name: "status without nodes", args: "status", want: cli.ExitUsage, text: "-operators is missing"},
		{name: "status with host name", args: "status -operators localhost:1", want: cli.ExitUsage, text: "ip:port"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, url := startPlatform(t)
			code, _, errOut := run("publish", "-platform", url, "../../examples/sniadaniowo")
			assert.Equal(t, code, cli.ExitSuccess, errOut)
			p.SetFaults(tc.faults)
			code, out, errOut := run(strings.Fields(strings.ReplaceAll(tc.args, "URL", url))...)
			assert.Equal(t, code, tc.want, "%s%s", out, errOut)
			assert.Assert(t, strings.Contains(out+errOut, tc.text), "%s%s", out, errOut)
		})
	}
}

// Guards against an unknown outcome that is reported with the exit code of a
// failure: the platform aborts the connection on the write of the row.
func TestUnknownOutcomeExitCode(t *testing.T) {
	p := standin.NewPlatform().Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler) // the write of the row is lost; objects are stored
		}
		p.ServeHTTP(w, r)
	}))
	defer srv.Close()
	code, _, errOut := run("publish", "-platform", srv.URL, trustDir)
	assert.Equal(t, code, cli.ExitUnknownOutcome, errOut)
	assert.Assert(t, strings.Contains(errOut, "may be published again from version 0"), errOut)
}

// Guards the fields of the JSON output that scripts read.
func TestJSON(t *testing.T) {
	_, url := startPlatform(t)
	decode := func(text string) (v map[string]any) {
		assert.NilError(t, json.Unmarshal([]byte(text), &v), text)
		return v
	}
	address := serveStatus(t, "dudley-1", "dudley", 1)
	code, out, _ := run("publish", "-json", "-platform", url, "-wait", "-operators", address, trustDir)
	assert.Equal(t, code, cli.ExitSuccess)
	got := decode(out)
	assert.Equal(t, got["result"], "published")
	assert.Equal(t, got["version"], 1.0)
	assert.Equal(t, got["in_force"].(map[string]any)["complete"], true)
	code, out, _ = run("publish", "-json", "-platform", url, "-from", "0", trustDir+"/../sniadaniowo")
	assert.Equal(t, code, cli.ExitConflict)
	assert.Equal(t, decode(out)["present"].(map[string]any)["version"], 1.0)
	code, out, _ = run("check", "-json", t.TempDir())
	assert.Equal(t, code, cli.ExitProblems)
	assert.Equal(t, len(decode(out)["problems"].([]any)), 1)
	code, out, _ = run("status", "-json", "-operators", address)
	assert.Equal(t, code, cli.ExitSuccess)
	var entries []struct{ Node status.Node }
	assert.NilError(t, json.Unmarshal([]byte(out), &entries))
	assert.Equal(t, entries[0].Node.Node, "dudley-1")
}

// Guards the HTML page and the JSON form of the burn report.
func TestBurnReport(t *testing.T) {
	srv := httptest.NewServer(report.Handler(func() report.Node { return report.Node{Node: "dudley-1"} }))
	defer srv.Close()
	file := t.TempDir() + "/burn.html"
	code, out, errOut := run("report", "burn", "-json", "-html", file, "-operators", strings.TrimPrefix(srv.URL, "http://"))
	assert.Equal(t, code, cli.ExitSuccess, errOut)
	var r report.Report
	assert.NilError(t, json.Unmarshal([]byte(out), &r), out)
	assert.Equal(t, r.Nodes[0].Node, "dudley-1")
	page, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), "dudley-1"))
}

// Guards against exit codes that the operators' page does not list.
func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/exit-codes.md")
	assert.NilError(t, err)
	_, help, _ := run("help")
	_, codes, _ := strings.Cut(help, "Exit codes:\n")
	for _, line := range strings.Split(strings.TrimSpace(codes), "\n") {
		code, meaning, _ := strings.Cut(strings.TrimSpace(line), "  ")
		assert.Assert(t, strings.Contains(string(page), fmt.Sprintf("| %s | %s |", code, meaning)), "%s %s", code, meaning)
	}
}

// Guards against explain reporting success although no log line concerns the
// request or a log cannot be read.
func TestExplain(t *testing.T) {
	log := filepath.Join(t.TempDir(), "a.log")
	assert.NilError(t, os.WriteFile(log, []byte("ts=2026-10-05T16:42:38.311Z event=request_failed request_id=ab12 reason=overload\n"), 0o600))
	code, out, _ := run("explain", "ab12", log)
	assert.Equal(t, code, cli.ExitSuccess)
	assert.Assert(t, strings.Contains(out, "a.log event=request_failed request_id=ab12 reason=overload"), out)
	for _, args := range [][]string{{"explain", "cd34", log}, {"explain", "ab12", log + ".missing"}} {
		code, _, errOut := run(args...)
		assert.Equal(t, code, cli.ExitFailed, errOut)
	}
	code, _, _ = run("explain", "ab12")
	assert.Equal(t, code, cli.ExitUsage)
}

// Guards against invalid settings that check accepts and that only fail when the
// daemon starts, and against files checked as the settings of the other daemon.
func TestCheckSettings(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	addresses := "addresses: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', announcements: '127.0.0.1:3', ready: '127.0.0.1:4', operators: '127.0.0.1:5'}\n"
	good := "name: a\ndata_centre: d\nregion: r\nservice: s\nplatform: http://127.0.0.1:9\nannouncement_interval: 1s\nmemory: 1MiB\n"
	sidecar, duplicate := write("sidecar.yaml", good+addresses), write("twice.yaml", good+strings.Replace(addresses, ":5'", ":4'", 1))
	for _, tc := range []struct {
		args    []string
		code    subcommands.ExitStatus
		message string
	}{
		{[]string{"check", "-sidecar", sidecar}, cli.ExitSuccess, ""},
		{[]string{"check", "-sidecar", duplicate}, cli.ExitProblems, "127.0.0.1:4 is already the address of ready"},
		{[]string{"check", "-node", sidecar}, cli.ExitProblems, "cluster_secret"},
		{[]string{"check", "-sidecar", dir + "/none.yaml"}, cli.ExitProblems, "none.yaml"},
		{[]string{"check", "-sidecar", sidecar, "more"}, cli.ExitUsage, "take one file"},
		{[]string{"check", "-sidecar", sidecar, "-node", sidecar}, cli.ExitUsage, "take one file"},
	} {
		code, _, errOut := run(tc.args...)
		assert.Equal(t, code, tc.code, "%v: %s", tc.args, errOut)
		assert.Assert(t, strings.Contains(errOut, tc.message), "%v: %s", tc.args, errOut)
	}
}
