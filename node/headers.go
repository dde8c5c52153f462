package node

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// Headers that callers and backend servers may send, and headers that nodes add.
const (
	headerKey       = "Dotterel-Key"
	headerRequestID = "Dotterel-Request-Id"
	headerTimeout   = "Dotterel-Timeout-Ms"
	headerContext   = "Dotterel-Context"
	headerWorkspace = "Dotterel-Workspace"
	headerDeadline  = "Dotterel-Deadline-Ms"
	headerNotRun    = "Dotterel-Not-Run"
	headerDraining  = "Dotterel-Draining"
	headerRateLimit = "Dotterel-Rate-Limit" // requests per second that the backend server takes from all nodes together
	headerLeaving   = "Dotterel-Leaving"    // 1 if the backend server takes no new requests until it ends
	headerReplayed  = "Dotterel-Replayed"

	// headerAnswerLength carries the declared length of a response on a hop, where
	// every response is chunked.
	headerAnswerLength = "Dotterel-Hop-Answer-Length"

	internalPrefix = "Dotterel-"
)

const maxRequestIDBytes = 128 // the request ID becomes part of a table key and of log lines

// hopByHop holds the headers that apply to a single connection (RFC 9110, section
// 7.6.1) or that nodes set themselves.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true,
}

// forwardable returns a copy of h without the headers that must not be forwarded:
// hop-by-hop headers, those listed in Connection, and Dotterel headers. The values are
// shared with h. extra is the number of headers that the caller is going to add.
func forwardable(h http.Header, extra int) http.Header {
	out := make(http.Header, len(h)+extra)
	for name, values := range h {
		if !hopByHop[name] && !strings.HasPrefix(name, internalPrefix) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// headerBytes returns the size of a header in bytes as its sender wrote it, without
// optional white space.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

// singleValue returns the value of a header that may occur only once, or "" without
// one.
func singleValue(h http.Header, name string) (string, *refusal.Refusal) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", refusal.New(refusal.BadRequest, "more than one %s header", name)
}

// callerHeaders holds the three headers that a caller may send to a node.
type callerHeaders struct {
	key       string
	requestID string
	timeout   time.Duration // 0 without one
}

func parseCallerHeaders(h http.Header) (c callerHeaders, refused *refusal.Refusal) {
	if c.key, refused = singleValue(h, headerKey); refused != nil {
		return c, refused
	}
	if c.requestID, refused = singleValue(h, headerRequestID); refused != nil {
		return c, refused
	}
	if !validRequestID(c.requestID) {
		return c, refusal.New(refusal.BadRequest, "%s is longer than %d bytes or not printable ASCII", headerRequestID, maxRequestIDBytes)
	}
	timeout, refused := singleValue(h, headerTimeout)
	if refused != nil || timeout == "" {
		return c, refused
	}
	ms, err := strconv.ParseInt(timeout, 10, 32)
	if err != nil || ms <= 0 {
		return c, refusal.New(refusal.BadRequest, "%s is not a positive number of milliseconds", headerTimeout)
	}
	c.timeout = time.Duration(ms) * time.Millisecond
	return c, nil
}

func validRequestID(id string) bool {
	if len(id) > maxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// target is a request's path split into service and rest.
type target struct {
	service string
	url     url.URL // the rest and the query, as the backend server receives them
}

// splitTarget parses /<service>/<rest>. It refuses an encoded slash: routes are
// matched on the unescaped path, and a backend server could take the escaped path for
// another route.
func splitTarget(r *http.Request) (target, *refusal.Refusal) {
	escaped := r.URL.EscapedPath()
	if !strings.HasPrefix(escaped, "/") || r.Method == http.MethodConnect {
		return target{}, refusal.New(refusal.BadRequest, "the request names no path")
	}
	service, rest, _ := strings.Cut(escaped[1:], "/")
	if service == "" || strings.Contains(service, "%") {
		return target{}, refusal.New(refusal.NoRoute, "the path names no service")
	}
	if strings.Contains(rest, "%2f") || strings.Contains(rest, "%2F") {
		return target{}, refusal.New(refusal.BadRequest, "the path contains an encoded slash")
	}
	t := target{service: service, url: url.URL{
		Path:     "/" + strings.TrimPrefix(r.URL.Path[1+len(service):], "/"),
		RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}}
	if r.URL.RawPath != "" {
		t.url.RawPath = "/" + rest
	}
	return t, nil
}
