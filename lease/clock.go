// Package lease elects one node per data centre, the holder. Only the holder may
// lend shares of the data centre's quota to nodes and to other data centres. It
// is named in a row of the platform's table, which is changed by
// compare-and-swap. If the holder fails, another node takes over, and lends once
// the leases of the old holder have expired.
package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures leases. Now never goes back and includes the time during which
// the process or its host was suspended. The zero point is arbitrary and differs
// between hosts, so readings of different hosts must not be compared.
type Clock interface {
	Now() time.Duration
}

// BootClock is the Clock of the host: CLOCK_BOOTTIME, which, unlike the
// monotonic clock of package time, also counts while the host is suspended.
type BootClock struct{}

// Now implements Clock.
func (BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
