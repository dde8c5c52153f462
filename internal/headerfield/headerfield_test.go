package headerfield

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bytes in a name that another program takes for the end of the name.
func TestIsName(t *testing.T) {
	const allowed = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	count := 0
	for c := range 256 {
		if IsName([]byte{'X', byte(c)}) {
			count++
		}
	}
	assert.Equal(t, count, len(allowed))
	assert.Assert(t, IsName(allowed))
	assert.Assert(t, !IsName(""))
}

// Guards against control characters in a value, which could end it early.
func TestIsValue(t *testing.T) {
	for _, value := range []string{"", "a b\tc", "caf\xe9", "ż"} {
		assert.Assert(t, IsValue(value), "%q", value)
	}
	for _, value := range []string{"a\x00", "a\rb", "a\nb", "\x1b[0m", "\x7f"} {
		assert.Assert(t, !IsValue(value), "%q", value)
	}
}
