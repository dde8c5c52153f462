package nodecall

import (
	"io"
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

// Guards against an answer that is taken for a whole one although it may have been cut off:
// a number without its last digits is still a number.
func TestDoNeedsWholeAnswer(t *testing.T) {
	const limit = 10 // bytes
	for name, tc := range map[string]struct {
		answer string
		ok     bool
	}{
		"with a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n123", true},
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n0\r\n\r\n", true},
		"at the limit":   {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1234567890", true},
		"no length":      {"HTTP/1.1 200 OK\r\n\r\n123", false},
		"HTTP/1.0":       {"HTTP/1.0 200 OK\r\n\r\n123", false},
		"cut off":        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n123", false},
		"chunk cut off":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n", false},
		"over the limit": {"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901", false},
		"without end":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3\r\n123\r\n", 1000), false},
		"status 000":     {"HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\n123", false},
		"status 101":     {"HTTP/1.1 101 OK\r\n\r\n123", false},
		"status 206":     {"HTTP/1.1 206 OK\r\nContent-Length: 3\r\n\r\n123", false},
	} {
		t.Run(name, func(t *testing.T) {
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, tc.answer)
			}))
			t.Cleanup(node.Close)
			body, err := Do(t.Context(), http.DefaultClient, http.MethodGet, strings.TrimPrefix(node.URL, "http://"), "/", limit)
			assert.Equal(t, err == nil, tc.ok, "%q, %v", body, err)
		})
	}
}
