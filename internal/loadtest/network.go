package loadtest

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("loadtest")

// network connects listeners and clients by in-memory connections. It is safe for
// concurrent use.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener // by address
}

func newNetwork() *network { return &network{listeners: map[string]*listener{}} }

func (n *network) listen(address string) *listener {
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial returns a connection to the listener at address.
func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, Error.New("nothing listens at %s", address)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, Error.New("the listener at %s is closed", address)
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// client returns an HTTP client for the addresses of the network.
func (n *network) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, address) },
		MaxIdleConnsPerHost: 1000, DisableCompression: true,
	}}
}

// listener implements net.Listener.
type listener struct {
	address   string
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l }

// Network implements net.Addr.
func (l *listener) Network() string { return "memory" }

// String implements net.Addr.
func (l *listener) String() string { return l.address }
