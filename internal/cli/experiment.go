package cli

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/dotterelseam/dotterelseam/internal/experiment/control"
	"github.com/dotterelseam/dotterelseam/internal/experiment/overhead"
	"github.com/dotterelseam/dotterelseam/internal/experiment/overload"
	"github.com/dotterelseam/dotterelseam/internal/experiment/quota"
	"github.com/dotterelseam/dotterelseam/internal/harness"
)

// experimentCommand groups the subcommands that each run one experiment.
type experimentCommand struct{ *env }

func (*experimentCommand) Name() string { return "experiment" }
func (*experimentCommand) Synopsis() string {
	return "measure on this machine what the design promises"
}
func (*experimentCommand) Usage() string {
	return `experiment overhead|overload|quota|config [-json] ...
Run "dotterel experiment help overhead" and so on for what each one measures, how
long it runs and its targets. They use loopback addresses only, and a busy machine
makes the figures worse. A missed target is no failure of the command.
`
}

func (*experimentCommand) SetFlags(*flag.FlagSet) {}

func (c *experimentCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	e := c.forGroup("experiment")
	var commands []subcommands.Command
	for _, m := range experiments() {
		m.env = e
		commands = append(commands, m)
	}
	return e.executeGroup(ctx, f, commands...)
}

// experiment is a subcommand of experimentCommand.
type experiment struct {
	*env
	name, synopsis, help string

	setFlags func(*flag.FlagSet)
	run      func(context.Context) (results any, table [][]string, err error)
	json     bool
}

func experiments() []*experiment {
	return []*experiment{overheadExperiment(), overloadExperiment(), quotaExperiment(), configExperiment()}
}

func (x *experiment) Name() string     { return x.name }
func (x *experiment) Synopsis() string { return x.synopsis }
func (x *experiment) Usage() string {
	return x.help + "Exit codes: 0 measured, 1 failed, 2 wrong usage.\n"
}

func (x *experiment) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&x.json, "json", false, "print one JSON object")
	if x.setFlags != nil {
		x.setFlags(f)
	}
}

func (x *experiment) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return x.env.usageError(f, "unexpected argument %q", f.Arg(0))
	}
	results, table, err := x.run(ctx)
	if flagErr, ok := err.(flagError); ok {
		return x.env.usageError(f, "%s", string(flagErr))
	}
	if err != nil {
		fmt.Fprintln(x.errOut, err)
		return ExitFailed
	}
	if x.json {
		x.printJSON(results)
	} else {
		x.printTable(table)
	}
	return ExitSuccess
}

// flagError describes an invalid value of a flag.
type flagError string

func (e flagError) Error() string { return string(e) }

// printTable prints rows with aligned columns.
func (e *env) printTable(rows [][]string) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush() // write errors are ignored; usually the reader has closed the pipe
}

func formatFloat(f float64, decimals int) string { return strconv.FormatFloat(f, 'f', decimals, 64) }

func overheadExperiment() *experiment {
	return &experiment{
		name: "overhead", synopsis: "latency that nodes add to a call",
		help: `overhead [-json]
Measures the latency of calls directly to a backend server, through the node on
its host, and through an entry node and that node, at 2,000 calls/s, all in this
process. Runs about 20 s. Target: two nodes add at most 300 us at p99.
`,
		run: func(ctx context.Context) (any, [][]string, error) {
			r, err := overhead.Run(ctx)
			return r, overheadTable(r), err
		},
	}
}

func overheadTable(r overhead.Result) [][]string {
	row := func(name string, p50, p99 float64) []string {
		return []string{name, formatFloat(p50, 0), formatFloat(p99, 0), formatFloat(p50-r.DirectP50, 0), formatFloat(p99-r.DirectP99, 0)}
	}
	return [][]string{
		{"PATH", "P50 US", "P99 US", "ADDED P50 US", "ADDED P99 US"},
		row("direct", r.DirectP50, r.DirectP99),
		row("one node", r.OneNodeP50, r.OneNodeP99),
		append(row("two nodes", r.TwoNodeP50, r.TwoNodeP99), "(target: 300 added at p99)"),
		{"calls/s", formatFloat(r.CallsPerSecond, 0), "(target: 2000)"},
	}
}

