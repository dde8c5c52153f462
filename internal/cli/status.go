package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/status"
)

type statusCommand struct {
	*env
	json      bool
	operators string
}

// statusEntry is one element of the list that status -json prints. It has either
// an error or a node.
type statusEntry struct {
	Address string       `json:"address"`
	Error   string       `json:"error,omitempty"`
	Node    *status.Node `json:"node,omitempty"`
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show what nodes report about themselves" }
func (*statusCommand) Usage() string {
	return `status [-json] -operators ADDR,...
Shows configuration, platform contact, endpoints, quota and thresholds of the
nodes with the given operators listeners (ip:port).
Exit codes: 0 all nodes answered, 1 a node could not be reached, 2 wrong usage.
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.operators, "operators", "", "operators listeners of the nodes, ip:port, separated by commas")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	nodes, err := parseAddresses(c.operators)
	if err != nil {
		return c.usageError(f, "%v", err)
	}
	if f.NArg() > 0 {
		return c.usageError(f, "unexpected argument %q", f.Arg(0))
	}
	results := status.FetchAll(ctx, status.DefaultClient(statusTimeout), nodes)
	if c.json {
		c.printJSON(statusEntries(results))
	} else if err := status.Render(c.out, results); err != nil {
		return ExitFailed
	}
	for _, r := range results {
		if r.Err != nil {
			return ExitFailed
		}
	}
	return ExitSuccess
}

func statusEntries(results []status.Result) []statusEntry {
	entries := make([]statusEntry, len(results))
	for i, r := range results {
		entries[i].Address = r.Address
		if r.Err != nil {
			entries[i].Error = r.Err.Error()
		} else {
			entries[i].Node = &r.Node
		}
	}
	return entries
}
