package distribution

import "testing"

// Guards against a patch of another node that takes a node down.
func FuzzApplyPatch(f *testing.F) {
	base := []byte("the base of the patch")
	held := func(digest string) ([]byte, bool) { return base, digest == "held" }
	f.Add(makePatch("held", base, []byte("the base of another patch")))
	f.Add(makePatch("", nil, []byte("a document")))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		_, _ = applyPatch(encoded, held)
	})
}
