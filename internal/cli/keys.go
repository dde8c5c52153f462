package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/keys"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/publish"
	"github.com/dotterelseam/dotterelseam/store"
)

// keysCommand groups the subcommands grant, withdraw and list.
type keysCommand struct{ *env }

func (*keysCommand) Name() string     { return "keys" }
func (*keysCommand) Synopsis() string { return "grant, withdraw and list keys of workspaces" }
func (*keysCommand) Usage() string {
	return `keys grant|withdraw|list ...
Run "dotterel keys help grant" and so on for the usage of each.
`
}

func (*keysCommand) SetFlags(*flag.FlagSet) {}

func (c *keysCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	e := c.forGroup("keys")
	return e.executeGroup(ctx, f, &grantCommand{env: e}, &withdrawCommand{env: e}, &listCommand{env: e})
}

// keyFlags are the flags that all subcommands of keys have.
type keyFlags struct {
	json     bool
	platform string
}

func (k *keyFlags) register(f *flag.FlagSet) {
	f.BoolVar(&k.json, "json", false, "print JSON")
	f.StringVar(&k.platform, "platform", "", "base URL of the platform")
}

type grantCommand struct {
	*env
	keyFlags
}

// grantReport is the output of keys grant -json.
type grantReport struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

func (*grantCommand) Name() string     { return "grant" }
func (*grantCommand) Synopsis() string { return "create a key for a workspace and print it once" }
func (*grantCommand) Usage() string {
	return `grant [-json] -platform URL WORKSPACE
Creates a key for a workspace of the configuration in force and prints it. The
key is stored nowhere; only its ID can be looked up later.
Exit codes: 0 granted, 1 failed (for example, no such workspace), 2 wrong usage,
5 platform unreachable, 6 outcome unknown: withdraw the ID that is printed.
`
}

func (c *grantCommand) SetFlags(f *flag.FlagSet) { c.register(f) }

func (c *grantCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := newPlatformClient(c.platform)
	if err != nil {
		return c.usageError(f, "%v", err)
	}
	if f.NArg() != 1 || strings.HasPrefix(f.Arg(0), "-") {
		return c.usageError(f, "one workspace is needed, after the flags")
	}
	workspace := f.Arg(0)
	if code := c.checkWorkspace(ctx, client, workspace); code != ExitSuccess {
		return code
	}
	key, id, err := (&keys.Operator{Table: client}).Grant(ctx, workspace)
	if store.ErrUnknownOutcome.Has(err) {
		fmt.Fprintf(c.errOut, "outcome unknown; withdraw key ID %s, which may exist: %v\n", id, err)
		return ExitUnknownOutcome
	}
	if err != nil {
		return c.printPlatformError(err)
	}
	if c.json {
		c.printJSON(grantReport{ID: id, Workspace: workspace, Key: key})
		return ExitSuccess
	}
	fmt.Fprintf(c.out, "granted key %s to workspace %s\n%s\n", id, workspace, key)
	return ExitSuccess
}

// checkWorkspace returns ExitSuccess if the published configuration has the
// workspace. Otherwise it prints an error and returns the exit code for it. A key for
// a misspelt workspace would be accepted by every node and its requests charged to no
// workspace.
func (c *grantCommand) checkWorkspace(ctx context.Context, client *platform.Client, workspace string) subcommands.ExitStatus {
	s, err := publish.ReadSnapshot(ctx, client)
	switch {
	case err != nil:
		return c.printPlatformError(err)
	case s == nil:
		fmt.Fprintln(c.errOut, "no configuration is published yet, so no workspace exists")
		return ExitFailed
	}
	if _, ok := s.Workspace(workspace); !ok {
		fmt.Fprintf(c.errOut, "workspace %q is not in version %d of the configuration\n", workspace, s.Version)
		return ExitFailed
	}
	return ExitSuccess
}

// printPlatformError prints err, the error of a failed call to the platform, and
// returns ExitUnreachable for an outage and ExitFailed otherwise. It must not be used
// for unknown outcomes: ExitUnreachable says that nothing was changed.
func (e *env) printPlatformError(err error) subcommands.ExitStatus {
	fmt.Fprintln(e.errOut, err)
	if store.IsOutage(err) || publish.ErrUnavailable.Has(err) {
		return ExitUnreachable
	}
	return ExitFailed
}

