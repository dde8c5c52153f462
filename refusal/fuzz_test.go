package refusal

import (
	"net/http"
	"testing"
)

// Guards against a refusal of another node that takes a node down.
func FuzzParse(f *testing.F) {
	f.Add("overload", "no", []byte(`{"reason":"overload","message":"full","ran":"no","retry_after_ms":200}`))
	f.Add("", "", []byte{})
	f.Add("x", "maybe", []byte(`{"retry_after_ms":1e300}`))
	f.Fuzz(func(_ *testing.T, reason, ran string, body []byte) {
		r, ok := Parse(http.Header{HeaderReason: {reason}, HeaderRan: {ran}}, body)
		if ok {
			_ = r.Status()
			_ = r.Error()
		}
	})
}
