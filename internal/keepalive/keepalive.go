// Package keepalive provides TCP options that detect a peer that vanished without
// closing the connection. They are used for connections to nodes, to backend servers
// and to the platform.
package keepalive

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	interval = time.Second // between probes, and before the first one
	probes   = 2           // unanswered probes after which the connection is closed
)

// Config returns the keep-alive settings for a net.Dialer. They close an idle
// connection about 3 s after its peer vanished.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
}

// UserTimeout returns a Control function for a net.Dialer that sets TCP_USER_TIMEOUT:
// the kernel closes connections whose sent data is not acknowledged within limit.
// limit is rounded down to milliseconds and must be at least 1 ms, because 0 means
// the default of the system. A host that is alive acknowledges data even if its
// process does not read it.
func UserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
