package netconn

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Read implements net.Conn. It returns io.EOF only if the peer has ended its half of the connection.
//
// When a connection breaks, the kernel reports the error to one system call only. If that is a write,
// of a request that is still being sent while its response arrives, a read sees the end of the data and
// no error. An answer that is framed by its connection would then look complete.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if broken := c.writeErrorAtEnd(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// writeErrorAtEnd returns as a read's error the error of the connection that a write was given, nil if
// there was none. It is called when a read has reached the end of the data.
func (c *conn) writeErrorAtEnd() error {
	if closedBothWays(c.Conn) {
		// A write that is under way was given the error, or returns without one: none waits on such
		// a connection.
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	code := syscall.Errno(c.brokenBy.Load())
	if code == 0 {
		return nil
	}
	return &net.OpError{
		Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(),
		Err: os.NewSyscallError("read", code),
	}
}

// noteWriteError records the error of a write if it is the one that broke the connection.
//
// EPIPE is not: a connection that is reset after the peer ended its half reports that, and so does each
// write after the first that failed.
func (c *conn) noteWriteError(err error) {
	var code syscall.Errno
	if errors.As(err, &code) && code != unix.EPIPE {
		c.brokenBy.CompareAndSwap(0, uintptr(code))
	}
}

// closedBothWays reports whether both halves of a connection are closed, as after a reset. While only
// the peer has ended its half, they aren't.
func closedBothWays(c net.Conn) bool {
	return pollState(c, 0)&unix.POLLHUP != 0
}
