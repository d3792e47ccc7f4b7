package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/netconn"
	"greengageferry/topology"
)

const (
	// probeInterval is how often a server that can't be reached directly is dialed.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds such a dial: many round trips.
	probeTimeout = 300 * time.Millisecond
	// maxProbes bounds the servers that are dialed at a time.
	maxProbes = 64
)

// paths tracks which servers this instance can't reach directly. That says nothing about
// the servers: other instances may reach them, and no other part of the system takes such a
// server for gone. It is safe for concurrent use.
type paths struct {
	dial netconn.DialFunc
	log  logrus.FieldLogger
	wake chan struct{} // signaled when servers should be probed at once; buffers one signal

	mu      sync.Mutex
	blocked map[string]bool   // by server id
	suspect map[string]string // addresses of servers to probe, by id
}

func newPaths(dial netconn.DialFunc, log logrus.FieldLogger) *paths {
	return &paths{dial: dial, log: log, wake: make(chan struct{}, 1), blocked: map[string]bool{}, suspect: map[string]string{}}
}

// direct reports whether requests to the server should be sent to it directly.
func (p *paths) direct(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.blocked[server]
}

// block records that the server can't be reached directly although another instance
// reaches it.
func (p *paths) block(server, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setBlocked(server, true)
	p.suspect[server] = addr
}

// setBlocked records whether the server can be reached directly. The caller must hold mu.
func (p *paths) setBlocked(server string, blocked bool) {
	if p.blocked[server] == blocked {
		return
	}
	if blocked {
		p.blocked[server] = true
	} else {
		delete(p.blocked, server)
	}
	p.log.WithFields(logrus.Fields{"server": server, "direct": !blocked, "unreachable": len(p.blocked)}).Info("path to server changed")
}

// probeSoon has servers probed at once, by id with their addresses: a connection to one of
// them timed out, and the others' may be as dead.
func (p *paths) probeSoon(servers map[string]string) {
	p.mu.Lock()
	maps.Copy(p.suspect, servers)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default: // a signal is already pending
	}
}

// retainListed forgets servers that are no longer listed.
func (p *paths) retainListed(servers []topology.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.blocked) == 0 && len(p.suspect) == 0 {
		return
	}
	listed := make(map[string]bool, len(servers))
	for i := range servers {
		listed[servers[i].ID] = true
	}
	maps.DeleteFunc(p.blocked, func(id string, _ bool) bool { return !listed[id] })
	maps.DeleteFunc(p.suspect, func(id, _ string) bool { return !listed[id] })
}

// blockedServers returns how many servers can't be reached directly.
func (p *paths) blockedServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.blocked)
}

// run is the duty that probes suspected servers until ctx ends. onBlocked is called for
// each that is found unreachable.
func (p *paths) run(ctx context.Context, onBlocked func(server string)) error {
	timer := time.NewTicker(probeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-p.wake:
		}
		p.probeAll(ctx, onBlocked)
	}
}

// probeAll dials the suspected servers. Those that accept are reached directly.
func (p *paths) probeAll(ctx context.Context, onBlocked func(server string)) {
	p.mu.Lock()
	ids := slices.Collect(maps.Keys(p.suspect))
	addrs := maps.Clone(p.suspect)
	p.mu.Unlock()
	var probes errgroup.Group
	probes.SetLimit(maxProbes)
	for _, id := range ids {
		probes.Go(func() error {
			if p.probe(ctx, id, addrs[id]) {
				onBlocked(id)
			}
			return nil
		})
	}
	_ = probes.Wait() // no error is returned
}

// probe dials a server and reports whether that newly found it unreachable. A refused
// connection doesn't: the server may have ended.
func (p *paths) probe(ctx context.Context, id, addr string) (newlyBlocked bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp4", addr)
	if err == nil {
		_ = conn.Close() // it was opened for the probe alone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, listed := p.suspect[id]; !listed {
		return false
	}
	switch {
	case err == nil:
		p.setBlocked(id, false)
		delete(p.suspect, id)
	case ctx.Err() != nil || isTimeout(err):
		newlyBlocked = !p.blocked[id]
		p.setBlocked(id, true)
	case !p.blocked[id]:
		delete(p.suspect, id)
	}
	return newlyBlocked
}
