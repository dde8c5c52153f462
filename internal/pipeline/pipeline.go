// Package pipeline lets a net/http server handle the requests of one connection at
// the same time, if a client sends further ones before the first is answered.
// Listener splits such a connection into several, each of which carries one
// request at a time, and returns the answers in the order of the requests.
//
// Only requests without a body that are safe to handle side by side (GET, HEAD)
// are split. From the first other request on, a connection is handled as it is.
package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxOutstanding bounds the requests of one connection that are handled at the
	// same time.
	maxOutstanding = 16
	// maxHead is the longest head of a request that is looked at. The server refuses
	// longer ones.
	maxHead = 64 << 10 // bytes
	// maxBuffered bounds the answer that waits for those before it.
	maxBuffered = 1 << 20 // bytes
	// lingerTime is how long a connection is read on after its last answer, so that
	// unread bytes do not reset it before the client has the answer.
	lingerTime = 500 * time.Millisecond

	readBuffer = 4 << 10 // bytes
)

// Listener splits the connections of another listener.
type Listener struct {
	net.Listener
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
	mu    sync.Mutex
	err   error // of the other listener

	refusing atomic.Bool // no new connections of clients
}

// NewListener starts accepting from l.
func NewListener(l net.Listener) *Listener {
	p := &Listener{Listener: l, conns: make(chan net.Conn), done: make(chan struct{})}
	go p.run()
	return p
}

func (l *Listener) run() {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if !l.refusing.Load() {
				l.end(err)
			}
			return
		}
		c := &client{real: conn, listener: l}
		go c.read()
	}
}

func (l *Listener) end(err error) {
	l.once.Do(func() {
		l.mu.Lock()
		l.err = err
		l.mu.Unlock()
		close(l.done)
	})
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		l.mu.Lock()
		defer l.mu.Unlock()
		return nil, l.err
	}
}

// StopAccepting ends the accepting of new clients. Requests on connections that are open
// still reach the server.
func (l *Listener) StopAccepting() error {
	l.refusing.Store(true)
	return l.Listener.Close()
}

// Close implements net.Listener. Connections that are open stay open.
func (l *Listener) Close() error {
	l.end(net.ErrClosed)
	if l.refusing.Load() {
		return nil // it is closed already
	}
	return l.Listener.Close()
}

// ConnState tells the listener what the server does with a connection of it. It is to
// be called from the ConnState hook of the server.
func ConnState(c net.Conn, state http.ConnState) {
	s, ok := c.(*stream)
	if !ok {
		return
	}
	if state == http.StateIdle {
		s.client.answered(s)
	}
}

// client is a connection of a client.
type client struct {
	real     net.Conn
	listener *Listener

	mu    sync.Mutex
	order []*stream // outstanding requests in the order in which they came
	idle  []*stream // without a request
	open  int       // streams that are not closed
	alone *stream   // takes all further bytes, or nil
	ended bool      // nothing more is written
	roomy sync.Cond // order got shorter, or the connection ended
}

// stream is one of the connections that the server sees.
type stream struct {
	net.Conn          // the server's end of a pipe that carries the requests
	feed     net.Conn // the other end
	client   *client
	pending  []byte // answer that waits for its turn
	complete bool   // the pending answer is complete
	closed   bool
}

// read takes the client's requests apart until the connection ends.
func (c *client) read() {
	c.roomy.L = &c.mu
	defer c.gone()
	r := bufio.NewReaderSize(c.real, readBuffer)
	for {
		head, alone, err := readHead(r)
		if len(head) > 0 && !c.pass(head, alone) {
			_, _ = io.Copy(io.Discard, r) // until the client closes, or finish does
			return
		}
		if err == nil && alone {
			_, err = io.Copy(c.alone.feed, r)
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

// readHead reads the head of one request. alone tells that the request and all
// after it cannot be handled beside others.
func readHead(r *bufio.Reader) (head []byte, alone bool, err error) {
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case err == bufio.ErrBufferFull && len(head) <= maxHead:
			continue
		case err == bufio.ErrBufferFull:
			return head, true, nil
		case err != nil:
			return head, true, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(head) > 2 {
			return head, !splittable(head), nil
		}
		if len(head) > maxHead {
			return head, true, nil
		}
	}
}

// splittable reports whether a request with this head has no body and may be
// handled beside others.
func splittable(head []byte) bool {
	if !bytes.HasPrefix(head, []byte("GET ")) && !bytes.HasPrefix(head, []byte("HEAD ")) {
		return false
	}
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")) && !bytes.Equal(bytes.TrimSpace(value), []byte("0")),
			bytes.EqualFold(name, []byte("Transfer-Encoding")), bytes.EqualFold(name, []byte("Expect")), bytes.EqualFold(name, []byte("Upgrade")):
			return false
		}
	}
	return true
}

