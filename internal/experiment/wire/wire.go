// Package wire counts the bytes of connections for experiments.
package wire

import (
	"net"
	"sync/atomic"
)

// CountingConn adds all bytes that it reads and writes, handshakes included, to Count.
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
