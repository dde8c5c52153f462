// Package noredirect makes HTTP clients that follow no redirects. The servers of this
// project's calls send none, so the answer of another server is that of a stranger.
package noredirect

import "net/http"

// Client returns a copy of c, with the same connections, that returns a redirect as the
// response.
func Client(c *http.Client) *http.Client {
	out := *c
	out.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &out
}
