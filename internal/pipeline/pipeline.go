// Package pipeline lets a net/http server handle pipelined HTTP/1.1 requests, which
// a client sends on one connection without waiting for answers, concurrently.
// Listener splits such a connection into several streams, each of which carries one
// request at a time, and writes the answers in the order of the requests.
//
// Only requests that are safe to handle concurrently (GET and HEAD without a body, in a
// header that the server accepts) are split. From the first other request on, all further
// bytes of the connection go to one stream unchanged.
package pipeline

import (
	"bufio"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxOutstanding bounds the requests of one connection that are handled
	// concurrently.
	maxOutstanding = 16
	// maxHeaderBytes bounds the header of a request that can be split off. Longer
	// ones are passed on unchanged, and the server refuses them.
	maxHeaderBytes = 64 << 10
	// maxBufferedBytes bounds the part of an answer that is buffered until the
	// answers before it are written. Once the buffer exceeds it, further writes block.
	maxBufferedBytes = 1 << 20
	// lingerTimeout is how long unread bytes are drained after the last answer,
	// because closing a socket with unread bytes resets the connection, and the
	// client could lose that answer.
	lingerTimeout = 500 * time.Millisecond

	readBufferSize = 4 << 10 // bytes
)

// ConnState tells the listener that the server has begun a request or completed an
// answer. It must be called from the ConnState hook of the server; connections that no
// Listener returned are ignored.
func ConnState(c net.Conn, state http.ConnState) {
	s, ok := c.(*stream)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		s.client.markBusy(s)
	case http.StateIdle:
		s.client.answerComplete(s)
	}
}

type connKey struct{}

// ConnContext returns a context for the requests on c, which a Listener returned. It is
// meant for the ConnContext hook of the server; EndAfterAnswer needs it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// EndAfterAnswer reports whether the client's connection may end after the answer to the
// request with the context ctx. If true, no later request of the connection is handed to
// the server, and the answer must say "Connection: close". If false, later requests have
// been handed over already, and a connection that ended here would lose their answers.
// Other connections than those of a Listener may always end.
func EndAfterAnswer(ctx context.Context) bool {
	s, ok := ctx.Value(connKey{}).(*stream)
	return !ok || s.endAfterAnswer()
}

// clientConn is the connection of a client, which is split into streams.
type clientConn struct {
	conn     net.Conn
	listener *Listener

	mu          sync.Mutex
	outstanding []*stream // streams with an unanswered request, in the order of the requests
	idle        []*stream // streams without a request
	openStreams int       // streams that are not closed
	exclusive   *stream   // the stream that gets all further bytes, or nil
	busy        bool      // exclusive has an unanswered request
	closing     bool      // no further request is dispatched, see EndAfterAnswer
	ended       bool      // nothing more is written
	closeOnce   sync.Once // guards the close of conn

	quietElement *list.Element // in listener.quiet, or nil; guarded by quietConns.mu
	changed      sync.Cond     // signalled when outstanding is shortened, or closing or ended is set
}

// close closes the connection.
func (c *clientConn) close() {
	c.closeOnce.Do(func() {
		_ = c.conn.Close() // the client may have closed it already
		c.listener.stats.open.Add(-1)
		c.listener.quiet.remove(c)
	})
}

// closeIfQuiet closes the connection if it has no unanswered request, and reports whether
// it did. readRequests then ends its streams.
func (c *clientConn) closeIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.outstanding) > 0 || c.busy || c.ended {
		return false
	}
	c.abortLocked()
	return true
}

