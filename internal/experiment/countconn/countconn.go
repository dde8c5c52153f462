// Package countconn counts the bytes that experiments transfer on network connections.
package countconn

import (
	"net"
	"sync/atomic"
)

// Conn adds all bytes that it reads and writes, including handshakes, to
// Count.
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
