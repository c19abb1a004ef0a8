// Package boottime reads a clock that advances while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time without a monotonic reading. Its origin is arbitrary, so only differences
// are meaningful. It may be called from several goroutines.
//
// The runtime's monotonic clock stops while a machine is suspended. After the machine resumes, a lease or a position sample
// would appear younger than it is, and data of a replaced primary would be served. The wall clock jumps, so it can't be
// used either.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has supported this clock since 2.6.39, so the call doesn't fail.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
