package cli

import (
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Exit codes of dotterel. docs/operators/exit-codes.md explains them.
const (
	ExitSuccess        subcommands.ExitStatus = 0
	ExitFailed         subcommands.ExitStatus = 1
	ExitUsage          subcommands.ExitStatus = 2
	ExitProblems       subcommands.ExitStatus = 3
	ExitConflict       subcommands.ExitStatus = 4
	ExitUnreachable    subcommands.ExitStatus = 5
	ExitUnknownOutcome subcommands.ExitStatus = 6
	ExitNotInForce     subcommands.ExitStatus = 7
)

// exitCodes lists the codes and meanings that help prints, in ascending order.
var exitCodes = []struct {
	code    subcommands.ExitStatus
	meaning string
}{
	{ExitSuccess, "done"},
	{ExitFailed, "failed"},
	{ExitUsage, "wrong usage"},
	{ExitProblems, "files have problems"},
	{ExitConflict, "conflict with another operator's change"},
	{ExitUnreachable, "platform unreachable, nothing was changed"},
	{ExitUnknownOutcome, "outcome unknown"},
	{ExitNotInForce, "not in force everywhere in time"},
}

func printExitCodes(w io.Writer) {
	fmt.Fprintln(w, "Exit codes:")
	for _, e := range exitCodes {
		fmt.Fprintf(w, "\t%d  %s\n", e.code, e.meaning)
	}
}
