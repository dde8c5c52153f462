package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/publish"
	"github.com/dotterelseam/dotterelseam/status"
)

const (
	fromPresent        = -1              // value of -from that means the present version
	defaultWaitTimeout = 5 * time.Second // default of -limit: the target of R10 in docs/design.md
	statusTimeout      = time.Second     // time limit of one status request
)

type publishCommand struct {
	*env
	json        bool
	from        int64
	platform    string
	wait        bool
	operators   string
	waitTimeout time.Duration
}

// publishReport is the output of publish -json.
type publishReport struct {
	Result   string           `json:"result"` // published, problems, conflict, unreachable, unknown or failed
	Message  string           `json:"message,omitempty"`
	From     *uint64          `json:"from,omitempty"`
	Version  uint64           `json:"version,omitempty"`
	Digest   string           `json:"digest,omitempty"`
	Present  *publish.Current `json:"present,omitempty"` // version in the platform after a conflict or unknown outcome
	Problems config.Problems  `json:"problems,omitempty"`
	InForce  *status.Rollout  `json:"in_force,omitempty"` // only with -wait
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "check operators' files and put them into force" }
func (*publishCommand) Usage() string {
	return `publish [-json] -platform URL [-from N] [-wait -operators ADDR,... [-limit 5s]] DIR...
Checks the files like "check" and publishes them as the next version. With
-from N, the publish conflicts unless N is the present version; without it, the
change starts from the version that is present when the command runs.
With -wait, polls the given nodes until they report the new version.
Exit codes: 0 published (and in force, with -wait), 1 failed, 2 wrong usage,
3 files have problems, 4 conflict, 5 platform unreachable, 6 outcome unknown,
7 published, but not in force on all given nodes in time.
`
}

func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.Int64Var(&c.from, "from", fromPresent, "version that the change started from; 0: nothing was published yet; -1: the present one")
	f.StringVar(&c.platform, "platform", "", "base URL of the platform")
	f.BoolVar(&c.wait, "wait", false, "wait until the nodes report the new version")
	f.StringVar(&c.operators, "operators", "", "operators listeners of the nodes to wait for, ip:port, separated by commas")
	f.DurationVar(&c.waitTimeout, "limit", defaultWaitTimeout, "time limit of -wait")
}

func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dirs, problem := directoryArgs(f)
	if problem != "" {
		return c.usageError(f, "%s", problem)
	}
	client, err := newPlatformClient(c.platform)
	if err != nil {
		return c.usageError(f, "%v", err)
	}
	var nodes []string
	if c.wait || c.operators != "" {
		if nodes, err = parseAddresses(c.operators); err != nil {
			return c.usageError(f, "%v", err)
		}
	}
	if c.from < fromPresent || c.waitTimeout <= 0 {
		return c.usageError(f, "-from must be a version, and -limit must be more than 0")
	}
	if !c.wait && nodes != nil {
		return c.usageError(f, "-operators needs -wait")
	}
	return c.publish(ctx, client, dirs, nodes)
}

func (c *publishCommand) publish(ctx context.Context, client *platform.Client, dirs, nodes []string) subcommands.ExitStatus {
	report := publishReport{}
	d, problems := config.Load(dirs...)
	if len(problems) > 0 {
		report.Result, report.Problems = "problems", problems
		return c.finish(report, ExitProblems)
	}
	from, err := c.baseVersion(ctx, client)
	if err != nil {
		return c.finishWithError(report, err)
	}
	report.From = &from
	current, err := publish.Publish(ctx, client, from, d)
	if err != nil {
		return c.finishWithError(report, err)
	}
	report.Result, report.Version, report.Digest = "published", current.Version, current.Digest
	if !c.wait {
		return c.finish(report, ExitSuccess)
	}
	ctx, cancel := context.WithTimeout(ctx, c.waitTimeout)
	defer cancel()
	inForce := status.Waiter{Client: status.DefaultClient(statusTimeout), Addresses: nodes}.Wait(ctx, current.Version)
	report.InForce = &inForce
	if !inForce.Complete {
		return c.finish(report, ExitNotInForce)
	}
	return c.finish(report, ExitSuccess)
}

// baseVersion returns the version that the change starts from: the value of -from
// or the version in the platform.
func (c *publishCommand) baseVersion(ctx context.Context, client *platform.Client) (uint64, error) {
	if c.from != fromPresent {
		return uint64(c.from), nil
	}
	current, err := publish.ReadCurrent(ctx, client)
	return current.Version, err
}

// finishWithError maps an error of package publish to a result and an exit code,
// and prints the report.
func (c *publishCommand) finishWithError(report publishReport, err error) subcommands.ExitStatus {
	report.Message = err.Error()
	var conflict *publish.ConflictError
	var unknown *publish.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		report.Result = "conflict"
		if conflict.Known {
			report.Present = &conflict.Current
		}
		return c.finish(report, ExitConflict)
	case errors.As(err, &unknown):
		report.Result, report.Digest = "unknown", unknown.Digest
		if unknown.Known {
			report.Present = &unknown.Current
		}
		return c.finish(report, ExitUnknownOutcome)
	case publish.ErrUnavailable.Has(err):
		report.Result = "unreachable"
		return c.finish(report, ExitUnreachable)
	case publish.ErrInvalid.Has(err):
		report.Result = "problems"
		return c.finish(report, ExitProblems)
	}
	report.Result = "failed"
	return c.finish(report, ExitFailed)
}

// finish prints the report in the form that the flags ask for and returns code.
func (c *publishCommand) finish(r publishReport, code subcommands.ExitStatus) subcommands.ExitStatus {
	switch {
	case c.json:
		c.printJSON(r)
	case len(r.Problems) > 0:
		c.printProblems(r.Problems)
	case r.Result != "published":
		fmt.Fprintln(c.errOut, r.Message)
	default:
		fmt.Fprintf(c.out, "published version %d, digest %s\n", r.Version, r.Digest)
		if r.InForce != nil {
			c.printInForce(*r.InForce)
		}
	}
	return code
}

func (c *publishCommand) printInForce(f status.Rollout) {
	for _, dc := range f.DataCentres {
		fmt.Fprintf(c.out, "  %s: in force on %d of %d nodes", dc.Name, dc.InForce, dc.Nodes)
		if len(dc.Behind) > 0 {
			fmt.Fprintf(c.out, "; behind: %s", strings.Join(dc.Behind, ", "))
		}
		fmt.Fprintln(c.out)
	}
	for _, address := range f.Unreachable {
		fmt.Fprintf(c.out, "  node %s could not be reached\n", address)
	}
	if f.Complete {
		fmt.Fprintf(c.out, "version %d is in force on all %d nodes asked\n", f.Version, f.Asked())
		return
	}
	fmt.Fprintf(c.out, "version %d is published, but was not in force on all nodes asked within %v\n", f.Version, c.waitTimeout)
}
