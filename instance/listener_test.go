package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scarceListener is a listener whose Accept fails for want of file descriptors while scarce is set.
type scarceListener struct {
	net.Listener
	scarce atomic.Bool
}

// Accept implements net.Listener.
func (l *scarceListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.scarce.Load() {
		_ = c.Close() // its caller tries again
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return c, err
}

// callerServer serves callers on a scarceListener as a frontend does.
type callerServer struct {
	listener *scarceListener
	url      string
	conns    *callerConns
	shared   *sharedListener
}

// serveCallersOn starts a callerServer of a process with the number of descriptors; 0: not known.
func serveCallersOn(t *testing.T, descriptors int) *callerServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &callerServer{
		listener: &scarceListener{Listener: l}, url: "http://" + l.Addr().String(),
		conns: newCallerConns(quietLog(), func() int { return descriptors }),
	}
	s.shared = newSharedListener(s.listener, s.conns.onAcceptError)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: s.conns.onState}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(s.shared.child()) }()
	t.Cleanup(func() {
		_ = l.Close()
		_ = server.Close()
		<-ended
	})
	return s
}

// call sends one request on a new connection, which stays open until the test ends, and reports
// whether it is answered.
func (s *callerServer) call(t *testing.T) bool {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, nil)
	require.NoError(t, err)
	res, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Guards against an instance that never accepts a caller's connection again after one lack of file
// descriptors, while its health check says that it is ready.
func TestCallersAreAcceptedAgainAfterALackOfDescriptors(t *testing.T) {
	s := serveCallersOn(t, 0)
	require.True(t, s.call(t))
	for range 3 {
		s.listener.scarce.Store(true)
		require.False(t, s.call(t))
		require.Eventually(t, func() bool { return !s.conns.accepts(time.Now().Add(maxAcceptFailure)) }, time.Second, 10*time.Millisecond)
		require.True(t, s.conns.accepts(time.Now()), "a short lack")
		s.listener.scarce.Store(false)
		require.True(t, s.call(t))
		require.True(t, s.conns.accepts(time.Now().Add(maxAcceptFailure)))
	}
}

// A lack of descriptors closes the connections that are idle the longest, so that new callers are
// accepted before the idle timeout.
func TestIdleConnectionsMakeRoomWhenNoneCanBeAccepted(t *testing.T) {
	s := serveCallersOn(t, 0)
	for range 2 * acceptErrorConns {
		require.True(t, s.call(t))
	}
	s.listener.scarce.Store(true)
	require.False(t, s.call(t))
	s.listener.scarce.Store(false)
	require.Eventually(t, func() bool {
		open, closed := s.conns.counts()
		return closed >= acceptErrorConns && open <= acceptErrorConns
	}, time.Second, 10*time.Millisecond)
}

// Callers' idle connections leave room for those to servers, the store and other instances.
func TestIdleConnectionsKeepToTheirPartOfTheDescriptors(t *testing.T) {
	s := serveCallersOn(t, 40)
	for n := range 60 {
		require.True(t, s.call(t), "caller %d", n)
	}
	require.Eventually(t, func() bool { open, _ := s.conns.counts(); return open <= 30 }, time.Second, 10*time.Millisecond)
	_, closed := s.conns.counts()
	require.EqualValues(t, 30, closed, "no more than needed")
}

// The next server goes on accepting where the one before stopped, and all end with the listener.
func TestSharedListenerIsHandedOver(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	shared := newSharedListener(l, func(error) {})
	first, second := shared.child(), shared.child()
	require.NoError(t, first.Close())
	_, err = first.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	accepted, err := second.Accept()
	require.NoError(t, err)
	_ = accepted.Close()
	require.NoError(t, l.Close())
	_, err = second.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
