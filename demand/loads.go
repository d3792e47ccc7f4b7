package demand

import (
	"sync"
	"time"

	"greengageferry/infra"
)

// loadLife is how long a load counts: it tells of the batch of that moment.
const loadTTL = 20 * time.Second

// Loads keeps the load reports that rode on answers. Its methods may be called
// from any goroutine. It holds one report for each server used lately.
type Loads struct {
	mu      sync.Mutex
	reports map[string]loadReport // by server
}

type loadReport struct {
	receivedAt time.Time
	load       infra.Load
}

// NewLoads returns an empty board.
func NewLoads() *Loads { return &Loads{reports: map[string]loadReport{}} }

// Seen takes in a server's report.
func (l *Loads) Record(now time.Time, server string, load infra.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[server] = loadReport{now, load}
}

// Recent returns the reports that still count, by server.
func (l *Loads) Recent(now time.Time) map[string]infra.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := map[string]infra.Load{}
	for server, s := range l.reports {
		if now.Sub(s.receivedAt) > loadTTL {
			delete(l.reports, server)
			continue
		}
		recent[server] = s.load
	}
	return recent
}
