package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"
	"golang.org/x/sys/unix"

	"greengageferry/decide"
	"greengageferry/netconn"
)

const (
	// crashCheckTimeout bounds one check. The address of a process that has ended refuses a
	// connection within a round trip; of a machine that isn't reached nothing is known.
	crashCheckTimeout = 200 * time.Millisecond
	// crashCheckTTL is how long a check's result is used for further broken connections to
	// the same server. They break together.
	crashCheckTTL = 100 * time.Millisecond
)

// crashChecks finds out whether servers whose connections broke have crashed. A connection
// that breaks may as well be reset on its way, or by a server that goes on.
type crashChecks struct {
	dial   netconn.DialFunc
	checks singleflight.Group // by server id

	mu      sync.Mutex
	results map[string]crashCheck // by server id
}

// crashCheck is the result of a check.
type crashCheck struct {
	at      time.Time
	crashed bool
}

// crashed reports whether the server's address refuses connections. Callers that ask at the
// same time share one check.
func (k *crashChecks) crashed(s decide.Server) bool {
	if r, ok := k.recent(s.ID); ok {
		return r.crashed
	}
	result, _, _ := k.checks.Do(s.ID, func() (any, error) {
		r := crashCheck{crashed: k.refusesConnections(s.Addr), at: time.Now()}
		k.keep(s.ID, r)
		return r, nil
	})
	return result.(crashCheck).crashed
}

// recent returns the result of a check that has just ended.
func (k *crashChecks) recent(server string) (crashCheck, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.results[server]
	return r, ok && time.Since(r.at) < crashCheckTTL
}

// keep stores a result and drops those that are no longer used.
func (k *crashChecks) keep(server string, r crashCheck) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.results == nil {
		k.results = map[string]crashCheck{}
	}
	for id, old := range k.results {
		if time.Since(old.at) >= crashCheckTTL {
			delete(k.results, id)
		}
	}
	k.results[server] = r
}

// refusesConnections reports whether no process listens on the address.
func (k *crashChecks) refusesConnections(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := k.dial(ctx, "tcp4", addr)
	if err == nil {
		_ = conn.Close() // it was opened for the check alone
		return false
	}
	return errors.Is(err, unix.ECONNREFUSED)
}
