package cli_test

import (
	"context"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/internal/cli"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/platform"
)

// Guards the recovery of a data centre that lost a majority of its witnesses, and the
// exit codes of quota retire: a holder row that was not changed must not be reported
// as changed.
func TestQuotaRetire(t *testing.T) {
	for _, tc := range []struct {
		name, args string // URL stands for the platform
		faults     standin.PlatformFaults
		want       subcommands.ExitStatus
		text       string
		released   bool
	}{
		{name: "no subcommand", args: "quota", want: cli.ExitUsage, text: "retire"},
		{name: "no node", args: "quota retire -platform URL -data-centre dudley", want: cli.ExitUsage, text: "at least one node"},
		{name: "no data centre", args: "quota retire -platform URL dudley-1", want: cli.ExitUsage, text: "-data-centre is missing"},
		{name: "unknown data centre", args: "quota retire -platform URL -data-centre dudlye dudley-1", want: cli.ExitFailed, text: "has no holder row"},
		{name: "platform down", args: "quota retire -platform URL -data-centre dudley dudley-1", faults: standin.PlatformFaults{Down: true}, want: cli.ExitUnreachable},
		{name: "answer lost", args: "quota retire -platform URL -data-centre dudley dudley-1", faults: standin.PlatformFaults{DropAnswers: 1}, want: cli.ExitUnknownOutcome, released: true},
		{name: "holder", args: "quota retire -platform URL -data-centre dudley dudley-1", text: "retired in data centre dudley: dudley-1", released: true},
		{name: "witness", args: "quota retire -platform URL -data-centre dudley dudley-2", text: "retired"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, url := startPlatform(t)
			value, err := cbor.Marshal(lease.Row{Node: "dudley-1", Incarnation: 1, Epoch: 4, Witnesses: []string{"dudley-1", "dudley-2", "dudley-3"}})
			assert.NilError(t, err)
			client := platform.New(platform.Config{URL: url})
			_, err = client.Put(context.Background(), lease.RowPrefix+"dudley", 0, value)
			assert.NilError(t, err)
			p.SetFaults(tc.faults)
			code, out, errOut := run(strings.Fields(strings.ReplaceAll(tc.args, "URL", url))...)
			assert.Equal(t, code, tc.want, "%s%s", out, errOut)
			assert.Assert(t, strings.Contains(out+errOut, tc.text), "%s%s", out, errOut)
			p.SetFaults(standin.PlatformFaults{})
			got, err := client.Get(context.Background(), lease.RowPrefix+"dudley")
			assert.NilError(t, err)
			row, err := lease.DecodeRow(got.Value)
			assert.NilError(t, err)
			assert.Equal(t, row.Released(), tc.released)
		})
	}
}