func overloadExperiment() *experiment {
	var o overload.Options
	modes := ""
	return &experiment{
		name: "overload", synopsis: "goodput and recovery of a call chain under overload",
		help: `overload [-json] [-modes LIST] [-phase DURATION] [-surge FACTOR] [-seed N]
Measures a chain of three services at a surge of load and while its deepest
service is slow, in three modes: without control, with a fixed limit, and with
dotterelseam. Runs about 7 phases for each mode, 90 s in all, and 2 min at most.
Targets of the mode dotterel at a surge of 4: goodput ratio at least 0.95,
recovery within 1 s, mean attempts at most 1.1, worst workspace at least 0.95,
and no more important request shed while a less important one is served.
`,
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&modes, "modes", "", "none, static and dotterel, separated by commas; default: all")
			f.DurationVar(&o.Phase, "phase", 4*time.Second, "length of a phase")
			f.Float64Var(&o.Surge, "surge", 4, "offered load of the surge as a multiple of capacity")
			f.Uint64Var(&o.Seed, "seed", 1, "seed of the sequence of requests")
		},
		run: func(ctx context.Context) (any, [][]string, error) {
			if modes != "" {
				o.Modes = strings.Split(modes, ",")
			}
			if err := validateOverload(o); err != nil {
				return nil, nil, err
			}
			r, err := overload.Run(ctx, o)
			return r, overloadTable(r), err
		},
	}
}

func validateOverload(o overload.Options) error {
	for _, mode := range o.Modes {
		if mode != overload.ModeNone && mode != overload.ModeStatic && mode != overload.ModeDotterel {
			return flagError(fmt.Sprintf("-modes: %q does not exist", mode))
		}
	}
	if o.Phase <= 0 || o.Surge <= 0 {
		return flagError("-phase and -surge must be positive")
	}
	return nil
}

func overloadTable(r overload.Results) [][]string {
	rows := [][]string{{"MEASURE", "TARGET"}}
	add := func(name, target string, value func(overload.Result) string) {
		row := []string{name, target}
		for _, m := range r.Results {
			row = append(row, value(m))
		}
		rows = append(rows, row)
	}
	for _, m := range r.Results {
		rows[0] = append(rows[0], strings.ToUpper(m.Mode))
	}
	add("goodput ratio at the surge", ">= 0.95", func(m overload.Result) string { return formatFloat(m.GoodputRatio, 3) })
	add("weighted goodput ratio", "", func(m overload.Result) string { return formatFloat(m.WeightedGoodputRatio, 3) })
	add("recovered", "true", func(m overload.Result) string { return strconv.FormatBool(m.Recovered) })
	add("recovery, s", "<= 1", func(m overload.Result) string { return formatFloat(m.RecoveryS, 2) })
	add("attempts per request, mean", "<= 1.1", func(m overload.Result) string { return formatFloat(m.AttemptsPerRequestMean, 3) })
	add("attempts per request, max", "", func(m overload.Result) string { return strconv.Itoa(m.AttemptsPerRequestMax) })
	add("worst workspace ratio", ">= 0.95", func(m overload.Result) string { return formatFloat(m.WorstWorkspaceRatio, 3) })
	add("inversions of importance", "0", func(m overload.Result) string { return strconv.Itoa(m.ImportantShedWhileLessImportantServed) })
	add("wasted work ratio", "", func(m overload.Result) string { return formatFloat(m.WastedWorkRatio, 3) })
	return rows
}

func quotaExperiment() *experiment {
	var o quota.Options
	modes := ""
	return &experiment{
		name: "quota", synopsis: "how well workspaces are held to their rate",
		help: `quota [-json] [-modes LIST] [-seed N]
Measures 12 nodes in 3 data centres whose load moves between them, with one
workspace that sends 5 times its rate, and then with a partition and a killed node,
in three modes: dotterelseam, a fixed part for each node, and leases of tokens from
the platform's table. Runs about 72 s in all. Targets of the mode dotterel: at
most 1.0 of the bound in any window, and at most 0.01 of the requests within the
rate refused without faults.
`,
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&modes, "modes", "", "dotterel, static and table_lease, separated by commas; default: all")
			f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and of the moves of the load")
		},
		run: func(ctx context.Context) (any, [][]string, error) {
			if modes != "" {
				o.Modes = strings.Split(modes, ",")
			}
			for _, mode := range o.Modes {
				if mode != quota.ModeDotterel && mode != quota.ModeStatic && mode != quota.ModeTableLease {
					return nil, nil, flagError(fmt.Sprintf("-modes: %q does not exist", mode))
				}
			}
			r, err := quota.Run(ctx, o)
			return r, quotaTable(r), err
		},
	}
}