// readRequests splits the bytes of the client into requests and dispatches them
// until the connection ends.
func (c *clientConn) readRequests() {
	c.changed.L = &c.mu
	defer c.endRequests()
	r := bufio.NewReaderSize(c.conn, readBufferSize)
	c.limitRead(c.listener.cfg.FirstRequestTimeout)
	for {
		header, exclusive, err := c.readHeader(r)
		if len(header) > 0 && !c.dispatch(header, exclusive) {
			_, _ = io.Copy(io.Discard, r) // discard further requests until the connection is closed
			return
		}
		if err == nil && exclusive {
			_, err = io.Copy(exclusiveWriter{c.exclusive}, r)
			if err != nil {
				_, _ = io.Copy(io.Discard, r) // the server has closed the stream
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// limitRead makes reads from the client fail after d; 0 means no limit.
func (c *clientConn) limitRead(d time.Duration) {
	var deadline time.Time
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	_ = c.conn.SetReadDeadline(deadline) // it fails only on a closed connection
}

// readHeader is like the function readHeader, with a time limit from the first byte on.
func (c *clientConn) readHeader(r *bufio.Reader) (header []byte, exclusive bool, err error) {
	if _, err := r.Peek(1); err != nil {
		return nil, false, err
	}
	c.limitRead(c.listener.cfg.HeaderTimeout)
	header, exclusive, err = readHeader(r)
	c.limitRead(0)
	return header, exclusive, err
}

// exclusiveWriter passes bytes of the client on to its exclusive stream.
type exclusiveWriter struct{ stream *stream }

func (w exclusiveWriter) Write(p []byte) (int, error) {
	w.stream.client.markBusy(w.stream)
	return w.stream.requests.Write(p)
}

// dispatch writes a request header to an idle stream, or to a new one if there is
// none. It waits while too many requests are outstanding; an exclusive request waits
// for all others. It returns false if the connection or the listener has ended or is
// about to, or if the server has closed the stream.
func (c *clientConn) dispatch(header []byte, exclusive bool) bool {
	c.mu.Lock()
	for !c.ended && !c.closing && (len(c.outstanding) >= maxOutstanding || exclusive && len(c.outstanding) > 0) {
		c.changed.Wait()
	}
	if c.ended || c.closing {
		c.mu.Unlock()
		return false
	}
	var s *stream
	if n := len(c.idle); n > 0 {
		s = c.idle[n-1]
		c.idle = c.idle[:n-1]
	}
	isNew := s == nil
	if isNew {
		server, requests := net.Pipe()
		s = &stream{Conn: server, requests: requests, client: c}
		c.openStreams++
	}
	c.outstanding = append(c.outstanding, s)
	c.listener.quiet.remove(c)
	if exclusive {
		c.exclusive = s
	}
	c.mu.Unlock()
	if isNew {
		select {
		case c.listener.conns <- s:
		case <-c.listener.done:
			return false
		}
	}
	_, err := s.requests.Write(header)
	return err == nil
}

// endRequests closes the request side of all streams once no more requests will be
// read. Open streams may still write answers; if none is open, it closes the
// connection.
func (c *clientConn) endRequests() {
	c.mu.Lock()
	streams := append(append([]*stream{}, c.outstanding...), c.idle...)
	open := c.openStreams
	c.mu.Unlock()
	for _, s := range streams {
		_ = s.requests.Close() // the server reads io.EOF
	}
	if open == 0 {
		c.close()
	}
}

// markBusy records that s has received a part of a request. Only the exclusive stream
// needs it: the requests of other streams are outstanding.
func (c *clientConn) markBusy(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exclusive == s && !c.busy {
		c.busy = true
		c.listener.quiet.remove(c)
	}
}

// answerComplete records that the server has completed the answer on s.
func (c *clientConn) answerComplete(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exclusive == s {
		c.busy = false
	}
	switch {
	case s.isFirstLocked():
		c.idle = append(c.idle, s)
		c.advanceLocked()
	default:
		s.complete = true
	}
	if len(c.outstanding) == 0 && !c.busy && !c.ended {
		c.listener.quiet.add(c)
	}
}

// advanceLocked removes the first outstanding stream and writes the buffered answers
// of the next ones, up to the first that is not complete. c.mu must be held.
func (c *clientConn) advanceLocked() {
	c.outstanding = c.outstanding[1:]
	c.changed.Broadcast()
	for len(c.outstanding) > 0 && !c.ended {
		s := c.outstanding[0]
		answer, complete := s.takeBufferedLocked(), s.complete
		s.complete = false
		if len(answer) > 0 {
			if _, err := c.conn.Write(answer); err != nil {
				c.abortLocked()
				return
			}
		}
		switch {
		case !complete && s.closed:
			c.shutDownLocked()
			return
		case !complete:
			c.changed.Broadcast() // Write may wait until this stream is the first
			return
		case !s.closed:
			c.idle = append(c.idle, s)
		}
		c.outstanding = c.outstanding[1:]
		c.changed.Broadcast()
	}
	if c.openStreams == 0 {
		c.shutDownLocked()
	}
}

// shutDownLocked ends the connection after the last answer. c.mu must be held.
func (c *clientConn) shutDownLocked() {
	if c.ended {
		return
	}
	c.ended = true
	c.changed.Broadcast()
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite() // the client may have closed it already
	}
	// readRequests reads on until the client closes too or lingerTimeout has passed.
	time.AfterFunc(lingerTimeout, c.close)
	for _, s := range c.outstanding {
		_ = s.requests.Close()
		s.takeBufferedLocked()
	}
}

// abortLocked closes a connection to which a write failed. c.mu must be held.
func (c *clientConn) abortLocked() {
	c.ended = true
	c.changed.Broadcast()
	for _, s := range c.outstanding {
		s.takeBufferedLocked()
	}
	c.close()
}
