package commander

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time since the VM was started. Unlike the monotonic reading of
// package time, it includes the time for which the VM was suspended.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}
