package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// maxFileBytes is the maximum size of a file. It bounds the memory for parsing.
const maxFileBytes = 1 << 20

// Document is one parsed file and the problems found in it so far. A Document and its
// Values are not safe for concurrent use.
type Document struct {
	File     string
	Problems Problems
	root     *yaml.Node
}

// ReadFile parses the file at path. If the file cannot be read or parsed, the
// document has a problem and no root value.
func ReadFile(path string) *Document {
	f, err := os.Open(path)
	if err != nil {
		return unreadable(path, err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return unreadable(path, err)
	}
	return Parse(path, data)
}

// unreadable returns a document with the problem that the file cannot be read.
func unreadable(path string, err error) *Document {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err // the problem already contains the path
	}
	d := &Document{File: path}
	d.Report(0, "", "cannot be read: %v", err)
	return d
}

// Parse parses data, which must be a single YAML document. Problems name the file as
// file. If data is malformed, the document has a problem and, unless the fault comes
// after the first YAML document, no root value.
func Parse(file string, data []byte) *Document {
	d := &Document{File: file}
	if len(data) > maxFileBytes {
		d.Report(0, "", "is larger than %d bytes", maxFileBytes)
		return d
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var node, second yaml.Node
	switch err := dec.Decode(&node); {
	case errors.Is(err, io.EOF):
		d.Report(0, "", "is empty")
		return d
	case err != nil:
		d.reportSyntax(err)
		return d
	}
	switch err := dec.Decode(&second); {
	case err == nil:
		d.Report(second.Line, "", "a second YAML document is not allowed")
	case !errors.Is(err, io.EOF):
		d.reportSyntax(err)
	}
	d.root = node.Content[0]
	return d
}

var yamlLine = regexp.MustCompile(`^yaml: line (\d+): `)

// reportSyntax adds a problem for an error of yaml.v3, with the line number from its
// message.
func (d *Document) reportSyntax(err error) {
	message, line := err.Error(), 0
	if m := yamlLine.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = message[len(m[0]):]
	}
	d.Report(line, "", "is not valid YAML: %s", strings.TrimPrefix(message, "yaml: "))
}

// Report adds a problem. Line 0 means the file as a whole.
func (d *Document) Report(line int, field, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{File: d.File, Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Root returns the top-level value, which is absent if the file could not be parsed.
func (d *Document) Root() Value { return Value{doc: d, node: d.root} }
