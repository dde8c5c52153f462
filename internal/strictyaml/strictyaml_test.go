package strictyaml

import (
	"testing"

	"gotest.tools/v3/assert"
)

// readAll calls every reader on v and on the values in it, up to a depth of 20.
func readAll(v Value, depth int) {
	if depth > 20 {
		return
	}
	m, ok := v.Mapping("a", "b", "<<")
	if ok {
		readAll(m.Require("a"), depth+1)
		readAll(m.Get("b"), depth+1)
	}
	values, _ := v.List()
	for _, item := range values {
		readAll(item, depth+1)
	}
	v.Name()
	v.Bool()
	v.Int()
	v.Float()
	v.Duration()
	v.Size()
}

// Guards against files that make the reader panic, and against problems without a
// message or with a line outside the file.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "# only a comment\n", "---\n", "...\n", "\xff", "a: [1, 2.5, .inf, 0x1F, 64KiB, 3s]", "a: &x {b: *x}\nb: *x",
		"<<: {a: 1}", "? [a]\n: b", "a: !!binary aGk=\nb: !t 1", "a: ~\nb:", "a: 1\na: 2\n---\n", "{a: 99999999999999999999}", "a: 9223372036854775807KiB"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := Parse("f", data)
		readAll(d.Root(), 0)
		assert.Assert(t, d.Root().Exists() || len(d.Problems) > 0, "neither a value nor a problem")
		for _, p := range d.Problems {
			assert.Assert(t, p.Message != "" && p.Line >= 0 && p.Line <= len(data)+1, "%+v", p)
		}
	})
}
