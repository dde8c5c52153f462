package explain

import "testing"

// Guards against a log line that takes command dotterel down.
func FuzzParseLine(f *testing.F) {
	f.Add(`ts=2026-12-04T10:00:00.000Z event=request_failed request_id=a1 reason=overload message="a b"`, "a1")
	f.Add(`event= ts= "`, "")
	f.Add(`a="`, "a")
	f.Fuzz(func(_ *testing.T, text, id string) {
		parseLine(text, id, "node")
	})
}
