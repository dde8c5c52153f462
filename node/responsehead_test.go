package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scanInParts feeds a response to a headScanner in steps of n bytes. It returns the length
// of the header, or 0 if it is not complete.
func scanInParts(response []byte, n int) (length int, err error) {
	var h headScanner
	for end := min(n, len(response)); ; end = min(end+n, len(response)) {
		complete, err := h.scan(response[:end])
		switch {
		case err != nil:
			return 0, err
		case complete:
			return h.lineStart, nil
		case end == len(response):
			return 0, nil
		}
	}
}

// Guards against a header that is taken for another one if it arrives in parts.
func TestHeadInParts(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\n\r\n"
	for n := 1; n <= len(head); n++ {
		length, err := scanInParts([]byte(head+"ok\r\n\r\n"), n)
		assert.NilError(t, err)
		assert.Equal(t, length, len(head))
	}
}

// Guards against a long header that breaks its exchange or the next one on the connection.
func TestLongHead(t *testing.T) {
	for _, size := range []int{connBufferBytes - 40, connBufferBytes, 3 * connBufferBytes, maxResponseHeaderBytes - 100} {
		var requests atomic.Int64
		response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: " + strings.Repeat("x", size) + "\r\n\r\nok"
		address := newScriptedServer(t, &requests, response, response, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		p := newConnPool(nil, time.Second, time.Minute, 1, 0)
		for range 3 {
			body, err := doExchange(p, address)
			assert.NilError(t, err, "%d bytes", size)
			assert.Equal(t, body, "ok")
		}
		assert.Equal(t, len(p.idle[address]), 1)
		assert.Equal(t, p.idle[address][0].r.Size(), connBufferBytes)
		p.close()
	}
}

// Guards against a header of many short fields, which takes many times its size in memory.
func TestFieldsOfHead(t *testing.T) {
	for _, tc := range []struct {
		fields int
		ok     bool
	}{{maxResponseFields - 1, true}, {maxResponseFields, true}, {maxResponseFields + 1, false}, {9000, false}} {
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
		for i := 1; i < tc.fields; i++ {
			fmt.Fprintf(&head, "%x:\r\n", i)
		}
		head.WriteString("\r\n")
		assert.Assert(t, head.Len() < maxResponseHeaderBytes)
		var requests atomic.Int64
		p := newConnPool(nil, time.Second, time.Minute, 1, 0)
		_, err := doExchange(p, newScriptedServer(t, &requests, head.String()))
		assert.Equal(t, err == nil, tc.ok, "%d fields: %v", tc.fields, err)
		p.close()
	}
}

// FuzzHead guards against a header that passes the check and ends elsewhere for net/http, so
// that a part of it would be taken for the body.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 503\n\n", "HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 102 \r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		length, err := scanInParts(response, len(response)+1)
		if err != nil || length == 0 {
			return
		}
		r := bufio.NewReaderSize(bytes.NewReader(response), len(response)+connBufferBytes)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return // it can be stricter
		}
		rest, err := r.Peek(r.Buffered())
		assert.NilError(t, err)
		assert.Equal(t, string(rest), string(response[length:]))
		assert.Assert(t, resp.StatusCode >= 100 && resp.StatusCode <= 599, "status %d", resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
	})
}
