package pipeline

import (
	"net"
	"slices"
	"time"
)

// stream is one of the connections that the server accepts. The fields besides the
// pipe are guarded by clientConn.mu.
type stream struct {
	net.Conn          // the server's end of a pipe that carries the requests
	requests net.Conn // the end of the pipe to which requests are written
	client   *clientConn
	buffered []byte // part of the answer that waits until earlier answers are written
	complete bool   // the buffered answer is complete
	closed   bool
}

// Write implements net.Conn. The answer of the first outstanding stream goes to the
// client at once; those of the others are buffered.
func (s *stream) Write(p []byte) (int, error) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.ended && !s.mayWriteLocked() && !s.reserveLocked(len(p)) {
		c.changed.Wait()
	}
	switch {
	case c.ended:
		return 0, net.ErrClosed
	case s.mayWriteLocked():
		n, err := c.conn.Write(p)
		if err != nil {
			c.abortLocked()
		}
		return n, err
	}
	s.buffered = append(s.buffered, p...)
	return len(p), nil
}

// mayWriteLocked reports whether no earlier answer has to be written before that of s.
// clientConn.mu must be held.
func (s *stream) mayWriteLocked() bool {
	return len(s.client.outstanding) == 0 || s.isFirstLocked()
}

// reserveLocked reports whether n further bytes of the answer may be buffered, and counts
// them in that case. Without room it is the turn of s later: the first stream of each
// connection needs none. clientConn.mu must be held.
func (s *stream) reserveLocked(n int) bool {
	if len(s.buffered) > maxBufferedBytes {
		return false
	}
	l := s.client.listener
	for {
		kept := l.stats.buffered.Load()
		total := kept + int64(n)
		if l.cfg.MaxBuffered > 0 && total > l.cfg.MaxBuffered {
			return false
		}
		if l.stats.buffered.CompareAndSwap(kept, total) {
			return true
		}
	}
}

// takeBufferedLocked returns the buffered part of the answer, which is no longer kept.
// clientConn.mu must be held.
func (s *stream) takeBufferedLocked() []byte {
	answer := s.buffered
	s.buffered = nil
	s.client.listener.stats.buffered.Add(-int64(len(answer)))
	return answer
}

// isFirstLocked reports whether s has the oldest unanswered request. clientConn.mu
// must be held.
func (s *stream) isFirstLocked() bool {
	return len(s.client.outstanding) > 0 && s.client.outstanding[0] == s
}

// endAfterAnswer implements EndAfterAnswer. On the exclusive stream the server itself
// reads no request behind an answer that closes the connection.
func (s *stream) endAfterAnswer() bool {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended || c.exclusive == s:
		return true
	case len(c.outstanding) > 0 && c.outstanding[len(c.outstanding)-1] != s:
		return false
	}
	c.closing = true
	c.changed.Broadcast()
	return true
}

// Close implements net.Conn. If the answer to a request of the stream is not complete,
// the client's connection ends once its bytes are written. Otherwise the connection ends
// when no stream is open and all complete answers are written.
func (s *stream) Close() error {
	err := s.Conn.Close()
	s.markClosed()
	return err
}

// CloseWrite ends the answer after the bytes written so far; the server can still read
// the request. net/http calls it before it closes a connection.
func (s *stream) CloseWrite() error {
	s.markClosed()
	return nil
}

func (s *stream) markClosed() {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	c.openStreams--
	c.idle = slices.DeleteFunc(c.idle, func(other *stream) bool { return other == s })
	position := slices.Index(c.outstanding, s)
	if position < 0 {
		s.takeBufferedLocked()
	}
	switch {
	case position == 0, position < 0 && c.openStreams == 0:
		c.shutDownLocked()
	}
}

// SetWriteDeadline implements net.Conn. It has an effect only on the first
// outstanding stream, as the others write to a buffer. A deadline set on one of those
// is dropped and does not apply once that stream becomes the first.
func (s *stream) SetWriteDeadline(t time.Time) error {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	if !s.isFirstLocked() {
		return nil
	}
	return s.client.conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (s *stream) SetDeadline(t time.Time) error {
	if err := s.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	return s.SetWriteDeadline(t)
}

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.client.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.client.conn.RemoteAddr() }
