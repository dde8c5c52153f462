package pipeline

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Delays between failed calls of Accept. The longest one is well below the time that
// clients wait for a connection.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 100 * time.Millisecond
	// acceptErrorAge is the age of an error of Accept from which on it counts as past. As
	// long as Accept fails, errors follow each other within maxAcceptDelay.
	acceptErrorAge = 3 * maxAcceptDelay
	// acceptErrorCloseFraction is the inverse of the fraction of the connections that is
	// closed at an error of Accept, because descriptors or buffers may have run out.
	acceptErrorCloseFraction = 32
)

// Config holds the limits of a Listener. A limit of 0 means none, except for MaxConns.
type Config struct {
	// MaxConns is the limit of open connections. For a new one beyond it, the one that has
	// had no request for the longest time is closed.
	MaxConns int
	// MaxBuffered is the limit of the bytes of answers that all connections together keep
	// until earlier answers are written. Beyond it, writes of later answers wait for their turn.
	MaxBuffered   int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	// FirstRequestTimeout is how long a connection may stay without its first request. For
	// later ones the idle timeout of the server applies.
	FirstRequestTimeout time.Duration
	OnAcceptError       func(error) // called with each error of Accept before a stop; may be nil
}

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
	cfg           Config
	quiet         quietConns
	stats         counters
	epoch         time.Time
	lastError     atomic.Int64 // time of the last error of Accept, ns since epoch; 0: none
}

// Stats counts what happened to the connections of clients.
type Stats struct {
	Open         int64 // connections that are open
	Quiet        int64 // open connections without a request
	Displaced    int64 // connections closed in favour of new ones since the start
	Accepted     int64 // connections accepted since the start
	AcceptErrors int64 // failed calls of Accept since the start
	Buffered     int64 // bytes of answers that are kept until earlier ones are written
}

type counters struct{ open, accepted, acceptErrors, buffered atomic.Int64 }

// NewListener returns a Listener that accepts connections from l in the background
// until StopAccepting or Close is called.
func NewListener(l net.Listener, cfg Config) *Listener {
	p := &Listener{Listener: l, conns: make(chan net.Conn), done: make(chan struct{}), epoch: time.Now(), cfg: cfg}
	go p.acceptLoop()
	return p
}

// Accepting reports whether clients can open connections: the listener is open, and
// Accept does not fail.
func (l *Listener) Accepting() bool {
	if l.acceptStopped.Load() {
		return false
	}
	last := l.lastError.Load()
	return last == 0 || time.Since(l.epoch)-time.Duration(last) > acceptErrorAge
}

// Stats returns the present counts. It is safe for concurrent use.
func (l *Listener) Stats() Stats {
	s := &l.stats
	return Stats{Open: s.open.Load(), Quiet: l.quiet.len(), Displaced: l.quiet.displaced.Load(), Accepted: s.accepted.Load(), AcceptErrors: s.acceptErrors.Load(), Buffered: s.buffered.Load()}
}

// acceptLoop accepts connections until the wrapped listener is closed. Any other error,
// such as a lack of descriptors, concerns one connection or passes, so it tries again.
func (l *Listener) acceptLoop() {
	delay := minAcceptDelay
	for l.makeRoom() {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
			l.serve(conn)
			continue
		case l.acceptStopped.Load():
			return
		case errors.Is(err, net.ErrClosed):
			l.closeWithError(err)
			return
		}
		l.noteAcceptError(err)
		l.quiet.closeOldest(1 + int(l.stats.open.Load()/acceptErrorCloseFraction))
		if !l.pause(delay) {
			return
		}
		delay = min(2*delay, maxAcceptDelay)
	}
}

// makeRoom closes connections without a request until no more than MaxConns are open. It
// waits while all of them have requests, and returns false if the listener was closed.
func (l *Listener) makeRoom() bool {
	for l.stats.open.Load() > int64(l.cfg.MaxConns) {
		if l.quiet.closeOldest(1) == 0 && !l.pause(minAcceptDelay) {
			return false
		}
	}
	return true
}

// pause waits for d and reports whether the listener is still open.
func (l *Listener) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

// serve starts to read requests from an accepted connection.
func (l *Listener) serve(conn net.Conn) {
	l.stats.accepted.Add(1)
	l.stats.open.Add(1)
	c := &clientConn{conn: conn, listener: l}
	l.quiet.add(c)
	go c.readRequests()
}

// noteAcceptError counts and reports an error of Accept.
func (l *Listener) noteAcceptError(err error) {
	l.lastError.Store(int64(time.Since(l.epoch)))
	l.stats.acceptErrors.Add(1)
	if l.cfg.OnAcceptError != nil {
		l.cfg.OnAcceptError(err)
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
