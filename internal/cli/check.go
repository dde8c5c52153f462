package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/sidecar"
	"github.com/dotterelseam/dotterelseam/settings"
)

type checkCommand struct {
	*env
	json          bool
	node, sidecar string // paths of settings files; "" if not given
}

// checkReport is the output of check -json.
type checkReport struct {
	OK         bool            `json:"ok"`
	Problems   config.Problems `json:"problems"`
	Digest     string          `json:"digest,omitempty"` // of the encoded document
	Bytes      int             `json:"bytes,omitempty"`  // of the encoded document
	Services   int             `json:"services,omitempty"`
	Routes     int             `json:"routes,omitempty"`
	Workspaces int             `json:"workspaces,omitempty"`
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check operators' files or the settings of a node" }
func (*checkCommand) Usage() string {
	return `check [-json] DIR...
check -node FILE
check -sidecar FILE
Reads every dotterel.yaml and the one fleet.yaml below the directories and
reports every problem and conflict with file, line and field. With -node or
-sidecar, reads the settings file of a dotterelnode or a dotterelsidecar instead.
Changes nothing.
Exit codes: 0 no problems, 2 wrong usage, 3 files have problems.
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.node, "node", "", "settings `file` of a dotterelnode")
	f.StringVar(&c.sidecar, "sidecar", "", "settings `file` of a dotterelsidecar")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.node != "" || c.sidecar != "" {
		return c.checkSettings(f)
	}
	dirs, problem := directoryArgs(f)
	if problem != "" {
		return c.usageError(f, "%s", problem)
	}
	report := check(dirs)
	if c.json {
		c.printJSON(report)
	} else if report.OK {
		fmt.Fprintf(c.out, "no problems: %d services, %d routes, %d workspaces, digest %s\n",
			report.Services, report.Routes, report.Workspaces, report.Digest)
	} else {
		c.printProblems(report.Problems)
	}
	if !report.OK {
		return ExitProblems
	}
	return ExitSuccess
}

// checkSettings checks the settings file that -node or -sidecar names.
func (c *checkCommand) checkSettings(f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() > 0 || c.json || c.node != "" && c.sidecar != "" {
		return c.usageError(f, "-node and -sidecar take one file and nothing else")
	}
	var err error
	if c.node != "" {
		_, err = settings.Load(c.node)
	} else {
		err = sidecar.CheckSettings(c.sidecar)
	}
	if err != nil {
		fmt.Fprintln(c.errOut, err)
		return ExitProblems
	}
	fmt.Fprintln(c.out, "no problems")
	return ExitSuccess
}

// check loads and encodes the operators' files below dirs without publishing them.
func check(dirs []string) checkReport {
	d, problems := config.Load(dirs...)
	if len(problems) > 0 {
		return checkReport{Problems: problems}
	}
	encoded, err := config.Encode(d)
	if err != nil {
		return checkReport{Problems: config.Problems{{Message: err.Error()}}}
	}
	r := checkReport{
		OK: true, Problems: config.Problems{}, Digest: config.Digest(encoded), Bytes: len(encoded),
		Services: len(d.Services), Workspaces: len(d.Fleet.Workspaces),
	}
	for _, s := range d.Services {
		r.Routes += len(s.Routes)
	}
	return r
}

func (e *env) printProblems(problems config.Problems) {
	fmt.Fprintln(e.errOut, problems.Error())
	fmt.Fprintf(e.errOut, "problems: %d\n", len(problems))
}
