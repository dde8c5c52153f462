// Package countconn counts the bytes that experiments transfer on network
// connections.
package countconn

import (
	"net"
	"sync/atomic"
)

// Conn adds the bytes of all reads and writes to Count: the payload of TCP, with the
// handshakes of the protocols above it. Count is the sum of both directions and may
// be shared by several connections. Conn is as safe for concurrent use as the
// embedded connection.
type Conn struct {
	net.Conn
	Count *atomic.Int64
}

// Read implements net.Conn.
func (c Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.Count.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.Count.Add(int64(n))
	return n, err
}
