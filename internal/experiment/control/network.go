package control

import (
	"context"
	"net"
	"sync"
)

// Location is where a process runs, for the rules of a Network.
type Location struct {
	Node, DataCentre string
}

// rule holds back traffic in one direction. Each end is a node or a data
// centre.
type rule struct{ from, to string }

// Network relays loopback connections between places and holds back traffic by
// rules, as a cut does: nothing is refused, nothing arrives.
type Network struct {
	mu      sync.Mutex
	places  map[string]Location // by address
	rules   map[rule]bool
	changed chan struct{} // closed and replaced when the rules change
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{places: map[string]Location{}, rules: map[rule]bool{}, changed: make(chan struct{})}
}

// Register names the place that listens at addr.
func (n *Network) Register(addr string, p Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[addr] = p
}

// Cut holds back traffic in one direction between two nodes or data centres.
func (n *Network) Cut(from, to string) { n.set(rule{from, to}, true) }

// CutBoth holds back traffic in both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal removes all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) set(r rule, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[r] = on
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked reports whether traffic is held back, and a channel that is closed
// when that may have changed.
func (n *Network) blocked(from, to Location) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range []string{from.Node, from.DataCentre} {
		for _, t := range []string{to.Node, to.DataCentre} {
			if n.rules[rule{f, t}] {
				return true, n.changed
			}
		}
	}
	return false, n.changed
}

// wait returns nil once traffic may pass.
func (n *Network) wait(ctx context.Context, from, to Location) error {
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

// Dialer returns the dial function of a process at src.
func (n *Network) Dialer(src Location) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		dst := n.places[addr]
		n.mu.Unlock()
		for _, d := range [][2]Location{{src, dst}, {dst, src}} {
			if err := n.wait(ctx, d[0], d[1]); err != nil {
				return nil, err
			}
		}
		var d net.Dialer
		far, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		near, relay, err := loopbackPair(ctx)
		if err != nil {
			_ = far.Close()
			return nil, err
		}
		pumpCtx, cancel := context.WithCancel(context.Background())
		closeAll := func() { cancel(); _ = relay.Close(); _ = far.Close() }
		go n.pump(pumpCtx, closeAll, relay, far, src, dst)
		go n.pump(pumpCtx, closeAll, far, relay, dst, src)
		return near, nil
	}
}

// pump copies one direction and stops reading while it is cut.
func (n *Network) pump(ctx context.Context, closeAll func(), r, w net.Conn, from, to Location) {
	defer closeAll()
	buf := make([]byte, 16<<10)
	for {
		k, err := r.Read(buf)
		if n.wait(ctx, from, to) != nil {
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

// loopbackPair returns the two ends of a TCP connection.
func loopbackPair(ctx context.Context) (near, far net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	var d net.Dialer
	if near, err = d.DialContext(ctx, "tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	if far, err = l.Accept(); err != nil {
		_ = near.Close()
		return nil, nil, err
	}
	return near, far, nil
}
