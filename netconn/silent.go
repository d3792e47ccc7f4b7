package netconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// OpenAndSilent reports whether the peer of a connection has neither closed it nor sent anything that
// wasn't read. It asks the kernel, so that it doesn't depend on when a goroutine that reads is run.
func OpenAndSilent(c net.Conn) bool {
	return pollState(c, unix.POLLIN|unix.POLLRDHUP) == 0
}

// unknownState is pollState's result for a connection that can't be polled.
const unknownState = unix.POLLNVAL

// pollState returns which of the events are pending at a connection, and unix.POLLERR and
// unix.POLLHUP if they are. It reads nothing.
func pollState(c net.Conn, events int16) int16 {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return unknownState
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return unknownState
	}
	state := []unix.PollFd{{Events: events}}
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		state[0].Fd = int32(fd)
		_, pollErr = unix.Poll(state, 0)
	})
	if err != nil || pollErr != nil {
		return unknownState
	}
	return state[0].Revents
}
