package control

import (
	"context"
	"net"
	"sync"
)

// Location is the node and data centre of a process. A Network applies its rules to
// either name.
type Location struct {
	Node, DataCentre string
}

// blockRule blocks traffic in one direction. Each end is the name of a node or a
// data centre.
type blockRule struct{ from, to string }

// Network relays loopback connections between locations and simulates network
// partitions: blocked traffic is held back, and connections are neither refused nor
// reset. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	locations map[string]Location // by address
	rules     map[blockRule]bool
	changed   chan struct{} // closed and replaced when the rules change
}

// NewNetwork returns a network that blocks nothing.
func NewNetwork() *Network {
	return &Network{locations: map[string]Location{}, rules: map[blockRule]bool{}, changed: make(chan struct{})}
}

// Register sets the location of the listener at addr.
func (n *Network) Register(addr string, p Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[addr] = p
}

// Cut blocks traffic in one direction between two nodes or data centres.
func (n *Network) Cut(from, to string) { n.setRule(blockRule{from, to}, true) }

// CutBoth blocks traffic in both directions between two nodes or data centres.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal ends all cuts. Traffic that was held back is then delivered.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) setRule(r blockRule, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[r] = on
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked reports whether traffic is blocked. The returned channel is closed when
// the rules change.
func (n *Network) blocked(from, to Location) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range []string{from.Node, from.DataCentre} {
		for _, t := range []string{to.Node, to.DataCentre} {
			if n.rules[blockRule{f, t}] {
				return true, n.changed
			}
		}
	}
	return false, n.changed
}

// waitUntilOpen blocks while traffic is blocked. It returns the error of ctx if ctx
// ends first.
func (n *Network) waitUntilOpen(ctx context.Context, from, to Location) error {
	for {
		blocked, changed := n.blocked(from, to)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Dialer returns the dial function of a process at src. Connections pass through a
// relay that applies the rules. Dialling waits while either direction is blocked. An
// address that was not registered has no location, so that no rule applies to it.
// ctx bounds only the dialling: the relay runs until an end of the connection closes.
func (n *Network) Dialer(src Location) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		dst := n.locations[addr]
		n.mu.Unlock()
		for _, d := range [][2]Location{{src, dst}, {dst, src}} {
			if err := n.waitUntilOpen(ctx, d[0], d[1]); err != nil {
				return nil, err
			}
		}
		var d net.Dialer
		destConn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		clientConn, relayConn, err := newLoopbackPair(ctx)
		if err != nil {
			_ = destConn.Close()
			return nil, err
		}
		pumpCtx, cancel := context.WithCancel(context.Background())
		closeAll := func() { cancel(); _ = relayConn.Close(); _ = destConn.Close() }
		go n.forward(pumpCtx, closeAll, relayConn, destConn, src, dst)
		go n.forward(pumpCtx, closeAll, destConn, relayConn, dst, src)
		return clientConn, nil
	}
}

// forward copies one direction of a connection until either end fails. It pauses
// while the direction is blocked.
func (n *Network) forward(ctx context.Context, closeAll func(), r, w net.Conn, from, to Location) {
	defer closeAll()
	buf := make([]byte, 16<<10)
	for {
		k, err := r.Read(buf)
		if n.waitUntilOpen(ctx, from, to) != nil {
			return
		}
		if k > 0 {
			if _, err := w.Write(buf[:k]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// newLoopbackPair returns the two ends of a new TCP connection over loopback.
func newLoopbackPair(ctx context.Context) (client, server net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	var d net.Dialer
	if client, err = d.DialContext(ctx, "tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	if server, err = l.Accept(); err != nil {
		_ = client.Close()
		return nil, nil, err
	}
	return client, server, nil
}
