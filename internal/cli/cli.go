// Package cli implements the commands of dotterel. They parse arguments and print;
// the work is done by the library packages.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strings"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/platform"
)

// env holds the output streams of a command and the name of its parent command.
type env struct {
	out    io.Writer
	errOut io.Writer
	name   string // full name of the parent command, for example "dotterel keys"
}

// Run executes the command in args and returns its exit code. Results go to out,
// errors and usage messages to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) subcommands.ExitStatus {
	e := &env{out: out, errOut: errOut, name: "dotterel"}
	flags := flag.NewFlagSet("dotterel", flag.ContinueOnError)
	flags.SetOutput(errOut)
	commander := subcommands.NewCommander(flags, "dotterel")
	commander.Output, commander.Error = out, errOut
	explain := commander.Explain
	commander.Explain = func(w io.Writer) { explain(w); printExitCodes(w) }
	commander.Register(commander.HelpCommand(), "")
	for _, c := range e.commands() {
		commander.Register(c, "")
	}
	if err := flags.Parse(args); err != nil {
		return ExitUsage
	}
	return commander.Execute(ctx)
}

func (e *env) commands() []subcommands.Command {
	return []subcommands.Command{&checkCommand{env: e}, &publishCommand{env: e}, &keysCommand{env: e}, &quotaCommand{env: e}, &statusCommand{env: e}, &demoCommand{env: e}, &reportCommand{env: e}, &explainCommand{env: e}, &experimentCommand{env: e}}
}

// forGroup returns the env for the subcommands of the named command.
func (e *env) forGroup(group string) *env {
	return &env{out: e.out, errOut: e.errOut, name: e.name + " " + group}
}

// executeGroup executes the subcommand that the arguments in f name.
func (e *env) executeGroup(ctx context.Context, f *flag.FlagSet, commands ...subcommands.Command) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, e.name)
	commander.Output, commander.Error = e.out, e.errOut
	commander.Register(commander.HelpCommand(), "")
	for _, c := range commands {
		commander.Register(c, "")
	}
	return commander.Execute(ctx)
}

// usageError prints an error in the arguments and returns ExitUsage.
func (e *env) usageError(f *flag.FlagSet, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(e.errOut, "%s %s: %s\n", e.name, f.Name(), fmt.Sprintf(format, args...))
	fmt.Fprintf(e.errOut, "Run \"%s help %s\" for its usage.\n", e.name, f.Name())
	return ExitUsage
}

// printJSON writes v to e.out as indented JSON.
func (e *env) printJSON(v any) {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	// Write errors are ignored; usually the reader of the output has closed the pipe.
	_ = enc.Encode(v)
}

// directoryArgs returns the directories given as arguments, or an error text if
// there are none or if a flag follows a directory.
func directoryArgs(f *flag.FlagSet) ([]string, string) {
	if f.NArg() == 0 {
		return nil, "no directory is given"
	}
	for _, arg := range f.Args() {
		if strings.HasPrefix(arg, "-") {
			return nil, fmt.Sprintf("flag %s must come before the directories", arg)
		}
	}
	return f.Args(), ""
}

// parseAddresses splits the value of -operators, a comma-separated list of
// ip:port, and checks each element.
func parseAddresses(list string) ([]string, error) {
	if list == "" {
		return nil, fmt.Errorf("-operators is missing")
	}
	parts := strings.Split(list, ",")
	for _, p := range parts {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return nil, fmt.Errorf("-operators: %q is not an address of the form ip:port", p)
		}
	}
	return parts, nil
}

// newPlatformClient checks the base URL given as -platform and returns a client
// for it.
func newPlatformClient(base string) (*platform.Client, error) {
	if base == "" {
		return nil, fmt.Errorf("-platform is missing")
	}
	u, err := url.Parse(base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("-platform: not a base URL: must have the scheme http or https and a host")
	}
	return platform.New(platform.Config{URL: strings.TrimRight(base, "/")}), nil
}
