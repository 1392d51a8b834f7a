// Package clock provides the clock that measures the age of cached data, such as the
// operator's configuration.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM was booted (CLOCK_BOOTTIME). Unlike the
// monotonic clock of time.Now it includes the time for which the VM was suspended, and
// unlike the wall clock it never jumps. With it, a node that was suspended does not take
// its cached data for current.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. Without it, the largest duration
		// makes all cached data count as outdated, which is safe.
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}
