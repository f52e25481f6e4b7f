// Package boottime reads a steady clock that also counts the time for which the instance
// was suspended, unlike the monotonic clock of package time.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the origin for instances without a clock that counts suspended time.
var start = time.Now()

// Now returns the time since an arbitrary origin, which is the same during the life of the
// process.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
