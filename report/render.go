package report

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// timeLayout formats times in UTC, independent of the local time zone.
const timeLayout = "2006-01-02 15:04:05 UTC"

// Rules explains what counts in the budget. Render and RenderHTML print it.
const Rules = `Good: whole answers below status 500 within the latency objective. Bad: later
ones, answers of status 500 or more, answers that broke off, and refusals that are
not the sender's fault. Not counted: refusals that are the sender's fault, senders
that left in time, and over_rate while the workspace as a whole sent more than its
rate on average, or much more than its burst at once. The budget is that of the
last 6 h, or since the nodes started.`

// Render writes the report as text for a terminal.
func Render(w io.Writer, r Report) error {
	var b strings.Builder
	renderSources(&b, r)
	for i := range r.Routes {
		renderRoute(&b, &r.Routes[i])
	}
	if len(r.Routes) == 0 {
		b.WriteString("\nno requests were counted\n")
	}
	if len(r.Unattributed) > 0 {
		b.WriteString("\nrefused before the route was known, in no budget:\n")
		renderOutcomes(&b, r.Unattributed)
	}
	b.WriteString("\n" + Rules + "\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func renderSources(b *strings.Builder, r Report) {
	fmt.Fprintf(b, "burn report, %s\n", formatTime(r.At))
	fmt.Fprintf(b, "%d of %d nodes", len(r.Nodes), len(r.Nodes)+len(r.Missing))
	if len(r.Nodes) > 0 {
		fmt.Fprintf(b, "; all of them count since %s", formatTime(r.Since))
	}
	b.WriteString("\n")
	for _, m := range r.Missing {
		fmt.Fprintf(b, "MISSING: node at %s; its requests are not in the report\n", m.Address)
	}
}

func formatTime(t time.Time) string { return t.UTC().Format(timeLayout) }

func renderRoute(b *strings.Builder, r *Route) {
	fmt.Fprintf(b, "\n%s  %s  (%s)\n", r.Service, r.Route, r.Objective)
	fmt.Fprintf(b, "  %-22s %8s %6s %6s %6s %6s %6s  %s\n", "WORKSPACE", "COUNTED", "LEFT", "5M", "30M", "1H", "6H", "ALERTS")
	renderBurn(b, "(all)", &r.All)
	for i := range r.Workspaces {
		renderBurn(b, workspaceName(r.Workspaces[i].Workspace), &r.Workspaces[i])
	}
	renderOutcomes(b, r.All.Outcomes)
}

// String formats the objective in the units of the configuration files, such as
// "99% within 100ms".
func (o Objective) String() string {
	availability, latency := "no availability objective", ""
	if o.Availability > 0 {
		availability = strconv.FormatFloat(100*o.Availability, 'f', -1, 64) + "%"
	}
	if o.LatencyMS > 0 {
		latency = " within " + time.Duration(o.LatencyMS*float64(time.Millisecond)).String()
	}
	return availability + latency
}

func renderBurn(b *strings.Builder, name string, burn *Burn) {
	fmt.Fprintf(b, "  %-22s %8d %6s", name, burn.Windows[window6h].Counted, formatPercent(burn.BudgetLeft))
	for i := range burn.Windows {
		b.WriteString(" " + fmt.Sprintf("%6s", formatRate(burn.Windows[i].BurnRate)))
	}
	b.WriteString("  " + burn.alerts() + "\n")
}

// workspaceName returns the name of a workspace, or "(none)" for requests without one:
// those on routes that need no key and those without a valid key.
func workspaceName(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

// alerts returns the names of the firing alerts, or the state if none fires.
func (b *Burn) alerts() string {
	switch {
	case b.Fast == AlertFiring && b.Slow == AlertFiring:
		return "FAST, SLOW"
	case b.Fast == AlertFiring:
		return "FAST"
	case b.Slow == AlertFiring:
		return "SLOW"
	case b.Fast == AlertNone:
		return "-"
	case b.Fast == AlertNoData && b.Slow == AlertNoData:
		return "no data"
	}
	return "ok"
}

func formatPercent(f *float64) string {
	if f == nil {
		return "-"
	}
	return strconv.FormatFloat(100**f, 'f', 0, 64) + "%"
}

func formatRate(f *float64) string {
	if f == nil {
		return "-"
	}
	return strconv.FormatFloat(*f, 'f', 1, 64)
}

var originNames = map[Origin]string{
	OriginNone: "answers", OriginFleet: "ours", OriginBackend: "backend server", OriginSender: "sender",
}

// renderOutcomes writes the outcomes of the last 6 h, one line for each origin.
func renderOutcomes(b *strings.Builder, counts []OutcomeCount) {
	for _, origin := range []Origin{OriginNone, OriginFleet, OriginBackend, OriginSender} {
		var parts []string
		for _, c := range counts {
			if c.Origin == origin {
				parts = append(parts, c.describe())
			}
		}
		if len(parts) > 0 {
			fmt.Fprintf(b, "    %-15s %s\n", originNames[origin]+":", strings.Join(parts, ", "))
		}
	}
}

// describe formats a count. It adds the number of bad requests if only some are bad,
// and says if none is counted.
func (c OutcomeCount) describe() string {
	if c.Bad > 0 && c.Bad < c.Count {
		return fmt.Sprintf("%s %d (%d burn)", c.Outcome, c.Count, c.Bad)
	}
	if c.Bad == 0 && c.Outcome != WithinObjective.String() {
		return fmt.Sprintf("%s %d (not counted)", c.Outcome, c.Count)
	}
	return fmt.Sprintf("%s %d", c.Outcome, c.Count)
}
