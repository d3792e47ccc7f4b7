package demand

import (
	"sync"
	"time"

	"greengageferry/infra"
)

// loadLife is how long a load counts: it tells of the batch of that moment.
const loadLife = 20 * time.Second

// Loads keeps the load reports that rode on answers. Its methods may be called
// from any goroutine. It holds one report for each server used lately.
type Loads struct {
	mu   sync.Mutex
	seen map[string]seenLoad // by server
}

type seenLoad struct {
	at   time.Time
	load infra.Load
}

// NewLoads returns an empty board.
func NewLoads() *Loads { return &Loads{seen: map[string]seenLoad{}} }

// Seen takes in a server's report.
func (l *Loads) Seen(now time.Time, server string, load infra.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[server] = seenLoad{now, load}
}

// Recent returns the reports that still count, by server.
func (l *Loads) Recent(now time.Time) map[string]infra.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := map[string]infra.Load{}
	for server, s := range l.seen {
		if now.Sub(s.at) > loadLife {
			delete(l.seen, server)
			continue
		}
		recent[server] = s.load
	}
	return recent
}
