// Package lease elects the one holder of a data centre's quota. The holder is
// named in a row of the platform's table, which is changed by compare-and-swap;
// the package also has the rules by which another node may take over.
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
