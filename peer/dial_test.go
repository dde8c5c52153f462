package peer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a cluster token that is sent to the server to which an address redirects.
func TestHandshakeFollowsNoRedirect(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("redirected with the token %q", r.Header.Get(HeaderToken))
	}))
	t.Cleanup(other.Close)
	node := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(node.Close)
	req, err := http.NewRequest(http.MethodGet, node.URL, nil)
	assert.NilError(t, err)
	req.Header.Set(HeaderToken, "secret")
	resp, err := controlClient(nil).Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusTemporaryRedirect)
}
