package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/internal/demo"
)

type demoCommand struct {
	*env
	duration time.Duration
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a small fleet in this process and show what it does"
}
func (*demoCommand) Usage() string {
	return `demo [-for DURATION]
Runs stand-ins for the platform and backend servers, and nodes in two data
centres, on loopback addresses. Publishes examples/trust, grants keys, sends
requests, and prints what happens and commands to try. Ends when interrupted.
Exit codes: 0 done or interrupted, 1 failed, 2 wrong usage.
`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.duration, "for", 0, "end after this time; 0: run until interrupted")
}

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.duration < 0 {
		return c.usageError(f, "-for takes a duration that is not negative; there are no other arguments")
	}
	if err := demo.Run(ctx, demo.Options{Out: c.out, Duration: c.duration}); err != nil {
		fmt.Fprintln(c.errOut, err)
		return ExitFailed
	}
	return ExitSuccess
}
