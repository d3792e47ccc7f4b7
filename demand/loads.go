package demand

import (
	"sync"
	"time"

	"greengageferry/infra"
)

// loadTTL is how long a load report is used. It describes the server's batch at the
// time of the report.
const loadTTL = 20 * time.Second

// Loads holds the newest load report that came with an answer of each recently used
// server. Its methods are safe for concurrent use.
type Loads struct {
	mu      sync.Mutex
	reports map[string]loadReport // by server
}

// loadReport is a load and the time at which it was received.
type loadReport struct {
	receivedAt time.Time
	load       infra.Load
}

// NewLoads returns an empty collection of load reports.
func NewLoads() *Loads { return &Loads{reports: map[string]loadReport{}} }

// Record stores a server's report.
func (l *Loads) Record(now time.Time, server string, load infra.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[server] = loadReport{now, load}
}

// Recent returns the loads that are not older than loadTTL, by server, and removes
// the others.
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
