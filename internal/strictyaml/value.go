package strictyaml

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Value is one value of a file, which may be absent. The methods that read it as a
// type, such as Mapping, List and Text, return false if it is absent or malformed,
// and report a problem only if it is malformed. Mapping returns true even if it
// reports unknown or duplicate fields.
type Value struct {
	Field string // path from the top of the file, such as routes[0].timeout
	doc   *Document
	node  *yaml.Node // nil if absent
}

// Exists reports whether the value is in the file.
func (v Value) Exists() bool { return v.node != nil }

// Line returns the line of the value, or 0 if it is absent.
func (v Value) Line() int {
	if v.node == nil {
		return 0
	}
	return v.node.Line
}

// Report adds a problem at this value.
func (v Value) Report(format string, args ...any) {
	v.doc.Report(v.Line(), v.Field, format, args...)
}

// Mapping is a YAML mapping, a value with named fields.
type Mapping struct {
	Value
	fields map[string]*yaml.Node
}

// Mapping reads a mapping. It reports fields that are not allowed or occur twice.
func (v Value) Mapping(allowed ...string) (Mapping, bool) {
	if !v.isKind(yaml.MappingNode, "", "a mapping") {
		return Mapping{Value: v}, false
	}
	m := Mapping{Value: v, fields: map[string]*yaml.Node{}}
	firstLine := map[string]int{}
	for i := 0; i+1 < len(v.node.Content); i += 2 {
		key, value := v.node.Content[i], v.node.Content[i+1]
		name := key.Value
		switch line, twice := firstLine[name]; {
		case key.Kind != yaml.ScalarNode || !slices.Contains(allowed, name):
			v.doc.Report(key.Line, v.fieldPath(name), "unknown field; the fields here are %s", strings.Join(allowed, ", "))
		case twice:
			v.doc.Report(key.Line, v.fieldPath(name), "duplicate field; first set on line %d", line)
		default:
			firstLine[name], m.fields[name] = key.Line, value
		}
	}
	return m, true
}

// Get returns the field with the given name, which may be absent.
func (m Mapping) Get(name string) Value {
	return Value{Field: m.fieldPath(name), doc: m.doc, node: m.fields[name]}
}

// Require returns the field with the given name and reports a problem if it is
// absent. It reports nothing if m is not a valid mapping, because that was
// already reported.
func (m Mapping) Require(name string) Value {
	v := m.Get(name)
	if !v.Exists() && m.fields != nil {
		m.doc.Report(m.Line(), v.Field, "is missing")
	}
	return v
}

// List reads a sequence.
func (v Value) List() ([]Value, bool) {
	if !v.isKind(yaml.SequenceNode, "", "a list") {
		return nil, false
	}
	values := make([]Value, len(v.node.Content))
	for i, n := range v.node.Content {
		values[i] = Value{Field: fmt.Sprintf("%s[%d]", v.Field, i), doc: v.doc, node: n}
	}
	return values, true
}

// Text reads a non-empty string.
func (v Value) Text() (string, bool) {
	if !v.isKind(yaml.ScalarNode, "!!str", "text (quote it if it looks like a number)") {
		return "", false
	}
	if v.node.Value == "" {
		v.Report("is empty")
		return "", false
	}
	return v.node.Value, true
}

// Bool reads true or false.
func (v Value) Bool() (bool, bool) {
	if !v.isKind(yaml.ScalarNode, "!!bool", "true or false") {
		return false, false
	}
	return strings.EqualFold(v.node.Value, "true"), true
}

// Int reads a decimal integer.
func (v Value) Int() (int, bool) {
	if !v.isKind(yaml.ScalarNode, "!!int", "an integer") {
		return 0, false
	}
	n, err := strconv.Atoi(v.node.Value)
	if err != nil {
		v.Report("must be a decimal integer, not %q", v.node.Value)
	}
	return n, err == nil
}

// Float reads a finite number.
func (v Value) Float() (float64, bool) {
	if v.node != nil && v.node.ShortTag() == "!!int" {
		n, ok := v.Int()
		return float64(n), ok
	}
	if !v.isKind(yaml.ScalarNode, "!!float", "a number") {
		return 0, false
	}
	f, err := strconv.ParseFloat(v.node.Value, 64)
	if err != nil || math.IsInf(f, 0) || math.IsNaN(f) {
		v.Report("must be a finite decimal number, not %q", v.node.Value)
		return 0, false
	}
	return f, true
}

// Duration reads a positive duration with a unit, such as 800ms.
func (v Value) Duration() (time.Duration, bool) {
	const want = "a duration with a unit, such as 800ms or 10s"
	if !v.isKind(yaml.ScalarNode, "!!str", want) {
		return 0, false
	}
	d, err := time.ParseDuration(v.node.Value)
	switch {
	case err != nil:
		v.Report("must be %s, not %q", want, v.node.Value)
	case d <= 0:
		v.Report("must be more than 0, not %v", d)
	}
	return d, err == nil && d > 0
}

// sizeUnits are tried in this order, because B is a suffix of the others.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Size reads a number of bytes with a unit, such as 64KiB.
func (v Value) Size() (int64, bool) {
	const want = "a size with the unit B, KiB, MiB or GiB, such as 64KiB"
	if !v.isKind(yaml.ScalarNode, "!!str", want) {
		return 0, false
	}
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(v.node.Value, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 63)
		if err != nil || int64(n) > math.MaxInt64/u.bytes {
			break
		}
		return int64(n) * u.bytes, true
	}
	v.Report("must be %s, not %q", want, v.node.Value)
	return 0, false
}

// isKind returns whether the value has the given kind and tag; an empty tag allows
// any tag. If the value does not, isKind adds a problem, unless the value is absent.
func (v Value) isKind(kind yaml.Kind, tag, want string) bool {
	if v.node == nil {
		return false
	}
	switch {
	case v.node.Kind == yaml.AliasNode:
		v.Report("aliases are not supported; write the value out")
	case v.node.ShortTag() == "!!null":
		v.Report("has no value; it must be %s", want)
	case v.node.Kind != kind, tag != "" && v.node.ShortTag() != tag:
		v.Report("must be %s", want)
	default:
		return true
	}
	return false
}

// fieldPath returns the path of a field of v.
func (v Value) fieldPath(name string) string {
	if v.Field == "" {
		return name
	}
	return v.Field + "." + name
}
