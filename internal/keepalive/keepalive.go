// Package keepalive provides TCP settings that detect connections whose other end is
// gone without a reset: to other nodes, to backend servers and to the platform's
// store.
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

// Config returns the keep-alive settings for a net.Dialer.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
}

// UserTimeout returns a Control function for a net.Dialer that sets TCP_USER_TIMEOUT:
// the kernel closes connections whose sent data is not acknowledged within limit. A
// host that is alive acknowledges data even if its process does not read it.
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