func quotaTable(r quota.Results) [][]string {
	rows := [][]string{{"MEASURE", "TARGET"}}
	add := func(name, target string, decimals int, value func(quota.Result) float64) {
		row := []string{name, target}
		for _, m := range r.Results {
			row = append(row, formatFloat(value(m), decimals))
		}
		rows = append(rows, row)
	}
	for _, m := range r.Results {
		rows[0] = append(rows[0], strings.ToUpper(m.Mode))
	}
	add("received over bound, max", "<= 1.0", 3, func(m quota.Result) float64 { return m.MaxOverBoundRatio })
	add("wrongly refused, no faults", "<= 0.01", 4, func(m quota.Result) float64 { return m.WronglyRefusedRatio })
	add("wrongly refused, with faults", "", 4, func(m quota.Result) float64 { return m.WronglyRefusedFaultsRatio })
	add("worst workspace ratio", "", 3, func(m quota.Result) float64 { return m.WorstWorkspaceRatio })
	add("control bytes per node and s", "", 0, func(m quota.Result) float64 { return m.ControlBytesPerNodePerS })
	add("requests", "", 0, func(m quota.Result) float64 { return float64(m.Requests) })
	return rows
}

func configExperiment() *experiment {
	sizes, separate := "", false
	return &experiment{
		name: "config", synopsis: "how fast control information is in force, and its cost",
		help: `config [-json] [-sizes LIST] [-separate]
Measures fleets of the given numbers of nodes, one after another: the time until a
publish and a withdrawn key are in force on all nodes and until a lost node is
known everywhere, and the control traffic, CPU time and memory of a node. All
nodes run in this process; with -separate as processes of dotterelnode, which
are built first and need this repository. Runs about 1 min for each size. Targets:
publish 5 s (aim 1 s), withdrawal 2 s, lost node 2 s, 4 KB/s, 2% of a core and
32 MB for each node.
`,
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&sizes, "sizes", "12,24", "numbers of nodes, separated by commas")
			f.BoolVar(&separate, "separate", false, "one process for each node")
		},
		run: func(ctx context.Context) (any, [][]string, error) {
			list, err := parseSizes(sizes)
			if err != nil {
				return nil, nil, err
			}
			measure := control.RunInProcess
			if separate {
				measure = control.Run
				defer harness.RemoveBinaries()
			}
			r, err := measure(ctx, list)
			return r, configTable(r), err
		},
	}
}

// Bounds of -sizes. The experiment kills 3 nodes. With minNodes, each of the 3 data
// centres has 4 nodes, so that no data centre loses all of its nodes: the loss of a
// whole data centre takes longer to detect (7.3 s with 6 nodes). maxNodes bounds the
// number of processes that -separate starts to a few hundred.
const (
	minNodes = 12
	maxNodes = 200
)

func parseSizes(list string) (sizes []int, err error) {
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < minNodes || n > maxNodes {
			return nil, flagError(fmt.Sprintf("-sizes: %q is not a number from %d to %d", s, minNodes, maxNodes))
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

func configTable(r control.Results) [][]string {
	rows := [][]string{{"MEASURE", "TARGET"}}
	add := func(name, target string, decimals int, value func(control.Result) float64) {
		row := []string{name, target}
		for _, m := range r.Results {
			row = append(row, formatFloat(value(m), decimals))
		}
		rows = append(rows, row)
	}
	add("nodes", "", 0, func(m control.Result) float64 { return float64(m.Nodes) })
	add("data centres", "", 0, func(m control.Result) float64 { return float64(m.DataCentres) })
	add("publish in force, p50 ms", "", 0, func(m control.Result) float64 { return m.PublishP50MS })
	add("publish in force, max ms", "<= 5000", 0, func(m control.Result) float64 { return m.PublishMaxMS })
	add("withdrawal in force, max ms", "<= 2000", 0, func(m control.Result) float64 { return m.WithdrawMaxMS })
	add("lost node known, max ms", "<= 2000", 0, func(m control.Result) float64 { return m.LostNodeKnownMaxMS })
	add("control bytes per node and s", "<= 4096", 0, func(m control.Result) float64 { return m.BytesPerNodePerS })
	add("CPU per node, % of a core", "<= 2", 2, func(m control.Result) float64 { return m.CPUPercentPerNode })
	add("memory per node, MB", "<= 32", 1, func(m control.Result) float64 { return m.RSSPerNodeMB })
	add("platform reads/s", "", 1, func(m control.Result) float64 { return m.PlatformReadsPerS })
	add("platform writes/s", "", 1, func(m control.Result) float64 { return m.PlatformWritesPerS })
	return rows
}
