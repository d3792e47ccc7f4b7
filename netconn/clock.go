package netconn

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine was booted, including the time that it was
// suspended. Go's monotonic clock stops during suspension, so a lease measured by it would
// seem to be still valid after it has expired.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock: the wall clock also advances during suspension
	}
	return time.Duration(ts.Nano())
}
