package status

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Width is the line length that Render aims for, in characters. Lines with many
// numbers or a long address may exceed it.
const Width = 80

const (
	columnGap         = 2
	minColumnWidth    = 6
	shownDigestLength = 12 // number of leading characters of the digest in the output
)

// Render writes the status of nodes for a terminal of Width columns.
func Render(w io.Writer, results []Result) error {
	var b strings.Builder
	for i, r := range results {
		if i > 0 {
			b.WriteString("\n")
		}
		if r.Err != nil {
			fmt.Fprintf(&b, "%s  UNREACHABLE\n", r.Address)
			continue
		}
		renderNode(&b, r)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func renderNode(b *strings.Builder, r Result) {
	n := r.Node
	const half = Width/2 - columnGap // for the data centre and the region, of which 10 are for the field name and the brackets
	// 12 characters are sufficient for the gap and the longest state.
	fmt.Fprintf(b, "%s  %s\n", truncateStart(n.Node, Width-12), strings.ToUpper(string(n.State)))
	writeField(b, "data centre", truncateStart(n.DataCentre, half-10)+" ("+truncateStart(n.Region, half-10)+")")
	if n.Version == 0 {
		writeField(b, "version", "NO CONFIGURATION")
	} else {
		writeField(b, "version", fmt.Sprintf("%d, digest %.*s", n.Version, shownDigestLength, n.Digest))
	}
	writeField(b, "platform", either(n.PlatformReachable, "reachable", "NOT REACHABLE"))
	writeField(b, "keys", either(n.KeysVerified, "verified", "NOT VERIFIED: keyed requests are refused"))
	renderTables(b, n)
}

func renderTables(b *strings.Builder, n Node) {
	var rows [][]string
	for _, e := range n.Endpoints {
		rows = append(rows, []string{e.Service, e.Node, e.DataCentre, e.State, strconv.Itoa(e.Slots), strconv.Itoa(e.Connections)})
	}
	writeTable(b, []string{"ENDPOINT", "NODE", "DATA CENTRE", "STATE", "SLOTS", "CONNECTIONS"}, 4, rows)
	rows = nil
	for _, w := range n.Workspaces {
		rows = append(rows, []string{w.Name, formatNumber(w.Rate), formatNumber(w.Burst), formatNumber(w.Level)})
	}
	writeTable(b, []string{"WORKSPACE (SHARE HERE)", "RATE/S", "BURST", "LEVEL"}, 1, rows)
	rows = nil
	for _, t := range n.Thresholds {
		rows = append(rows, []string{t.Service, t.Node, t.Lowest, strconv.Itoa(t.InFlight), strconv.Itoa(t.Queued), strconv.Itoa(t.Limit)})
	}
	writeTable(b, []string{"DESTINATION", "NODE", "ADMITS FROM", "IN FLIGHT", "QUEUED", "LIMIT"}, 3, rows)
}

func writeField(b *strings.Builder, name, value string) { fmt.Fprintf(b, "  %-13s %s\n", name, value) }

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

func either(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}

// writeTable writes a header and rows, or nothing if there are no rows. The first
// textColumns columns are text: they are left-aligned and truncated until the table
// fits Width. The others are numbers, which are right-aligned.
func writeTable(b *strings.Builder, header []string, textColumns int, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	widths := columnWidths(append([][]string{header}, rows...), textColumns)
	for _, row := range append([][]string{header}, rows...) {
		cells := make([]string, len(row))
		for i, cell := range row {
			cell = truncateStart(cell, widths[i])
			pad := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
			cells[i] = either(i < textColumns, cell+pad, pad+cell)
		}
		b.WriteString(strings.TrimRight("  "+strings.Join(cells, "  "), " ") + "\n")
	}
}

// columnWidths returns the width of each column. It shrinks the widest text columns
// until the table fits Width or they have reached minColumnWidth.
func columnWidths(rows [][]string, textColumns int) []int {
	widths := make([]int, len(rows[0]))
	for _, row := range rows {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	for totalWidth(widths) > Width {
		widest := 0
		for i := 1; i < textColumns; i++ {
			if widths[i] > widths[widest] {
				widest = i
			}
		}
		if widths[widest] <= minColumnWidth {
			break
		}
		widths[widest]--
	}
	return widths
}

// totalWidth returns the line length of a table, including its indent.
func totalWidth(widths []int) int {
	sum := columnGap // indent
	for _, w := range widths {
		sum += w + columnGap
	}
	return sum - columnGap
}

// truncateStart shortens s to n characters. It drops the start, because names of
// nodes usually differ at the end.
func truncateStart(s string, n int) string {
	runes := []rune(s)
	if len(runes) <= n {
		return s
	}
	return "…" + string(runes[len(runes)-n+1:])
}
