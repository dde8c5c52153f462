// Package httpclient makes HTTP clients for calls to the store and to other nodes.
package httpclient

import "net/http"

// maxHeaderBytes limits the header of a response. All servers of these calls send less than 1 KiB.
const maxHeaderBytes = 64 << 10

// New returns a client that uses t, whose limit for headers of responses it sets, and follows
// no redirects.
func New(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return WithoutRedirects(&http.Client{Transport: t})
}

// WithoutRedirects returns a copy of c, with the same connections, that returns a redirect as
// the response. The servers of these calls send none, so the answer of the server that it names
// is that of a stranger.
func WithoutRedirects(c *http.Client) *http.Client {
	out := *c
	out.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &out
}
