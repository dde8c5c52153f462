package standin

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// exchange returns the answer of the platform to one request.
func exchange(t *testing.T, p *Platform, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Guards against a stand-in that plays a restore otherwise than the platform's pages say: what
// was written since the copy is gone, versions are given out again, a read from a version that
// does not exist gets 410, the operator's rows are written again, and the era rises by one.
func TestRestore(t *testing.T) {
	p := NewPlatform()
	p.Write("op", "config", []byte("c1"))
	p.Write("rows", "kept", []byte("v1"))
	copied := p.Ver()
	p.Write("rows", "kept", []byte("v2"))
	p.Write("rows", "lost", []byte("v1"))
	p.Write("op", "config", []byte("c2"))
	newest := p.Ver()
	assert.Equal(t, exchange(t, p, "GET", "/-/rows-get?table=rows", "").Header().Get(eraHeader), "1")

	p.Restore(copied)
	got := exchange(t, p, "GET", "/-/rows-get?table=rows", "")
	assert.Equal(t, got.Header().Get(eraHeader), "2")
	assert.Assert(t, !p.Has("rows", "lost"))
	assert.Assert(t, strings.Contains(got.Body.String(), `"value":"djE="`), "the row is the older one: %s", got.Body)
	assert.Equal(t, p.Ver(), copied+1, "the operator has written again")
	assert.Assert(t, strings.Contains(exchange(t, p, "GET", "/-/rows-get?table=op", "").Body.String(), `"value":"YzI="`))
	assert.Equal(t, exchange(t, p, "GET", "/-/rows-feed?table=rows&after="+strconv.FormatUint(newest, 10), "").Code, http.StatusGone)
	p.Write("rows", "new", nil)
	assert.Equal(t, p.Ver(), copied+2, "versions are given out again")

	p.RestoreAge(0)
	assert.Equal(t, p.Ver(), copied+2, "a copy that was taken just now lacks nothing")
	assert.Equal(t, p.Era(), uint64(3))
}

// Guards against bad input that changes the rows.
func TestRestoreOfUnknownAge(t *testing.T) {
	p := NewPlatform()
	for _, age := range []string{"", "x", "-1"} {
		assert.Equal(t, exchange(t, p, "POST", "/restore", age).Code, http.StatusBadRequest)
	}
	assert.Equal(t, p.Era(), uint64(1))
}
