package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"greengageferry/decide"
	"greengageferry/netconn"
)

// witness is a connection to a server on which nothing is sent. While it is open, the process goes on
// that accepted it.
type witness struct {
	key    string
	users  int                // guarded by witnesses.mu
	cancel context.CancelFunc // closes the connection
	dialed chan struct{}      // closed when the connection is open, or won't be
	conn   net.Conn           // nil: it isn't open; set before dialed is closed
}

// witnesses holds a witness for each server from which streams come that are framed by their
// connections: it may have no other connection that stays open. A witness is closed with the last of
// them, since some servers serve one connection after the other. It is safe for concurrent use.
type witnesses struct {
	dial netconn.DialFunc

	mu   sync.Mutex
	open map[string]*witness // by startKey and address of the server
}

// acquire returns the witness of a server, and opens one if there is none. It doesn't wait for the
// connection. The witness must be released.
func (ws *witnesses) acquire(s decide.Server) *witness {
	key := startKey(s) + " " + s.Addr
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.open[key]
	if w == nil {
		ctx, cancel := context.WithCancel(context.Background())
		w = &witness{key: key, cancel: cancel, dialed: make(chan struct{})}
		go w.connect(ctx, ws.dial, s.Addr)
		if ws.open == nil {
			ws.open = map[string]*witness{}
		}
		ws.open[key] = w
	}
	w.users++
	return w
}

// release ends a use of the witness.
func (ws *witnesses) release(w *witness) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w.users--; w.users == 0 {
		delete(ws.open, w.key)
		w.cancel()
	}
}

// connect opens the connection and returns once ctx has ended.
func (w *witness) connect(ctx context.Context, dial netconn.DialFunc, addr string) {
	dialCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	conn, err := dial(dialCtx, "tcp4", addr)
	if err == nil { // else it says no more than a connection that has ended
		w.conn = conn
		defer conn.Close() // nothing was sent on it
	}
	close(w.dialed)
	<-ctx.Done()
}

// openAt waits until the given time, and reports whether the connection is still open then.
func (w *witness) openAt(at time.Time) bool {
	<-w.dialed // within crashCheckTimeout
	if w.conn == nil || !netconn.OpenAndSilent(w.conn) {
		return false
	}
	time.Sleep(time.Until(at))
	return netconn.OpenAndSilent(w.conn)
}
