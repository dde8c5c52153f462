package pipeline

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Listener splits the connections of the wrapped listener into streams. Its methods
// are safe for concurrent use.
type Listener struct {
	net.Listener
	conns     chan net.Conn
	closeOnce sync.Once
	done      chan struct{}
	mu        sync.Mutex
	err       error // returned by Accept after done is closed

	acceptStopped atomic.Bool // StopAccepting has closed the wrapped listener
	stats         counters
	onAcceptError func(error) // nil: none
}

// Stats counts what happened to the connections of clients.
type Stats struct {
	Open         int64 // connections that are open
	Accepted     int64 // connections accepted since the start
	AcceptErrors int64 // failed calls of Accept since the start
}

type counters struct{ open, accepted, acceptErrors atomic.Int64 }

// NewListener returns a Listener that accepts connections from l in the background
// until StopAccepting or Close is called. onAcceptError is called with each error of
// l.Accept before that; it may be nil.
func NewListener(l net.Listener, onAcceptError func(error)) *Listener {
	p := &Listener{Listener: l, conns: make(chan net.Conn), done: make(chan struct{}), onAcceptError: onAcceptError}
	go p.acceptLoop()
	return p
}

// Stats returns the present counts. It is safe for concurrent use.
func (l *Listener) Stats() Stats {
	s := &l.stats
	return Stats{Open: s.open.Load(), Accepted: s.accepted.Load(), AcceptErrors: s.acceptErrors.Load()}
}

func (l *Listener) acceptLoop() {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if !l.acceptStopped.Load() {
				l.noteAcceptError(err)
				l.closeWithError(err)
			}
			return
		}
		l.stats.accepted.Add(1)
		l.stats.open.Add(1)
		c := &clientConn{conn: conn, listener: l}
		go c.readRequests()
	}
}

// noteAcceptError counts and reports an error of Accept unless the listener was closed.
func (l *Listener) noteAcceptError(err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}
	l.stats.acceptErrors.Add(1)
	if l.onAcceptError != nil {
		l.onAcceptError(err)
	}
}

func (l *Listener) closeWithError(err error) {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.err = err
		l.mu.Unlock()
		close(l.done)
	})
}

// Accept implements net.Listener. It returns one stream of a client's connection.
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

// StopAccepting closes the wrapped listener, so that no new connections of clients are
// accepted. Requests on open connections still reach the server.
func (l *Listener) StopAccepting() error {
	l.acceptStopped.Store(true)
	return l.Listener.Close()
}

// Close implements net.Listener. Connections of clients are not closed, but requests
// that need a new stream are no longer handled.
func (l *Listener) Close() error {
	l.closeWithError(net.ErrClosed)
	if l.acceptStopped.Load() {
		return nil // it is closed already
	}
	return l.Listener.Close()
}
