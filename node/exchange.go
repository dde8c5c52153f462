package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/edge"
)

// Limits of exchanges with other nodes and with the backend server.
const (
	// hopDialTimeout is shorter than backendDialTimeout because another host can be
	// tried, while there is no alternative to the backend server on this host.
	hopDialTimeout = 300 * time.Millisecond
	// hopUnackedTimeout closes a connection to an unreachable host early enough for
	// another try. It leaves time for two retransmissions of a lost packet.
	hopUnackedTimeout  = 500 * time.Millisecond
	backendDialTimeout = 500 * time.Millisecond
	// hopIdleTimeout is below peersIdleTimeout, so that the side that sends requests
	// closes idle connections first and no request is sent on a connection that is
	// being closed.
	hopIdleTimeout   = 60 * time.Second
	peersIdleTimeout = 90 * time.Second
	// backendIdleTimeout is below the shortest common keep-alive timeout of HTTP
	// servers, 5 s.
	backendIdleTimeout = 4 * time.Second
	maxIdleHopConns    = 256 // per node
	// refusalBodyTimeout is several round trips between data centres. The body of a
	// refusal normally arrives with its header.
	refusalBodyTimeout        = 50 * time.Millisecond
	maxResponseHeaderBytes    = 64 << 10 // bytes
	maxResponseFields         = 500      // in a header; each takes about 100 bytes besides its text
	maxInformationalResponses = 8        // 1xx responses before the final one
)

var errResponseHeader = errors.New("the headers of the answer are too long or too many")

// errConnBroken is the class of errors of a connection that broke during a write.
var errConnBroken = errs.Class("the connection broke")

// outboundRequest is a request that this node sends to another node or to a backend
// server.
type outboundRequest struct {
	method       string
	address      string // ip:port
	host         string
	url          *url.URL
	header       http.Header        // forwardable headers; not changed
	extraHeaders []edge.HeaderField // sent after header, which contains none of their names
	body         *requestBody
	chunked      bool // chunked even if the length is known
}

// exchange is one request and its response on a connection of a pool. It never resends
// a request, because each delivery must be counted. It is the body of its response.
type exchange struct {
	conn          *pooledConn
	stopWatch     func() bool   // stops watching the context; returns false if the context has already closed the connection
	sendErr       error         // of send
	requestStream *bodyStream   // body of the request; nil if it is fully buffered
	bodyWritten   chan error    // result of writing requestStream in a goroutine; nil without one
	bodyRead      bool          // the response was read to its end
	keepAlive     bool          // the server keeps the connection open
	body          io.ReadCloser // of the response
}

// roundTrip sends req and returns the response, whose body must be closed. On an
// error, sent reports whether a byte of the request may have been sent. Closing the
// body before its end closes the connection, so that no later exchange receives the
// rest of the response.
func (p *connPool) roundTrip(ctx context.Context, req *outboundRequest) (resp *http.Response, sent bool, err error) {
	conn, err := p.get(ctx, req.address)
	if err != nil {
		return nil, false, err
	}
	x := &exchange{conn: conn}
	x.stopWatch = context.AfterFunc(ctx, conn.interrupt)
	if x.sendErr = x.send(req); x.sendErr != nil && !conn.sent {
		x.abandon()
		return nil, false, errors.New("the connection broke before anything was sent")
	}
	resp, err = x.receive(req.method)
	if err != nil {
		x.abandon()
		return nil, true, err
	}
	x.keepAlive = !resp.Close && resp.ProtoAtLeast(1, 1)
	x.body, resp.Body = resp.Body, x
	return resp, true, nil
}

// send writes the request. A response may follow in spite of an error, because a
// server may refuse a request before it has read all of it.
func (x *exchange) send(req *outboundRequest) error {
	w := x.conn.w
	if req.body.fullyBuffered {
		req.writeHeader(w)
		req.writeBuffered(w)
		return w.Flush()
	}
	stream, err := req.body.openStream()
	if err != nil {
		return err
	}
	x.requestStream = stream
	req.writeHeader(w)
	if err := w.Flush(); err != nil {
		return err
	}
	written, conn := make(chan error, 1), x.conn
	x.bodyWritten = written
	go func() {
		err := req.writeStream(w, stream)
		if err != nil && req.body.senderRefusal() != nil {
			conn.interrupt() // the server must not take a partial body for a complete one
		}
		written <- err
	}()
	return nil
}

