// Package wire counts the bytes that experiments transfer on network connections.
package wire

import (
	"net"
	"sync/atomic"
)

// CountingConn adds all bytes that it reads and writes, including handshakes, to
// Count.
type CountingConn struct {
	net.Conn
	Count *atomic.Int64
}

// Read implements net.Conn.
func (c CountingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.Count.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c CountingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.Count.Add(int64(n))
	return n, err
}
