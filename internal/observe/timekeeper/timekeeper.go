// Package timekeeper reads a clock that continues to run while the machine is suspended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as a time.Time. Only differences between two
// readings are meaningful. The monotonic clock of package time stops while the machine is
// suspended, so a lease that is measured with it would last too long.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}
