package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unframedConn plays a server that sends a response without a length while the request is
// being written. Once the response is read, reads return io.EOF; that happens only after a
// write has failed, or while a write is blocked.
type unframedConn struct {
	net.Conn     // nil
	writeErr     error
	firstWrite   sync.Once
	writing      chan struct{} // closed when the first write begins
	deadlinePast chan struct{} // closed by SetWriteDeadline
	deadlineOnce sync.Once
	response     []byte
	writeFailed  chan struct{} // closed when a write has returned an error
	failedOnce   sync.Once
}

func (c *unframedConn) Write(p []byte) (int, error) {
	first := false
	c.firstWrite.Do(func() { first = true; close(c.writing) })
	if first {
		return len(p), nil // the header
	}
	defer c.failedOnce.Do(func() { close(c.writeFailed) })
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	<-c.deadlinePast
	return 0, os.ErrDeadlineExceeded
}

func (c *unframedConn) Read(p []byte) (int, error) {
	<-c.writing
	if len(c.response) > 0 {
		n := copy(p, c.response)
		c.response = c.response[n:]
		return n, nil
	}
	if c.writeErr != nil {
		<-c.writeFailed
	}
	return 0, io.EOF
}

func (c *unframedConn) SetWriteDeadline(time.Time) error {
	c.deadlineOnce.Do(func() { close(c.deadlinePast) })
	return nil
}

func (c *unframedConn) Close() error { return nil }

// Guards against a response without a length that counts as complete although its
// connection broke, if the error was reported to the write of the request, and against one
// that counts as broken although the server has ended it in order.
func TestEndOfUnframedResponse(t *testing.T) {
	for _, tc := range []struct {
		name     string
		writeErr error // nil: the write blocks
		complete bool
	}{
		{name: "reset", writeErr: syscall.ECONNRESET},
		{name: "no longer reachable", writeErr: syscall.ETIMEDOUT},
		{name: "reset after its end", writeErr: syscall.EPIPE, complete: true},
		{name: "not read further", complete: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn := &unframedConn{
				writeErr: tc.writeErr, writing: make(chan struct{}), deadlinePast: make(chan struct{}), writeFailed: make(chan struct{}),
				response: []byte("HTTP/1.1 200 OK\r\n\r\npart"),
			}
			p := newConnPool(nil, 0, time.Minute, 1, 0)
			p.dialFunc = func(context.Context, string) (net.Conn, error) { return conn, nil }
			body := &requestBody{declaredLength: 1 << 20, buffered: make([]byte, 1<<20)} // streamed
			resp, _, err := p.roundTrip(t.Context(), &outboundRequest{method: http.MethodPost, address: "server", host: "h", url: &url.URL{Path: "/"}, body: body})
			assert.NilError(t, err)
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			assert.Equal(t, string(got), "part")
			assert.Equal(t, err == nil, tc.complete, "%v", err)
		})
	}
}
