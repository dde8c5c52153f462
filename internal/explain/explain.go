// Package explain finds the story of one request in the logs of several hosts.
package explain

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of logs that cannot be read.
var Error = errs.Class("explain")

const (
	maxLineBytes = 1 << 20
	timeKey      = "ts="
	idKey        = " request_id="
	timeFormat   = "2006-01-02T15:04:05.000Z"
)

// Line is one log line that concerns the request.
type Line struct {
	At     time.Time
	Source string // where the line comes from: the log's name, or what stands before the line in it
	Text   string // from the event on
}

// Find adds the lines of one log that concern the request, or calls made for it
// whose IDs begin with its ID and a dot.
func Find(lines []Line, id, name string, log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text(), id, name); ok {
			lines = append(lines, line)
		}
	}
	return lines, Error.Wrap(scanner.Err())
}

// parse returns a line if it concerns the request.
func parse(text, id, name string) (Line, bool) {
	before, rest, ok := strings.Cut(text, timeKey)
	if !ok {
		return Line{}, false
	}
	_, after, ok := strings.Cut(rest, idKey)
	if !ok {
		return Line{}, false
	}
	found, _, _ := strings.Cut(after, " ")
	if found != id && !strings.HasPrefix(found, id+".") {
		return Line{}, false
	}
	stamp, event, _ := strings.Cut(rest, " ")
	at, err := time.Parse(timeFormat, stamp)
	if err != nil {
		return Line{}, false
	}
	if fields := strings.Fields(before); len(fields) > 0 {
		name = fields[len(fields)-1]
	}
	return Line{At: at, Source: name, Text: event}, true
}

// Print writes the lines in the order of their times, with the time since the first.
func Print(w io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	for _, l := range lines {
		after := l.At.Sub(lines[0].At).Milliseconds()
		if _, err := io.WriteString(w, l.At.Format(timeFormat)+" +"+time.Duration(after*int64(time.Millisecond)).String()+" "+l.Source+" "+l.Text+"\n"); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
