package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that keeps the body of an answer without end, or that delivers it as
// a complete answer. The caller does not read before its deadline.
func TestBodyWithoutEnd(t *testing.T) {
	const maxHeld = 64 << 20 // bytes; more than the sockets between a server and a caller hold
	start := "HTTP/1.1 200 OK\r\n" + sealedFields
	part := strings.Repeat("x", 64<<10)
	for name, tc := range map[string]struct{ start, more string }{
		"no length":   {start + "\r\n", part},
		"chunked":     {start + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + part + "\r\n"},
		"long length": {start + "Content-Length: 1000000000000\r\n\r\n", part},
	} {
		t.Run(name, func(t *testing.T) {
			shop, entry := newFleet(t).shopAndEntry()
			for _, h := range []*host{shop, entry} {
				var sent atomic.Int64
				ended := make(chan struct{})
				shop.setResponse(sendRaw(func(conn *net.TCPConn, r *http.Request) {
					defer close(ended)
					_, err := io.WriteString(conn, forRequest(tc.start, r))
					for err == nil {
						_, err = io.WriteString(conn, tc.more)
						sent.Add(int64(len(tc.more)))
					}
				}))
				conn, err := net.Dial("tcp", h.sidecar.settings.Addresses.Callers)
				assert.NilError(t, err)
				_, err = io.WriteString(conn, requestHead("order.example", time.Second, 0))
				assert.NilError(t, err)
				select {
				case <-ended:
				case <-time.After(waitLimit):
					t.Fatal("the server still sends")
				}
				assert.Assert(t, sent.Load() < maxHeld, "%d bytes were taken from the server", sent.Load())
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.Assert(t, err != nil, "the answer looks complete")
				assert.NilError(t, conn.Close())
			}
		})
	}
}
