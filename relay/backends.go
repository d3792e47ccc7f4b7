package relay

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengageferry/netconn"
	"greengageferry/topology"
)

const (
	// idleKept is how long an unused connection is kept to a server that doesn't
	// say when it closes its own; one that does keeps for idlePart of that. A
	// request that crosses the server's close is lost if it may not run twice, so
	// ours goes first; and a new connection costs a server time.
	idleKept = 4 * time.Second
	idlePart = 0.8
	// longestIdle bounds what a server may have an instance keep.
	longestIdle = time.Minute
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
	idle      time.Duration // how long the transport keeps an unused connection
}

// get returns the transport to a server.
func (b *backends) get(id, addr string) *http.Transport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[id]; p != nil && p.key.addr == addr {
		return p.transport
	}
	return b.put(backendKey{id: id, addr: addr}, idleKept)
}

// answered takes in how long the server says that it keeps unused connections.
func (b *backends) answered(id string, h http.Header) {
	idle := time.Duration(float64(keepAlive(h.Get("Keep-Alive"))) * idlePart)
	if idle <= 0 {
		return
	}
	idle = min(idle, longestIdle)
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[id]; p != nil && p.idle != idle {
		b.put(p.key, idle)
	}
}

// keepAlive returns the timeout that a Keep-Alive header names, 0 if none.
func keepAlive(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && n > 0 {
			return time.Duration(min(n, int(longestIdle/time.Second)*2)) * time.Second
		}
	}
	return 0
}

// put begins a pool. The lock is held.
func (b *backends) put(k backendKey, idle time.Duration) *http.Transport {
	if b.pools == nil {
		b.pools = map[string]*backend{}
	}
	if old := b.pools[k.id]; old != nil {
		old.transport.CloseIdleConnections()
	}
	t := netconn.Transport(idlePerServer, idle)
	b.pools[k.id] = &backend{key: k, transport: t, idle: idle}
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
			b.put(k, p.idle)
		}
	}
}
