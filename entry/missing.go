package entry

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/replay"
)

const (
	// missingBuffer bounds the queued reports. When the queue is full a report is
	// dropped: the next request dispatched to the server causes another.
	missingBuffer = 64
	// missingReportInterval is the minimum time between two reports about one server.
	// Loading a model takes seconds, and each request sent to the server until then
	// meets the same error.
	missingReportInterval = 5 * time.Second
)

// missingReports is a duty that reports a backend server that lacks an assigned model or
// adapter to the lease holder of the server's failure domain. Requests notice this at once,
// so the lease holder need not poll every server all the time.
type missingReports struct {
	ownID   string // id of this instance
	queue   chan string
	list    func() *fleet.List
	views   func() map[string]*replay.ControlView
	local   func(server string) // reports to this instance's own controller
	remote  func(ctx context.Context, addr, server string) error
	log     logrus.FieldLogger
	metrics *expvar.Map
}

// enqueue queues a report about a server. It never blocks.
func (m *missingReports) enqueue(server string) {
	select {
	case m.queue <- server:
	default:
		m.metrics.Add("missing_dropped", 1)
	}
}

// run forwards reports until ctx ends.
func (m *missingReports) run(ctx context.Context) error {
	reportedAt := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case server := <-m.queue:
			now := time.Now()
			if now.Sub(reportedAt[server]) < missingReportInterval {
				continue
			}
			expireReports(reportedAt, now.Add(-missingReportInterval))
			reportedAt[server] = now
			m.forward(ctx, server)
		}
	}
}

// expireReports deletes the entries from before then.
func expireReports(reportedAt map[string]time.Time, then time.Time) {
	for server, at := range reportedAt {
		if at.Before(then) {
			delete(reportedAt, server)
		}
	}
}

// forward reports the server to this instance's own controller, which may restore a server
// while the log is down, and to the lease holder of the server's failure domain if that is
// another instance.
func (m *missingReports) forward(ctx context.Context, server string) {
	m.local(server)
	holder, known := m.holder(server)
	if !known || holder.ID == m.ownID {
		return
	}
	err := m.remote(ctx, holder.Addr, server)
	m.metrics.Add("missing_told", 1)
	m.log.WithFields(logrus.Fields{"server": server, "holder": holder.ID, "error": err}).
		Info("server lacks an assigned model or adapter")
}

// holder returns the lease holder of the server's failure domain.
func (m *missingReports) holder(server string) (infra.Instance, bool) {
	list := m.list()
	listed, known := list.Get(server)
	if !known {
		return infra.Instance{}, false
	}
	view := m.views()[listed.FailureDomain]
	if view == nil {
		return infra.Instance{}, false
	}
	return list.Get(view.Lease.Holder)
}
