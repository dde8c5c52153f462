package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against missing lines of the request, lines of other requests, and lines that
// are not sorted by time.
func TestFindAndPrint(t *testing.T) {
	a := `ts=2026-10-05T16:42:38.311Z event=request_failed request_id=ab12 service=s reason=backend_answer
ts=2026-10-05T16:42:38.000Z event=request_failed request_id=ab123 service=s
ts=2026-10-05T16:42:38.100Z event=node_started id=ab12
not a log line request_id=ab12
ts=yesterday event=request_failed request_id=ab12 service=s
`
	b := `   2.1 sidecar-b ts=2026-10-05T16:42:38.300Z event=delivery_failed request_id=ab12 service=s
   2.0 sidecar-c ts=2026-10-05T16:42:38.200Z event=call_failed request_id=ab12.77 service=t
`
	lines, err := Find(nil, "ab12", "a.log", strings.NewReader(a))
	assert.NilError(t, err)
	lines, err = Find(lines, "ab12", "b.log", strings.NewReader(b))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, Print(&out, lines))
	assert.Equal(t, out.String(), `2026-10-05T16:42:38.200Z +0s sidecar-c event=call_failed request_id=ab12.77 service=t
2026-10-05T16:42:38.300Z +100ms sidecar-b event=delivery_failed request_id=ab12 service=s
2026-10-05T16:42:38.311Z +111ms a.log event=request_failed request_id=ab12 service=s reason=backend_answer
`)
}

// Guards against a log that is read only in part without an error.
func TestLineTooLong(t *testing.T) {
	_, err := Find(nil, "ab12", "a.log", strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	assert.Assert(t, Error.Has(err), "%v", err)
}
