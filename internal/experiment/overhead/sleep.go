package overhead

import (
	"time"

	"golang.org/x/sys/unix"
)

// pace waits until t. It sleeps in the kernel, because the runtime's timers
// fire up to a millisecond late on an idle process.
func pace(t time.Time) {
	for {
		left := time.Until(t)
		if left <= 0 {
			return
		}
		ts := unix.NsecToTimespec(left.Nanoseconds())
		_ = unix.Nanosleep(&ts, nil) // a signal ends the sleep early; the loop goes on
	}
}
