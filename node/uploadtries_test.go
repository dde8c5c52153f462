package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

// hastyConn plays a server that sends a response before it reads the request, and records
// what it is sent.
type hastyConn struct {
	net.Conn // nil
	response *bytes.Reader
	ended    chan struct{} // closed by Close and by the last chunk of a request
	endOnce  sync.Once

	mu     sync.Mutex
	closed bool
	sent   bytes.Buffer
}

func newHastyConn(response string) *hastyConn {
	return &hastyConn{response: bytes.NewReader([]byte(response)), ended: make(chan struct{})}
}

func (c *hastyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.sent.Write(p)
	if bytes.HasSuffix(c.sent.Bytes(), []byte("\r\n0\r\n\r\n")) {
		c.end()
	}
	return len(p), nil
}

func (c *hastyConn) Read(p []byte) (int, error) {
	if c.response.Len() == 0 {
		<-c.ended
	}
	return c.response.Read(p)
}

func (c *hastyConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.end()
	return nil
}

func (c *hastyConn) SetWriteDeadline(time.Time) error { return nil }

func (c *hastyConn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// upload returns the body of the request that was sent. The error says that the server sees
// that it is broken.
func (c *hastyConn) upload() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.sent.Bytes())))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(req.Body)
}

// newStreamedBody returns the body of a request whose length is unknown.
func newStreamedBody(t *testing.T, content []byte) *requestBody {
	return newBodyFrom(t, bytes.NewReader(content), -1)
}

// newBodyFrom returns the body of a request with a declared length, or -1, that is read from r.
func newBodyFrom(t *testing.T, r io.Reader, declared int64) *requestBody {
	req := httptest.NewRequest(http.MethodPost, "/", struct{ io.Reader }{r})
	body, refused := newRequestBody(httptest.NewRecorder(), req, declared, maxUpload, time.Minute, time.Now().Add(time.Minute))
	assert.Assert(t, refused == nil)
	return body
}

const maxUpload = 1 << 20 // bytes

// Guards against an upload that a server takes for whole although its first part went to an
// earlier try: that try had ended before the goroutine that writes its body read any of it.
func TestRetriedUploadIsWhole(t *testing.T) {
	const uploads = 500
	content := make([]byte, maxReplayBody+10_000)
	rng := rand.NewChaCha8([32]byte{11})
	_, _ = rng.Read(content)
	for range uploads {
		body := newStreamedBody(t, content)
		first := newHastyConn("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		second := newHastyConn("HTTP/1.1 200 OK\r\n\r\n")
		p := newConnPool(nil, 0, time.Minute, 1, 0)
		p.dialFunc = func(_ context.Context, address string) (net.Conn, error) {
			return map[string]net.Conn{"first": first, "second": second}[address], nil
		}
		req := &outboundRequest{method: http.MethodPost, address: "first", host: "h", url: &url.URL{Path: "/"}, body: body}
		resp, _, err := p.roundTrip(t.Context(), req)
		assert.NilError(t, err)
		discardConn(resp)
		if body.replayable() {
			req.address = "second"
			resp, _, err = p.roundTrip(t.Context(), req)
			assert.NilError(t, err)
			_, err = io.ReadAll(resp.Body)
			assert.NilError(t, err)
			_ = resp.Body.Close()
		}
		body.finish()
		for _, conn := range []*hastyConn{first, second} {
			if got, err := conn.upload(); err == nil {
				assert.Assert(t, bytes.Equal(got, content), "an upload of %d bytes has arrived as one of %d bytes", len(content), len(got))
			}
		}
	}
}

// Guards against a read by a try that has ended, against a retry that is lost although nothing
// was read, and against one that would send what an earlier try has left of the body.
func TestEndedTryReadsNoBody(t *testing.T) {
	content := bytes.Repeat([]byte("x"), maxReplayBody+1)
	body := newStreamedBody(t, content)
	first, err := body.openStream()
	assert.NilError(t, err)
	first.end()
	_, err = first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, errBodyClosed)
	assert.Assert(t, body.replayable(), "nothing was read")

	second, err := body.openStream()
	assert.NilError(t, err)
	first.end() // a late end of an earlier try
	got, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, content))
	second.end()
	assert.Assert(t, !body.replayable())
	_, err = body.openStream()
	assert.ErrorIs(t, err, errBodyClosed)
}

// Guards against a try that sends a body while another one still does.
func TestBodyIsSentByOneTryAtATime(t *testing.T) {
	body := newStreamedBody(t, make([]byte, maxReplayBody+1))
	_, err := body.openStream()
	assert.NilError(t, err)
	_, err = body.openStream()
	assert.ErrorIs(t, err, errBodyClosed)
}

// Guards against an upload that a server takes for whole although its sender has not sent all of
// it, or more than is allowed.
func TestBrokenUploadIsSeenBroken(t *testing.T) {
	const sent = maxReplayBody + 10_000
	content := make([]byte, sent)
	broken := io.MultiReader(bytes.NewReader(content), iotest.ErrReader(io.ErrUnexpectedEOF))
	for name, body := range map[string]*requestBody{
		"sender breaks":           newBodyFrom(t, broken, -1),
		"shorter than declared":   newBodyFrom(t, bytes.NewReader(content), sent+1),
		"longer than declared":    newBodyFrom(t, bytes.NewReader(content), sent-1),
		"longer than the maximum": newStreamedBody(t, make([]byte, maxUpload+1)),
	} {
		t.Run(name, func(t *testing.T) {
			conn := newHastyConn("HTTP/1.1 200 OK\r\n\r\n")
			p := newConnPool(nil, 0, time.Minute, 1, 0)
			p.dialFunc = func(context.Context, string) (net.Conn, error) { return conn, nil }
			resp, _, err := p.roundTrip(t.Context(), &outboundRequest{method: http.MethodPost, address: "server", host: "h", url: &url.URL{Path: "/"}, body: body})
			assert.NilError(t, err)
			_, err = io.ReadAll(resp.Body) // until the connection is closed
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			got, err := conn.upload()
			assert.Assert(t, err != nil, "the server takes %d bytes for the whole upload", len(got))
			assert.Assert(t, body.senderRefusal() != nil)
		})
	}
}

// refusingConn plays a server that answers at once and takes no request.
type refusingConn struct{ *hastyConn }

func (refusingConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// Guards against a connection that is kept for another request although not all of the one
// before could be written to it.
func TestFailedRequestEndsConnection(t *testing.T) {
	for name, body := range map[string]*requestBody{
		"buffered": {fullyBuffered: true, buffered: []byte("body"), declaredLength: 4},
		"streamed": newStreamedBody(t, make([]byte, maxReplayBody+1)),
	} {
		t.Run(name, func(t *testing.T) {
			p := newConnPool(nil, 0, time.Minute, 1, 0)
			p.dialFunc = func(context.Context, string) (net.Conn, error) {
				return refusingConn{newHastyConn("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")}, nil
			}
			resp, _, err := p.roundTrip(t.Context(), &outboundRequest{method: http.MethodPost, address: "server", host: "h", url: &url.URL{Path: "/"}, body: body})
			assert.NilError(t, err)
			_, err = io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Assert(t, p.takeIdle("server") == nil, "the connection was kept")
		})
	}
}
