// Package harness runs real nodes behind a fault-injecting proxy for tests and
// experiments.
package harness

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const copyBufferBytes = 32 << 10

// Rule is the faults injected in one direction between two zones.
type Rule struct {
	Cut   bool          // hold back all bytes until the rule changes
	Delay time.Duration // delay before each chunk of up to 32 KiB is forwarded, and before a connection is opened
}

// Network is a set of TCP proxies that inject faults by zone: the path between two
// zones can be cut or delayed, and open connections can be reset or blackholed. A
// zone is a set of IP addresses, such as a data centre. The zone of a client is
// looked up by its source address, so each process has to dial from its own address.
// A Network is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	changed   *sync.Cond
	zones     map[netip.Addr]string
	rules     map[[2]string]Rule
	conns     map[net.Conn]*proxiedConn
	listeners []net.Listener
	closed    bool
}

// proxiedConn is a connection through a proxy.
type proxiedConn struct {
	from, to   string // zones of the client and of the proxied server
	blackholed bool   // delivers nothing any more; guarded by Network.mu
}

// NewNetwork returns a network without proxies and faults.
func NewNetwork() *Network {
	n := &Network{zones: map[netip.Addr]string{}, rules: map[[2]string]Rule{}, conns: map[net.Conn]*proxiedConn{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetZone assigns a source address to a zone. Sources without an assignment are in
// zone "". It panics if ip is not an IP address.
func (n *Network) SetZone(ip string, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[netip.MustParseAddr(ip)] = zone
}

// SetRule replaces the rule for the direction from one zone to another. It applies
// to open and new connections.
func (n *Network) SetRule(from, to string, r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[[2]string{from, to}] = r
	n.changed.Broadcast()
}

// Cut cuts both directions between two zones.
func (n *Network) Cut(a, b string) {
	n.SetRule(a, b, Rule{Cut: true})
	n.SetRule(b, a, Rule{Cut: true})
}

// Heal removes the rules of both directions between two zones.
func (n *Network) Heal(a, b string) {
	n.SetRule(a, b, Rule{})
	n.SetRule(b, a, Rule{})
}

// Reset sends a TCP reset on the open connections from and to a zone.
func (n *Network) Reset(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, l := range n.conns {
		if l.from != zone && l.to != zone {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails only on a closed connection
		}
		_ = c.Close()
	}
}

// Blackhole stops delivery on the open connections from and to a zone for good,
// without closing them. New connections are not affected.
func (n *Network) Blackhole(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.conns {
		if l.from == zone || l.to == zone {
			l.blackholed = true
		}
	}
}

// Proxy listens on address and forwards connections to target, which is in the
// given zone. It returns the listener's address, ip:port.
func (n *Network) Proxy(address, target, zone string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go n.accept(l, target, zone)
	return l.Addr().String(), nil
}

// Close closes all proxies and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.conns {
		_ = c.Close()
	}
	n.changed.Broadcast()
}

func (n *Network) accept(l net.Listener, target, zone string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go n.serve(c, target, zone)
	}
}

func (n *Network) serve(client net.Conn, target, zone string) {
	defer n.removeConn(client)
	l := &proxiedConn{from: n.zoneOf(client.RemoteAddr()), to: zone}
	if !n.addConn(client, l) || !n.waitUntilDeliverable(l, l.from, l.to) {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer n.removeConn(server)
	if !n.addConn(server, l) {
		return
	}
	done := make(chan struct{}, 2)
	go n.forward(server, client, l, l.from, l.to, done)
	go n.forward(client, server, l, l.to, l.from, done)
	<-done
	<-done
}

func (n *Network) zoneOf(a net.Addr) string {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[ap.Addr().Unmap()]
}

// forward copies bytes and the end of the stream in one direction, subject to the
// rule of the direction.
func (n *Network) forward(dst, src net.Conn, l *proxiedConn, from, to string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, copyBufferBytes)
	for {
		count, err := src.Read(buf)
		if count > 0 && (!n.waitUntilDeliverable(l, from, to) || !writeAll(dst, buf[:count])) {
			_ = src.Close()
			_ = dst.Close()
			return
		}
		if err != nil {
			if n.waitUntilDeliverable(l, from, to) {
				closeWrite(dst, err)
			}
			return
		}
	}
}

func writeAll(dst net.Conn, b []byte) bool {
	_, err := dst.Write(b)
	return err == nil
}

// closeWrite closes the write side of c if the peer's stream ended with EOF, and the
// whole connection after any other error, such as a reset.
func closeWrite(c net.Conn, readErr error) {
	if t, ok := c.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	_ = c.Close()
}

// waitUntilDeliverable blocks while the direction is cut or the connection is
// blackholed, and then for the delay of the direction. It returns false when the
// network is closed.
func (n *Network) waitUntilDeliverable(l *proxiedConn, from, to string) bool {
	n.mu.Lock()
	for (n.rules[[2]string{from, to}].Cut || l.blackholed) && !n.closed {
		n.changed.Wait()
	}
	delay, closed := n.rules[[2]string{from, to}].Delay, n.closed
	n.mu.Unlock()
	if delay > 0 && !closed {
		time.Sleep(delay)
	}
	return !closed
}

func (n *Network) addConn(c net.Conn, l *proxiedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = c.Close()
		return false
	}
	n.conns[c] = l
	return true
}

func (n *Network) removeConn(c net.Conn) {
	_ = c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}
