package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/lease"
	"github.com/dotterelseam/dotterelseam/store"
)

// quotaCommand groups the subcommands of quota; retire is the only one.
type quotaCommand struct{ *env }

func (*quotaCommand) Name() string     { return "quota" }
func (*quotaCommand) Synopsis() string { return "release the quota of a data centre after lost nodes" }
func (*quotaCommand) Usage() string {
	return `quota retire ...
Run "dotterel quota help retire" for its usage.
`
}

func (*quotaCommand) SetFlags(*flag.FlagSet) {}

func (c *quotaCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	e := c.forGroup("quota")
	return e.executeGroup(ctx, f, &retireCommand{env: e})
}

type retireCommand struct {
	*env
	platform   string
	dataCentre string
}

func (*retireCommand) Name() string { return "retire" }
func (*retireCommand) Synopsis() string {
	return "declare that nodes of a data centre have stopped for good"
}
func (*retireCommand) Usage() string {
	return `retire -platform URL -data-centre NAME NODE...
Removes nodes from the holder row of a data centre, so that the others can take
the quota over after a majority of its witnesses was lost. Name only nodes that
are certainly stopped: one that still runs behind a cut can spend the entitlement a
second time. docs/operators/quota.md explains when this is needed.
Exit codes: 0 done, 1 failed (for example, no such row), 2 wrong usage,
4 the row changed meanwhile: run it again, 5 platform unreachable,
6 outcome unknown: run it again, it has no further effect if it had one.
`
}

func (c *retireCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "base URL of the platform")
	f.StringVar(&c.dataCentre, "data-centre", "", "`name` of the data centre")
}

func (c *retireCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := newPlatformClient(c.platform)
	if err != nil {
		return c.usageError(f, "%v", err)
	}
	if c.dataCentre == "" {
		return c.usageError(f, "-data-centre is missing")
	}
	if f.NArg() == 0 || strings.HasPrefix(f.Arg(0), "-") {
		return c.usageError(f, "at least one node is needed, after the flags")
	}
	err = lease.Retire(ctx, client, c.dataCentre, f.Args())
	switch {
	case store.ErrConflict.Has(err):
		fmt.Fprintln(c.errOut, "the holder row changed meanwhile; run the command again")
		return ExitConflict
	case store.ErrUnknownOutcome.Has(err):
		fmt.Fprintf(c.errOut, "outcome unknown; run the command again: %v\n", err)
		return ExitUnknownOutcome
	case store.ErrNotFound.Has(err):
		fmt.Fprintf(c.errOut, "data centre %q has no holder row\n", c.dataCentre)
		return ExitFailed
	case err != nil:
		return c.printPlatformError(err)
	}
	fmt.Fprintf(c.out, "retired in data centre %s: %s\n", c.dataCentre, strings.Join(f.Args(), ", "))
	return ExitSuccess
}
