package netconn

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine's start, time during which it was
// suspended included. Go's own monotonic clock stops then, so a lease that is
// counted by it would seem to run on.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock: the time of day runs on as well
	}
	return time.Duration(ts.Nano())
}