type withdrawCommand struct {
	*env
	keyFlags
	operators string
}

func (*withdrawCommand) Name() string     { return "withdraw" }
func (*withdrawCommand) Synopsis() string { return "put a key out of force" }
func (*withdrawCommand) Usage() string {
	return `withdraw [-json] -platform URL -operators ADDR,... ID
Withdraws the key with the given ID, at the platform and through the given nodes
at the same time. It also works while the platform is down. Give nodes of
several data centres. A withdrawal cannot be undone.
Exit codes: 0 in force everywhere, 1 failed, 2 wrong usage, 5 neither the
platform nor a node took it, 6 the same, but the platform may yet have it,
7 withdrawn, but not confirmed by every node: repeat the command.
`
}

func (c *withdrawCommand) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.StringVar(&c.operators, "operators", "", "operators listeners of nodes, ip:port, separated by commas")
}

func (c *withdrawCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := newPlatformClient(c.platform)
	if err != nil {
		return c.usageError(f, "%v", err)
	}
	nodes, err := parseAddresses(c.operators)
	if err != nil {
		return c.usageError(f, "%v", err)
	}
	if f.NArg() != 1 || !keys.ValidID(f.Arg(0)) {
		// The argument is not printed, because it may be a whole key, which is secret.
		return c.usageError(f, "one key ID is needed, after the flags: the part of a key before the dot")
	}
	w, err := (&keys.Operator{Table: client, Nodes: nodes}).Withdraw(ctx, f.Arg(0))
	if c.json {
		c.printJSON(w)
	}
	switch {
	case store.ErrUnknownOutcome.Has(err):
		fmt.Fprintln(c.errOut, err)
		return ExitUnknownOutcome
	case err != nil:
		return c.printPlatformError(err)
	}
	if !c.json {
		c.print(w)
	}
	if !w.InForceEverywhere() {
		return ExitNotInForce
	}
	return ExitSuccess
}

func (c *withdrawCommand) print(w keys.Withdrawal) {
	fmt.Fprintf(c.out, "withdrew key %s\n", w.ID)
	for _, r := range w.DataCentres {
		switch {
		case r.Complete():
			fmt.Fprintf(c.out, "  %s: in force on all %d nodes\n", r.DataCentre, r.InForce)
		case r.Reached:
			fmt.Fprintf(c.out, "  %s: in force on %d nodes, no answer from %d\n", r.DataCentre, r.InForce, r.Missing)
		default:
			fmt.Fprintf(c.out, "  %s: COULD NOT BE REACHED; the key may work there until the cut-off limit\n", r.DataCentre)
		}
	}
	if w.NodesFailed > 0 {
		fmt.Fprintf(c.out, "  %d of the given nodes did not answer\n", w.NodesFailed)
	}
	if !w.TableWritten {
		fmt.Fprintln(c.out, "  the platform does not show it yet; the nodes keep trying to write it")
	}
}

type listCommand struct {
	*env
	keyFlags
}

func (*listCommand) Name() string     { return "list" }
func (*listCommand) Synopsis() string { return "list the IDs of all keys" }
func (*listCommand) Usage() string {
	return `list [-json] -platform URL
Lists ID, workspace and state of all keys in the platform.
Exit codes: 0 done, 1 failed, 2 wrong usage, 5 platform unreachable.
`
}

func (c *listCommand) SetFlags(f *flag.FlagSet) { c.register(f) }

func (c *listCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := newPlatformClient(c.platform)
	if err != nil {
		return c.usageError(f, "%v", err)
	}
	if f.NArg() > 0 {
		return c.usageError(f, "unexpected argument %q", f.Arg(0))
	}
	infos, err := (&keys.Operator{Table: client}).List(ctx)
	if err != nil {
		return c.printPlatformError(err)
	}
	if c.json {
		c.printJSON(infos)
		return ExitSuccess
	}
	for _, k := range infos {
		fmt.Fprintf(c.out, "%s  %-9s  %s\n", k.ID, k.State, k.Workspace)
	}
	return ExitSuccess
}
