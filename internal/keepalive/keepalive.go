// Package keepalive holds the probes of connections that can go silent without a
// reset: to other nodes, to backend servers and to the platform's store.
package keepalive

import (
	"net"
	"time"
)

const (
	interval = time.Second // between probes, and before the first one
	probes   = 2           // without an answer, after which the connection ends
)

// Config returns the settings for a net.Dialer.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
}
