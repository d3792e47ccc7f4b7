package netconn

import (
	"context"
	"net/http/httptrace"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// CallerGoneError ends a request whose caller closed its connection before the request was sent
// on.
type CallerGoneError struct{}

// Error implements error.
func (*CallerGoneError) Error() string { return "the caller has closed its connection" }

// CallerGone reports whether the caller of an HTTP request has closed its connection, or its half
// of it. The argument is the request's context, of a server with ConnContext.
//
// net/http cancels that context for the same reason, but from a goroutine that reads the
// connection and may run late on a busy instance. The kernel knows as soon as the caller's
// FIN or RST has arrived, also behind data that nobody has read.
func CallerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false // not a socket
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = hungUp(int(fd)) })
	return gone || err != nil
}

// hungUp reports whether the peer of a socket has closed its half of the connection, or the
// connection was reset. It reads nothing.
func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// WhileCallerStays returns a context for a request that is sent on for a caller: if the caller has
// gone when a connection is ready for it, nothing is sent, and the context ends with a
// *CallerGoneError. The request must go through a transport of this package. caller is the
// context of the caller's request, and cancel ends ctx.
func WhileCallerStays(ctx, caller context.Context, cancel context.CancelCauseFunc) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !CallerGone(caller) {
			return
		}
		cancel(errors.WithStack(&CallerGoneError{}))
		_ = info.Conn.Close() // nothing was sent on it
	}})
}
