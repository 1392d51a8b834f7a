// Package clock reads the clock by which knowledge ages.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM started. Unlike time.Now it counts the
// time for which the VM was suspended, and unlike the time of day it never jumps.
// A node that was suspended must not believe that what it knows is still new.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39. Without it all knowledge counts as
		// too old, which is safe.
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}
