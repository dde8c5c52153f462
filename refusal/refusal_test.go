package refusal

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal whose reason, Ran or other fields are lost in HTTP.
func TestWriteParseRoundTrip(t *testing.T) {
	for reason := range statuses {
		for _, ran := range []Ran{RanNo, RanMaybe, RanYes} {
			want := NewRan(reason, ran, "route %q", "GET /x").WithRetryAfter(1500 * time.Millisecond)
			rec := httptest.NewRecorder()
			Write(rec, want)
			got, ok := Parse(rec.Header(), rec.Body.Bytes())
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, want)
			assert.Equal(t, rec.Code, want.Status())
			assert.Equal(t, rec.Header().Get("Retry-After"), "2")
		}
	}
}

// Guards against an unknown error that is reported as a request that did not run.
func TestFromUnknownErrorMayHaveRun(t *testing.T) {
	assert.Equal(t, FromError(errors.New("x")).Ran, RanMaybe)
	assert.Equal(t, FromError(fmt.Errorf("wrapped: %w", New(Overload, "full"))).Reason, Overload)
}
