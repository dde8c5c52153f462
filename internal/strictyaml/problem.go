// Package strictyaml reads YAML files field by field. It reports all unknown,
// duplicate, missing and malformed fields with file, line and field name, instead of
// stopping at the first.
package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`            // 1 is the first line; 0 means the file as a whole
	Field   string `json:"field,omitempty"` // path such as routes[0].timeout; empty for the file as a whole
	Message string `json:"message"`
}

// Error formats the problem as "file:line: field: message".
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Field != "" {
		b.WriteString(": " + p.Field)
	}
	b.WriteString(": " + p.Message)
	return b.String()
}

// Problems holds all errors that were found. It is empty if there are none.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Sort orders problems by file, line, field and message, so that the order is
// deterministic.
func (ps Problems) Sort() {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i], ps[j]
		switch {
		case a.File != b.File:
			return a.File < b.File
		case a.Line != b.Line:
			return a.Line < b.Line
		case a.Field != b.Field:
			return a.Field < b.Field
		}
		return a.Message < b.Message
	})
}
