package overhead

import (
	"time"

	"golang.org/x/sys/unix"
)

// sleepUntil blocks the thread until t with nanosleep, because timers of the Go
// runtime fire up to a millisecond late in an idle process.
func sleepUntil(t time.Time) {
	for {
		remaining := time.Until(t)
		if remaining <= 0 {
			return
		}
		ts := unix.NsecToTimespec(remaining.Nanoseconds())
		_ = unix.Nanosleep(&ts, nil) // a signal may end the sleep early
	}
}
