package httpclient

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a header without end that is kept in memory.
func TestLongHeader(t *testing.T) {
	for size, ok := range map[int]bool{1 << 10: true, 32 << 10: true, 1 << 20: false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-More", strings.Repeat("x", size)) }))
		t.Cleanup(srv.Close)
		resp, err := New(&http.Transport{}).Get(srv.URL)
		assert.Equal(t, err == nil, ok, "%d bytes: %v", size, err)
		if err == nil {
			assert.NilError(t, resp.Body.Close())
		}
	}
}
