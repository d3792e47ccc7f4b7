package relay

import (
	"net/http"
	"sync"
	"time"

	"greengageferry/netconn"
	"greengageferry/topology"
)

const (
	// idleKept is how long an unused connection to a server is kept. Servers
	// close theirs after a time of their own; a request that crosses that close
	// is lost if it may not run twice, so ours goes first.
	idleKept = 4 * time.Second
	// idlePerServer bounds the unused connections to one server: a batch of
	// requests that ended together is followed by another.
	idlePerServer = 32
)

// backendKey names one start of a server at one address: connections to an
// earlier start, or to the server that had the address before, aren't used.
type backendKey struct {
	id, addr string
	born     time.Time
}

// backends holds a pool of connections for each server. The zero value is ready.
type backends struct {
	mu    sync.Mutex
	pools map[string]*backend // by server id
}

type backend struct {
	key       backendKey
	transport *http.Transport
}

// get returns the transport to a server.
func (b *backends) get(id, addr string) *http.Transport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[id]; p != nil && p.key.addr == addr {
		return p.transport
	}
	return b.put(backendKey{id: id, addr: addr})
}

// put begins a pool. The lock is held.
func (b *backends) put(k backendKey) *http.Transport {
	if b.pools == nil {
		b.pools = map[string]*backend{}
	}
	if old := b.pools[k.id]; old != nil {
		old.transport.CloseIdleConnections()
	}
	t := netconn.Transport(idlePerServer, idleKept)
	b.pools[k.id] = &backend{key: k, transport: t}
	return t
}

// keep drops the pools of servers that are gone, and begins new ones for those
// that started again.
func (b *backends) keep(servers []topology.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]backendKey, len(servers))
	for i := range servers {
		s := &servers[i]
		listed[s.ID] = backendKey{s.ID, s.Addr, s.Born}
	}
	for id, p := range b.pools {
		k, ok := listed[id]
		switch {
		case !ok:
			p.transport.CloseIdleConnections()
			delete(b.pools, id)
		case p.key.born.IsZero():
			p.key.born = k.born
		case k != p.key:
			b.put(k)
		}
	}
}
