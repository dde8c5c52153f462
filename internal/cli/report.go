package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/report"
	"github.com/dotterelseam/dotterelseam/status"
)

// burnTimeout bounds one request of report burn to a node.
const burnTimeout = 10 * time.Second

// reportCommand groups the subcommands of report; burn is the only one.
type reportCommand struct{ *env }

func (*reportCommand) Name() string     { return "report" }
func (*reportCommand) Synopsis() string { return "report on error budgets" }
func (*reportCommand) Usage() string {
	return `report burn ...
Run "dotterel report help burn" for its usage.
`
}

func (*reportCommand) SetFlags(*flag.FlagSet) {}

func (c *reportCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	e := c.forGroup("report")
	return e.executeGroup(ctx, f, &burnCommand{env: e})
}

type burnCommand struct {
	*env
	json      bool
	operators string
	html      string
}

func (*burnCommand) Name() string     { return "burn" }
func (*burnCommand) Synopsis() string { return "show error budgets, burn rates and refusals" }
func (*burnCommand) Usage() string {
	return `burn [-json] [-html FILE] -operators ADDR,...
Merges what the nodes with the given operators listeners (ip:port) have counted
in the last 6 h: for each service, route and workspace the objective, the error
budget left, burn rates, alerts, and which refusals were the nodes' own. Give all
nodes: requests at others are not in the report. -html writes the report as a
page to a file as well.
Exit codes: 0 all nodes answered, 1 a node could not be reached or the file not
be written, 2 wrong usage.
`
}

func (c *burnCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.operators, "operators", "", "operators listeners of the nodes, ip:port, separated by commas")
	f.StringVar(&c.html, "html", "", "file to write a page to")
}

func (c *burnCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	nodes, err := parseAddresses(c.operators)
	if err != nil {
		return c.usageError(f, "%v", err)
	}
	if f.NArg() > 0 {
		return c.usageError(f, "unexpected argument %q", f.Arg(0))
	}
	r := report.Merge(time.Now(), report.FetchAll(ctx, status.DefaultClient(burnTimeout), nodes))
	if c.json {
		c.printJSON(r)
	} else if err := report.Render(c.out, r); err != nil {
		return ExitFailed
	}
	if err := c.writePage(r); err != nil {
		fmt.Fprintln(c.errOut, err)
		return ExitFailed
	}
	if len(r.Missing) > 0 {
		return ExitFailed
	}
	return ExitSuccess
}

// writePage writes the report as HTML to the file that -html names, if any.
func (c *burnCommand) writePage(r report.Report) error {
	if c.html == "" {
		return nil
	}
	var page bytes.Buffer
	if err := report.RenderHTML(&page, r); err != nil {
		return err
	}
	return os.WriteFile(c.html, page.Bytes(), 0o644)
}
