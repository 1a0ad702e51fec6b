// Package boottime reads the clock that runs on while the machine is suspended.
//
// Go's monotonic clock stops during a suspension. After the machine wakes, a lease, a
// view or a time budget would still seem valid by that clock, long after the rest of
// the system has treated it as expired. CLOCK_BOOTTIME runs on, and setting the time of
// day does not change it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time of a clock that is never set. Only the differences
// between its times have a meaning.
type Clock func() time.Time

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Now is the Clock of a running process: it returns the time of CLOCK_BOOTTIME. It panics
// if the kernel has no such clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// This fails only on a kernel without the clock (Linux before 2.6.39).
		// Without it no lease can be checked, so that going on is not safe.
		panic("boottime: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
