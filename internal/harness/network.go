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

// Rule is the condition of the network in one direction between two zones.
type Rule struct {
	Cut   bool          // hold back all bytes until the rule changes
	Delay time.Duration // one-way latency
}

// Network is a set of TCP proxies whose links can be cut and delayed by zone, and
// whose open connections can be reset or silenced. A
// zone is a data centre, or any other name for a set of IP addresses. The zone
// of a connection's origin is found by its source address, so each process has
// to dial from its own address.
type Network struct {
	mu      sync.Mutex
	changed *sync.Cond
	zones   map[netip.Addr]string
	rules   map[[2]string]Rule
	open    map[net.Conn]*link
	servers []net.Listener
	closed  bool
}

// link is a connection through a proxy.
type link struct {
	from, to string // zones
	silent   bool   // delivers nothing any more; guarded by Network.mu
}

// NewNetwork returns a network without proxies, in which every link works.
func NewNetwork() *Network {
	n := &Network{zones: map[netip.Addr]string{}, rules: map[[2]string]Rule{}, open: map[net.Conn]*link{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetZone states the zone of a source address. Unknown sources are in zone "".
func (n *Network) SetZone(ip string, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[netip.MustParseAddr(ip)] = zone
}

// SetRule sets the condition from one zone to another, for present and future
// connections.
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

// Heal restores both directions between two zones.
func (n *Network) Heal(a, b string) {
	n.SetRule(a, b, Rule{})
	n.SetRule(b, a, Rule{})
}

// Reset resets the open connections of a zone, in either direction.
func (n *Network) Reset(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, l := range n.open {
		if l.from != zone && l.to != zone {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails on a closed connection only
		}
		_ = c.Close()
	}
}

// Blackhole makes the open connections of a zone deliver nothing any more, without
// closing them. New connections work.
func (n *Network) Blackhole(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.open {
		if l.from == zone || l.to == zone {
			l.silent = true
		}
	}
}

// Proxy listens on address and forwards connections to target, which is in the
// given zone. It returns the address in use.
func (n *Network) Proxy(address, target, zone string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.servers = append(n.servers, l)
	n.mu.Unlock()
	go n.accept(l, target, zone)
	return l.Addr().String(), nil
}

// Close ends all proxies and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.servers {
		_ = l.Close()
	}
	for c := range n.open {
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
	defer n.forget(client)
	l := &link{from: n.zoneOf(client.RemoteAddr()), to: zone}
	if !n.remember(client, l) || !n.wait(l, l.from, l.to) {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer n.forget(server)
	if !n.remember(server, l) {
		return
	}
	done := make(chan struct{}, 2)
	go n.copy(server, client, l, l.from, l.to, done)
	go n.copy(client, server, l, l.to, l.from, done)
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

// copy forwards bytes in one direction and passes on the end of the stream.
func (n *Network) copy(dst, src net.Conn, l *link, from, to string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, copyBufferBytes)
	for {
		count, err := src.Read(buf)
		if count > 0 && (!n.wait(l, from, to) || !writeAll(dst, buf[:count])) {
			_ = src.Close()
			_ = dst.Close()
			return
		}
		if err != nil {
			if n.wait(l, from, to) {
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

// closeWrite ends one direction after a clean end of the stream, and the whole
// connection after an error such as a reset.
func closeWrite(c net.Conn, readErr error) {
	if t, ok := c.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	_ = c.Close()
}

// wait blocks while the link is cut or silent and then for its delay. It returns
// false when the network is closed.
func (n *Network) wait(l *link, from, to string) bool {
	n.mu.Lock()
	for (n.rules[[2]string{from, to}].Cut || l.silent) && !n.closed {
		n.changed.Wait()
	}
	delay, closed := n.rules[[2]string{from, to}].Delay, n.closed
	n.mu.Unlock()
	if delay > 0 && !closed {
		time.Sleep(delay)
	}
	return !closed
}

func (n *Network) remember(c net.Conn, l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = c.Close()
		return false
	}
	n.open[c] = l
	return true
}

func (n *Network) forget(c net.Conn) {
	_ = c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}
