package node

import (
	"bytes"
	"fmt"
	"log"
	"net"
	"net/http"

	"github.com/dotterelseam/dotterelseam/refusal"
)

// refusalListener replaces the plain-text errors that net/http writes before any
// handler runs by refusals with a reason.
type refusalListener struct{ net.Listener }

// Accept implements net.Listener.
func (l refusalListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &refusalConn{Conn: conn}, nil
}

type refusalConn struct{ net.Conn }

// unwrapped returns the connection inside a refusalConn, and any other one as it is.
func unwrapped(c net.Conn) net.Conn {
	if r, ok := c.(*refusalConn); ok {
		return r.Conn
	}
	return c
}

// serverErrorHeaders occurs in every error that net/http writes on its own, and in no
// response of a handler, which has at least a Date header.
var serverErrorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// serverError returns the refusal that replaces p if p is an error that net/http wrote
// on its own, and nil otherwise.
func serverError(p []byte) *refusal.Refusal {
	line, _, found := bytes.Cut(p, serverErrorHeaders)
	if !found || bytes.Contains(line, []byte("\r\n")) {
		return nil
	}
	if bytes.HasPrefix(line, []byte("HTTP/1.1 431 ")) {
		return refusal.New(refusal.HeadersTooLarge, "the headers are too long")
	}
	return refusal.New(refusal.BadRequest, "the request is not valid HTTP/1.1")
}

// Write implements net.Conn.
func (c *refusalConn) Write(p []byte) (int, error) {
	const longestServerError = 1 << 10 // bytes
	if len(p) > longestServerError || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	r := serverError(p)
	if r == nil {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(rawRefusal(r)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite lets net/http close the sending side first, so that the client still
// receives the last response.
func (c *refusalConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// rawResponse is an http.ResponseWriter that collects the bytes of a response.
type rawResponse struct {
	bytes.Buffer
	header http.Header
}

func (a *rawResponse) Header() http.Header { return a.header }

func (a *rawResponse) WriteHeader(status int) {
	fmt.Fprintf(a, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = a.header.Write(a) // a bytes.Buffer does not fail
	a.WriteString("\r\n")
}

// rawRefusal returns a refusal as the bytes of an HTTP response.
func rawRefusal(r *refusal.Refusal) []byte {
	a := &rawResponse{header: http.Header{"Connection": {"close"}}}
	refusal.Write(a, r)
	return a.Bytes()
}

// serverLog returns a logger for net/http's servers that writes to the event log.
func (n *Node) serverLog() *log.Logger { return log.New(logWriter{n.log}, "", 0) }

type logWriter struct{ log *eventLog }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.sampled("http_server", "message", string(bytes.TrimSpace(p)))
	return len(p), nil
}
