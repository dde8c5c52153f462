package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/internal/explain"
)

type explainCommand struct{ *env }

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "print the story of a request from the logs of hosts"
}
func (*explainCommand) Usage() string {
	return `explain ID LOG...
Prints the lines of the logs that concern the request with the given ID, in the
order of their times.
Exit codes: 0 lines were found, 1 there are none or a log cannot be read, 2 wrong usage.
`
}

func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return c.usageError(f, "an ID and at least one log are needed")
	}
	var lines []explain.Line
	for _, path := range f.Args()[1:] {
		found, err := c.read(lines, f.Arg(0), path)
		if err != nil {
			fmt.Fprintln(c.errOut, err)
			return ExitFailed
		}
		lines = found
	}
	if len(lines) == 0 {
		fmt.Fprintf(c.errOut, "no line concerns request %s\n", f.Arg(0))
		return ExitFailed
	}
	if err := explain.Print(c.out, lines); err != nil {
		return ExitFailed
	}
	return ExitSuccess
}

// read appends to lines the lines of the log file at path that concern the request
// with the given ID, and returns the result.
func (c *explainCommand) read(lines []explain.Line, id, path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, explain.Error.Wrap(err)
	}
	defer file.Close()
	return explain.Find(lines, id, filepath.Base(path), file)
}
