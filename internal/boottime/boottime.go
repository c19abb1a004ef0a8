// Package boottime reads a clock that goes on while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time without a monotonic reading.
// Its origin is arbitrary, so only differences mean anything.
//
// The runtime's monotonic clock stands still while a machine is suspended. A lease
// or a position sample judged by it would seem young after the machine wakes, and
// a replaced primary's data would be served. The time of day jumps, and can't be
// used either.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call has no failure on a Linux kernel since 2.6.39.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
