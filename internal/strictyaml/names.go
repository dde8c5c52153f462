package strictyaml

import "regexp"

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Name reads the name of a node, data centre, service or workspace. The characters
// are restricted, because names are used in URL paths and table keys.
func (v Value) Name() (string, bool) {
	s, ok := v.Text()
	if !ok {
		return "", false
	}
	if len(s) > MaxNameLength || !namePattern.MatchString(s) {
		v.Report("%q is not a name: 1 to %d letters, digits, dots, hyphens and underscores, the first a letter or digit", s, MaxNameLength)
		return "", false
	}
	return s, true
}
