package cli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/cli"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/keys"
)

// serveWithdrawals serves the withdrawal endpoint of a node, which answers with the
// given results, and returns the server's address.
func serveWithdrawals(t *testing.T, results ...keys.DataCentreResult) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == keys.WithdrawPath)
		_ = json.NewEncoder(w).Encode(keys.WithdrawResult{DataCentres: results, Table: "pending"})
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards the exit codes of the keys commands: a withdrawal that is not in force
// everywhere must not be reported as done, nor a grant as made while the platform
// is unreachable.
func TestKeysExitCodes(t *testing.T) {
	confirmsAll := serveWithdrawals(t, keys.DataCentreResult{DataCentre: "dudley", InForce: 2, Reached: true})
	confirmsSome := serveWithdrawals(t, keys.DataCentreResult{DataCentre: "dudley", InForce: 2, Reached: true}, keys.DataCentreResult{DataCentre: "walsall"})
	const unreachable = "127.0.0.1:1"
	for _, tc := range []struct {
		name, args string // URL stands for the platform, ID for a granted key
		faults     standin.PlatformFaults
		want       subcommands.ExitStatus
		text       string
	}{
		{name: "no subcommand", args: "keys", want: cli.ExitUsage, text: "withdraw"},
		{name: "grant", args: "keys grant -platform URL black-horse-farm", text: "granted key "},
		{name: "grant without workspace", args: "keys grant -platform URL", want: cli.ExitUsage, text: "dotterel keys grant: one workspace"},
		{name: "grant to a misspelt workspace", args: "keys grant -platform URL black-hrose-farm", want: cli.ExitFailed, text: "not in version 1"},
		{name: "grant, platform down", args: "keys grant -platform URL black-horse-farm", faults: standin.PlatformFaults{Down: true}, want: cli.ExitUnreachable},
		{name: "grant, answer lost", args: "keys grant -platform URL black-horse-farm", faults: standin.PlatformFaults{DropAnswers: 1}, text: "granted key "},
		{name: "grant, answers lost", args: "keys grant -platform URL black-horse-farm", faults: standin.PlatformFaults{DropRequests: 2}, want: cli.ExitUnknownOutcome, text: "withdraw key ID"},
		{name: "list", args: "keys list -platform URL", text: "granted    black-horse-farm"},
		{name: "list, platform down", args: "keys list -platform URL", faults: standin.PlatformFaults{Down: true}, want: cli.ExitUnreachable},
		{name: "withdraw", args: "keys withdraw -platform URL -operators " + confirmsAll + " ID", text: "dudley: in force on all 2 nodes"},
		{name: "withdraw, platform down", args: "keys withdraw -platform URL -operators " + confirmsAll + " ID",
			faults: standin.PlatformFaults{Down: true}, text: "the platform does not show it yet"},
		{name: "withdraw, partly reached", args: "keys withdraw -platform URL -operators " + confirmsSome + " ID", want: cli.ExitNotInForce, text: "walsall: COULD NOT BE REACHED"},
		{name: "withdraw, no node", args: "keys withdraw -platform URL -operators " + unreachable + " ID", want: cli.ExitNotInForce, text: "1 of the given nodes did not answer"},
		{name: "withdraw, nothing reached", args: "keys withdraw -platform URL -operators " + unreachable + " ID", faults: standin.PlatformFaults{Down: true}, want: cli.ExitUnreachable},
		{name: "withdraw a whole key", args: "keys withdraw -platform URL -operators " + unreachable + " ID.topsecret", want: cli.ExitUsage, text: "before the dot"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, url := startPlatform(t)
			code, _, errOut := run("publish", "-platform", url, trustDir)
			assert.Equal(t, code, cli.ExitSuccess, errOut)
			code, out, errOut := run("keys", "grant", "-json", "-platform", url, "black-horse-farm")
			assert.Equal(t, code, cli.ExitSuccess, errOut)
			var granted struct{ ID, Key string }
			assert.NilError(t, json.Unmarshal([]byte(out), &granted))
			assert.Assert(t, strings.HasPrefix(granted.Key, granted.ID+"."))
			p.SetFaults(tc.faults)
			code, out, errOut = run(strings.Fields(strings.NewReplacer("URL", url, "ID", granted.ID).Replace(tc.args))...)
			assert.Equal(t, code, tc.want, "%s%s", out, errOut)
			assert.Assert(t, strings.Contains(out+errOut, tc.text), "%s%s", out, errOut)
			assert.Assert(t, !strings.Contains(out+errOut, "topsecret"), "key repeated")
		})
	}
}
