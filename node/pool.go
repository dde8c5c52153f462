package node

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelseam/dotterelseam/internal/keepalive"
)

const connBufferBytes = 4 << 10

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// connPool keeps idle connections for later exchanges. It is safe for concurrent use.
type connPool struct {
	dialer      net.Dialer
	dialFunc    dialFunc      // replaces dialer unless nil
	idleTimeout time.Duration // idle connections are closed after this time
	maxIdle     int           // per address
	slots       chan struct{} // one element for each exchange in progress; nil without a limit

	mu     sync.Mutex
	idle   map[string][]*pooledConn // by address, most recently used last
	closed bool                     // released connections are closed
}

// newConnPool returns a pool whose connections have the local address source, or one
// chosen by the kernel if it is nil. dialTimeout bounds the time to open a connection.
// At most maxIdle idle connections are kept for each address, for at most idleTimeout.
// If maxConns is not 0, at most maxConns connections are open to all addresses
// together.
func newConnPool(source net.IP, dialTimeout, idleTimeout time.Duration, maxIdle, maxConns int) *connPool {
	p := &connPool{dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepalive.Config()}, idleTimeout: idleTimeout, maxIdle: maxIdle, idle: map[string][]*pooledConn{}}
	if source != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	if maxConns > 0 {
		p.slots = make(chan struct{}, maxConns)
	}
	return p
}

// get returns a connection for one exchange. If maxConns exchanges are in progress, it
// waits until one ends or ctx ends. A new connection is opened only if none is idle, so
// there are never more connections than exchanges at one time.
func (p *connPool) get(ctx context.Context, address string) (*pooledConn, error) {
	if p.slots != nil {
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	for {
		c := p.takeIdle(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Since(c.idleSince) < p.idleTimeout && c.reusable() {
			c.sent = false
			return c, nil
		}
		_ = c.Conn.Close()
	}
}

func (p *connPool) dial(ctx context.Context, address string) (*pooledConn, error) {
	conn, err := p.open(ctx, address)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	c := &pooledConn{Conn: conn, pool: p, address: address}
	if sc, ok := conn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // nil on an error; the connection is then not checked before reuse
	}
	c.r, c.w = bufio.NewReaderSize(c, connBufferBytes), bufio.NewWriterSize(c, connBufferBytes)
	return c, nil
}

func (p *connPool) open(ctx context.Context, address string) (net.Conn, error) {
	if p.dialFunc != nil {
		return p.dialFunc(ctx, address)
	}
	return p.dialer.DialContext(ctx, "tcp", address)
}

func (p *connPool) takeIdle(address string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *connPool) releaseSlot() {
	if p.slots != nil {
		<-p.slots
	}
}

// release returns the connection to the pool for another exchange.
func (c *pooledConn) release() {
	p := c.pool
	c.shrinkBuffer()
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && len(p.idle[c.address]) < p.maxIdle
	if keep {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Conn.Close()
	}
	p.releaseSlot()
}

// discard closes the connection instead of returning it to the pool.
func (c *pooledConn) discard() {
	_ = c.Conn.Close()
	c.pool.releaseSlot()
}

// closeIdle closes the idle connections to an address. It is called after a connection
// to it broke during a request: the others are likely to be broken too, and each of
// them would cost another request.
func (p *connPool) closeIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Conn.Close()
	}
}

// closeExpired closes connections that have been idle for idleTimeout or longer.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		expired := 0 // the longest idle ones are first
		for expired < len(list) && time.Since(list[expired].idleSince) >= p.idleTimeout {
			_ = list[expired].Conn.Close()
			expired++
		}
		if expired == len(list) {
			delete(p.idle, address)
		} else if expired > 0 {
			p.idle[address] = append([]*pooledConn(nil), list[expired:]...)
		}
	}
}

// close closes the idle connections. Connections in use are closed when they are
// released.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Conn.Close()
		}
	}
	clear(p.idle)
}

// reusable reports whether an idle connection is still open and has no unread data. If
// a request were sent on a connection that the server has closed, it would be unknown
// whether it ran.
func (c *pooledConn) reusable() bool {
	if c.raw == nil {
		return true
	}
	c.noPendingData = false
	return c.raw.Read(c.peek) == nil && c.noPendingData
}

// peek checks for unread data or the end of the stream without blocking.
func (c *pooledConn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.noPendingData = err == syscall.EAGAIN
	return true
}
