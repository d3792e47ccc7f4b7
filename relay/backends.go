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
	// defaultIdleTimeout is the idle timeout of connections to a server that sends no
	// Keep-Alive timeout. If it sends one, idleTimeoutFraction of that applies: the
	// instance must close first, since a non-idempotent request that is sent while the
	// server closes the connection is lost. The timeout is not shorter because new
	// connections cost servers time.
	defaultIdleTimeout  = 4 * time.Second
	idleTimeoutFraction = 0.8
	// maxIdleTimeout is the upper bound of the idle timeout, whatever a server sends.
	maxIdleTimeout = time.Minute
	// maxIdlePerServer bounds the idle connections to one server. It has to cover a
	// batch of requests that end together, since another batch follows.
	maxIdlePerServer = 32
	// repeatPools is how many pools a server has for requests that were sent to it before. Requests
	// that were sent more often get new connections, which aren't kept.
	repeatPools = 3
)

// poolKey identifies one start of a server at one address. Connections to an earlier
// start, or to another server that had the address before, are not used.
type poolKey struct {
	id, addr  string
	startedAt time.Time
}

// backends holds the connection pools of each server, whose connections dial opens. It is
// safe for concurrent use.
type backends struct {
	dial netconn.DialFunc

	mu    sync.Mutex
	pools map[string]*connPool // by server id
}

// connPool holds the connections to one start of a server. An id names a request, not a sending: on
// a connection that carried the request before, an extra copy of its earlier answer can't be told
// from the answer to come. So each sending of a request has a transport of its own.
type connPool struct {
	key         poolKey
	transports  [1 + repeatPools + 1]*netconn.Transport // by how often a request was sent to the server before; nil: not used yet
	idleTimeout time.Duration                           // of the transports' connections
}

// get returns the transport to a server for a request that was sent to it the given number of times
// before.
func (b *backends) get(id, addr string, repeat int) *netconn.Transport {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[id]
	if p == nil || p.key.addr != addr {
		p = b.replace(poolKey{id: id, addr: addr}, defaultIdleTimeout)
	}
	repeat = min(repeat, len(p.transports)-1)
	if p.transports[repeat] == nil {
		p.transports[repeat] = netconn.NewTransportWith(b.dial, maxIdleFor(repeat), p.idleTimeout)
	}
	return p.transports[repeat]
}

// maxIdleFor returns how many idle connections a server's transport keeps; negative: none.
func maxIdleFor(repeat int) int {
	if repeat > repeatPools {
		return -1
	}
	return maxIdlePerServer
}

// closeIdle closes the idle connections.
func (p *connPool) closeIdle() {
	for _, t := range p.transports {
		if t != nil {
			t.CloseIdleConnections()
		}
	}
}

// openBefore returns how many connections are open that were opened before at.
func (p *connPool) openBefore(at time.Time) int {
	n := 0
	for _, t := range p.transports {
		if t != nil {
			n += t.OpenBefore(at)
		}
	}
	return n
}

// addrs returns the addresses of the servers that have a pool, by server id.
func (b *backends) addrs() map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]string, len(b.pools))
	for id, p := range b.pools {
		out[id] = p.key.addr
	}
	return out
}

// openBefore returns how many connections to a server are open that were opened before at.
func (b *backends) openBefore(id string, at time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[id]; p != nil {
		return p.openBefore(at)
	}
	return 0
}

// closeIdle closes the idle connections to a server.
func (b *backends) closeIdle(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[id]; p != nil {
		p.closeIdle()
	}
}

// handleResponse applies the Keep-Alive header of a server's response.
func (b *backends) handleResponse(id string, h http.Header) {
	idleTimeout := time.Duration(float64(keepAliveTimeout(h.Get("Keep-Alive"))) * idleTimeoutFraction)
	if idleTimeout <= 0 {
		return
	}
	idleTimeout = min(idleTimeout, maxIdleTimeout)
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[id]; p != nil && p.idleTimeout != idleTimeout {
		b.replace(p.key, idleTimeout)
	}
}

// keepAliveTimeout returns the timeout in a Keep-Alive header, 0 if there is none.
func keepAliveTimeout(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && n > 0 {
			return time.Duration(min(n, int(maxIdleTimeout/time.Second)*2)) * time.Second
		}
	}
	return 0
}

// replace creates a pool and closes the idle connections of the server's old one. The
// lock is held.
func (b *backends) replace(k poolKey, idleTimeout time.Duration) *connPool {
	if b.pools == nil {
		b.pools = map[string]*connPool{}
	}
	if old := b.pools[k.id]; old != nil {
		old.closeIdle()
	}
	p := &connPool{key: k, idleTimeout: idleTimeout}
	b.pools[k.id] = p
	return p
}

// retainListed removes the pools of servers that are not listed, and replaces the pools
// of servers that restarted or changed their address.
func (b *backends) retainListed(servers []topology.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]poolKey, len(servers))
	for i := range servers {
		s := &servers[i]
		listed[s.ID] = poolKey{s.ID, s.Addr, s.Born}
	}
	for id, p := range b.pools {
		k, ok := listed[id]
		switch {
		case !ok:
			p.closeIdle()
			delete(b.pools, id)
		case p.key.startedAt.IsZero():
			p.key.startedAt = k.startedAt
		case k != p.key:
			b.replace(k, p.idleTimeout)
		}
	}
}
