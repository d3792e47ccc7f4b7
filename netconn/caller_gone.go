package netconn

import (
	"context"
	"net/http/httptrace"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// CallerGoneError is the cause with which a request's context ends if the caller closed its
// connection before the request was sent to a server.
type CallerGoneError struct{}

// Error implements error.
func (*CallerGoneError) Error() string { return "the caller has closed its connection" }

// CallerGone reports whether the caller of an HTTP request has closed its connection or its sending
// half. ctx is the request's context. The server that received the request must have ConnContext as
// its ConnContext; otherwise only the end of ctx is reported.
//
// net/http cancels that context for the same reason, but from a goroutine that reads the
// connection and may run late on a busy instance. The kernel knows as soon as the caller's
// FIN or RST has arrived, even if data before it is still unread.
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

// WhileCallerStays returns a context for a request that is sent on behalf of a caller: if the caller
// is gone when the request is written, nothing is sent, and the context ends with a *CallerGoneError
// as its cause. The request must go through a transport of this package. caller is the context of the
// caller's request, and cancel ends ctx.
func WhileCallerStays(ctx, caller context.Context, cancel context.CancelCauseFunc) context.Context {
	guard := &writeGuard{caller, cancel}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.guard.Store(guard)
		}
	}})
}

// writeGuard decides about the first write of a request to its connection. net/http writes it in
// another goroutine than the one that obtained the connection, and on a busy instance much later.
type writeGuard struct {
	caller context.Context
	cancel context.CancelCauseFunc
}

// allows reports whether the request may be written. If not, it cancels the request. g may be nil.
func (g *writeGuard) allows() bool {
	if g == nil || !CallerGone(g.caller) {
		return true
	}
	g.cancel(errors.WithStack(&CallerGoneError{}))
	return false
}
