// Package keepalive holds the probes of connections that can go silent without a
// reset: to other nodes, to backend servers and to the platform's store.
package keepalive

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	interval = time.Second // between probes, and before the first one
	probes   = 2           // without an answer, after which the connection ends
)

// Config returns the settings for a net.Dialer.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
}

// UserTimeout returns the Control of a net.Dialer that ends connections whose
// bytes the other host has not acknowledged for limit. A host that is alive but
// whose process does not read acknowledges them.
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
