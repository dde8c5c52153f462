package nodecall

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the answer of a server to which a node's address redirects that counts as
// the node's.
func TestDoFollowsNoRedirect(t *testing.T) {
	var calls atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	t.Cleanup(other.Close)
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		node := httptest.NewServer(http.RedirectHandler(other.URL, status))
		t.Cleanup(node.Close)
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			_, err := Do(t.Context(), http.DefaultClient, method, strings.TrimPrefix(node.URL, "http://"), "/", 100)
			assert.Check(t, Error.Has(err), "%v", err)
		}
	}
	assert.Equal(t, calls.Load(), int64(0))
}