// receive reads the header of the final response.
func (x *exchange) receive(method string) (*http.Response, error) {
	for range maxInformationalResponses {
		x.conn.headerBytesLeft = maxResponseHeaderBytes
		if err := x.conn.awaitHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			x.conn.headerBytesLeft = noHeaderLimit
			return resp, checkTrailers(resp, x.conn.r)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errors.New("the answer is not final")
}

// Read implements io.Reader for the body of the response.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if errors.Is(err, io.EOF) {
		x.bodyRead = true
	}
	return n, err
}

// Close implements io.Closer for the body of the response. The connection is reused
// only if the request and the response are complete.
func (x *exchange) Close() error {
	if x.conn == nil {
		return nil
	}
	if !x.bodyRead && x.body == http.NoBody {
		x.bodyRead = true
	}
	if !x.bodyRead || !x.keepAlive || !x.requestComplete() || x.conn.r.Buffered() > 0 || !x.stopWatch() {
		x.abandon()
		return nil
	}
	x.endRequest()
	x.conn.release()
	x.conn = nil
	return nil
}

// discardConn closes a response of roundTrip and its connection.
func discardConn(resp *http.Response) {
	if x, ok := resp.Body.(*exchange); ok && x.conn != nil {
		x.abandon()
	}
}

// readShortBody returns the short body of a response of roundTrip and closes it.
func readShortBody(resp *http.Response) []byte {
	x, ok := resp.Body.(*exchange)
	if !ok || x.conn == nil {
		return nil
	}
	return x.readShort()
}

// readShort reads a body of which only up to maxRefusalBody bytes that arrive within
// refusalBodyTimeout are of use, and closes it. A longer body, or one that has not ended
// by then, closes the connection; without these limits, a peer that sends a body without
// end would hold the request until its deadline.
func (x *exchange) readShort() []byte {
	_ = x.conn.SetReadDeadline(time.Now().Add(refusalBodyTimeout)) // after an error the deadline of the request applies
	body, err := io.ReadAll(io.LimitReader(x, maxRefusalBody))
	if err == nil && len(body) < maxRefusalBody {
		_ = x.conn.SetReadDeadline(time.Time{})
	} else {
		x.bodyRead = false
	}
	_ = x.Close()
	return body
}

func (x *exchange) requestComplete() bool {
	if x.sendErr != nil {
		return false
	}
	if x.bodyWritten == nil {
		return true
	}
	select {
	case err := <-x.bodyWritten:
		return err == nil
	default:
		return false
	}
}

func (x *exchange) abandon() {
	x.endRequest()
	x.stopWatch()
	x.conn.discard()
	x.conn = nil
}

// endRequest keeps the goroutine that writes the body from reading more of it, which another
// try may send.
func (x *exchange) endRequest() {
	if x.requestStream != nil {
		x.requestStream.end()
	}
}

// pooledConn is a connection of a pool with its buffers. It carries one exchange at a
// time.
type pooledConn struct {
	net.Conn
	pool            *connPool
	address         string
	r               *bufio.Reader
	w               *bufio.Writer
	idleSince       time.Time
	headerBytesLeft int64 // bytes that the header of a response may still have
	sent            bool  // a byte of the current request may have been handed to the kernel
	raw             syscall.RawConn
	noPendingData   bool // result of peek

	writeMu  sync.Mutex // held during a write; guards writeErr
	writeErr error      // of the first write that failed
}

const noHeaderLimit = int64(1) << 62

// Write implements io.Writer. It sets sent before it writes, so that nothing was sent
// if sent is false.
func (c *pooledConn) Write(p []byte) (int, error) {
	c.sent = true
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. It returns io.EOF only if the peer has ended its side in
// order: a response without a length is then complete.
func (c *pooledConn) Read(p []byte) (int, error) {
	if c.headerBytesLeft <= 0 {
		return 0, errResponseHeader
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headerBytesLeft)])
	if c.headerBytesLeft != noHeaderLimit {
		c.headerBytesLeft -= int64(n)
	}
	if errors.Is(err, io.EOF) {
		if broken := c.endWrites(); broken != nil {
			err = errConnBroken.Wrap(broken)
		}
	}
	return n, err
}

// endWrites interrupts a write in progress, after which all writes fail, and returns the
// error with which the connection broke, or nil. The kernel reports a broken connection
// once, to a read or to a write, and from then on every read returns io.EOF.
func (c *pooledConn) endWrites() error {
	_ = c.Conn.SetWriteDeadline(time.Now()) // an error means that the connection is closed, which ends the write too
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	switch {
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded): // writes have no other deadline
		return nil
	case errors.Is(c.writeErr, syscall.EPIPE): // the peer had ended its side before it reset the connection
		return nil
	}
	return c.writeErr
}

// interrupt makes pending and later reads and writes fail at once.
func (c *pooledConn) interrupt() { _ = c.Conn.Close() }
