// Package cli holds the commands of dotterel. They parse arguments and print;
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

// env is where commands print.
type env struct {
	out    io.Writer
	errOut io.Writer
	name   string // of the command that the printing one belongs to
}

// Run executes the command in args and returns its exit code.
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

// within returns the env of the commands of a group.
func (e *env) within(group string) *env {
	return &env{out: e.out, errOut: e.errOut, name: e.name + " " + group}
}

// group executes the command of a group that f's arguments name.
func (e *env) group(ctx context.Context, f *flag.FlagSet, commands ...subcommands.Command) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, e.name)
	commander.Output, commander.Error = e.out, e.errOut
	commander.Register(commander.HelpCommand(), "")
	for _, c := range commands {
		commander.Register(c, "")
	}
	return commander.Execute(ctx)
}

// usage reports wrong arguments.
func (e *env) usage(f *flag.FlagSet, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(e.errOut, "%s %s: %s\n", e.name, f.Name(), fmt.Sprintf(format, args...))
	fmt.Fprintf(e.errOut, "Run \"%s help %s\" for its usage.\n", e.name, f.Name())
	return ExitUsage
}

// printJSON writes v with indents.
func (e *env) printJSON(v any) {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	// A write error means that nobody reads the output.
	_ = enc.Encode(v)
}

// directories returns the arguments, or an error text if there are none or one
// of them is a misplaced flag.
func directories(f *flag.FlagSet) ([]string, string) {
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

// addresses splits a list of ip:port.
func addresses(list string) ([]string, error) {
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

// platformClient checks a base URL and returns a client for it.
func platformClient(base string) (*platform.Client, error) {
	if base == "" {
		return nil, fmt.Errorf("-platform is missing")
	}
	u, err := url.Parse(base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("-platform: not a base URL of the form http://ip:port")
	}
	return platform.New(platform.Config{URL: strings.TrimRight(base, "/")}), nil
}
