// Package headerfield checks the names and values of HTTP header fields as RFC 9110,
// section 5, defines them.
package headerfield

// nameBytes are the bytes that the name of a field may have besides letters and digits.
const nameBytes = "!#$%&'*+-.^_`|~"

var isNameByte = func() (table [256]bool) {
	for c := range table {
		lower := c | 0x20
		table[c] = 'a' <= lower && lower <= 'z' || '0' <= c && c <= '9'
	}
	for _, c := range []byte(nameBytes) {
		table[c] = true
	}
	return table
}()

// IsName reports whether name can be the name of a field.
func IsName[T string | []byte](name T) bool {
	for i := range len(name) {
		if !isNameByte[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// IsValue reports whether value can be the value of a field: it contains no control
// character other than a tab.
func IsValue[T string | []byte](value T) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
