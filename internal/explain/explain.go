// Package explain collects the log lines about one request from the logs of several
// hosts.
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

// Error is the class of errors of logs that cannot be read and of output that cannot be
// written.
var Error = errs.Class("explain")

const (
	maxLineBytes = 1 << 20
	timeKey      = "ts="
	idKey        = " request_id="
	timeFormat   = "2006-01-02T15:04:05.000Z"
)

// Line is one log line about the request.
type Line struct {
	At     time.Time
	Source string // last word before the timestamp, such as a host added by a log collector; the name of the log if there is none
	Text   string // rest of the line after the timestamp
}

// Find appends to lines the log lines about the request with the given ID and about
// its onward calls, whose IDs start with its ID and a dot. name is the name of the
// log. A line longer than 1 MiB is an error. After an error, the result contains the
// lines found so far. The error is of class Error.
func Find(lines []Line, id, name string, log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text(), id, name); ok {
			lines = append(lines, line)
		}
	}
	return lines, Error.Wrap(scanner.Err())
}

// parseLine parses a log line. It returns false if the line is malformed or about
// another request.
func parseLine(text, id, name string) (Line, bool) {
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

// Print sorts lines in place by time and writes each with the time since the first
// one, in whole milliseconds. The error is of class Error.
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