// pass gives a request to a stream that has none. It returns false if the
// connection has ended.
func (c *client) pass(head []byte, alone bool) bool {
	c.mu.Lock()
	for !c.ended && (len(c.order) >= maxOutstanding || alone && len(c.order) > 0) {
		c.roomy.Wait()
	}
	if c.ended {
		c.mu.Unlock()
		return false
	}
	var s *stream
	if n := len(c.idle); n > 0 {
		s = c.idle[n-1]
		c.idle = c.idle[:n-1]
	}
	fresh := s == nil
	if fresh {
		server, feed := net.Pipe()
		s = &stream{Conn: server, feed: feed, client: c}
		c.open++
	}
	c.order = append(c.order, s)
	if alone {
		c.alone = s
	}
	c.mu.Unlock()
	if fresh {
		select {
		case c.listener.conns <- s:
		case <-c.listener.done:
			return false
		}
	}
	_, err := s.feed.Write(head)
	return err == nil
}

// gone ends the reading: the client has closed the connection or its half of it,
// or the last answer was written. Streams that are open may still answer.
func (c *client) gone() {
	c.mu.Lock()
	streams := append(append([]*stream{}, c.order...), c.idle...)
	open := c.open
	c.mu.Unlock()
	for _, s := range streams {
		_ = s.feed.Close() // the server reads the end of the connection
	}
	if open == 0 {
		_ = c.real.Close()
	}
}

// answered notes that the answer to the request of s is complete.
func (c *client) answered(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.first() {
		s.complete = true
		return
	}
	c.idle = append(c.idle, s)
	c.next()
}

// next gives the turn to the stream after the first one, and on from those whose
// answers are complete. c.mu is held.
func (c *client) next() {
	c.order = c.order[1:]
	c.roomy.Broadcast()
	for len(c.order) > 0 && !c.ended {
		s := c.order[0]
		answer, complete := s.pending, s.complete
		s.pending, s.complete = nil, false
		if len(answer) > 0 {
			if _, err := c.real.Write(answer); err != nil {
				c.endLocked()
				return
			}
		}
		switch {
		case s.closed:
			c.finishLocked()
			return
		case !complete:
			c.roomy.Broadcast() // it may be waiting for its turn
			return
		}
		c.idle = append(c.idle, s)
		c.order = c.order[1:]
		c.roomy.Broadcast()
	}
}

// Write implements net.Conn: answers go out in the order of the requests.
func (s *stream) Write(p []byte) (int, error) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.ended && !s.first() && len(s.pending) > maxBuffered {
		c.roomy.Wait()
	}
	switch {
	case c.ended:
		return 0, net.ErrClosed
	case s.first() || len(c.order) == 0:
		n, err := c.real.Write(p)
		if err != nil {
			c.endLocked()
		}
		return n, err
	}
	s.pending = append(s.pending, p...)
	return len(p), nil
}

func (s *stream) first() bool { return len(s.client.order) > 0 && s.client.order[0] == s }

// Close implements net.Conn. A stream that is closed after an answer ends the
// whole connection once that answer is out; an idle one ends it if it is the last.
func (s *stream) Close() error {
	err := s.Conn.Close()
	s.end()
	return err
}

// CloseWrite ends the stream after what was written.
func (s *stream) CloseWrite() error {
	s.end()
	return nil
}

func (s *stream) end() {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	c.open--
	c.idle = slices.DeleteFunc(c.idle, func(other *stream) bool { return other == s })
	switch place := slices.Index(c.order, s); {
	case place == 0, place < 0 && c.open == 0:
		c.finishLocked()
	}
}

// finishLocked ends the connection after the last answer. c.mu is held.
func (c *client) finishLocked() {
	if c.ended {
		return
	}
	c.ended = true
	c.roomy.Broadcast()
	if t, ok := c.real.(*net.TCPConn); ok {
		_ = t.CloseWrite() // the client may have closed it already
	}
	// Reading goes on until the client closes too, or the time is over.
	time.AfterFunc(lingerTime, func() { _ = c.real.Close() })
	for _, s := range c.order {
		_ = s.feed.Close()
	}
}

// endLocked ends a connection that cannot be written to. c.mu is held.
func (c *client) endLocked() {
	c.ended = true
	c.roomy.Broadcast()
	_ = c.real.Close()
}

// SetWriteDeadline implements net.Conn. It concerns the stream whose turn it is.
func (s *stream) SetWriteDeadline(t time.Time) error {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	if !s.first() {
		return nil
	}
	return s.client.real.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (s *stream) SetDeadline(t time.Time) error {
	if err := s.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	return s.SetWriteDeadline(t)
}

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.client.real.LocalAddr() }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.client.real.RemoteAddr() }
