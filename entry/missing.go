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
	// missingRing bounds the words that wait. Full: a word is dropped, and the
	// next dispatch to the server says it again.
	missingRing = 64
	// missingEvery is the least time between two words about one server: a
	// load takes seconds, and each request sent there until then finds the same.
	missingEvery = 5 * time.Second
)

// missing is a duty: it tells a backend server's lease holder that the server
// lacks what it should hold. Requests find that out at once, so the holder need
// not look at every server all the time.
type missing struct {
	own     string // this instance's id
	ring    chan string
	list    func() *fleet.List
	views   func() map[string]*replay.ControlView
	local   func(server string) // tells the own controller
	tell    func(ctx context.Context, addr, server string) error
	log     logrus.FieldLogger
	metrics *expvar.Map
}

// found takes in a word; it never waits.
func (m *missing) found(server string) {
	select {
	case m.ring <- server:
	default:
		m.metrics.Add("missing_dropped", 1)
	}
}

// run passes words on until ctx ends.
func (m *missing) run(ctx context.Context) error {
	told := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case server := <-m.ring:
			now := time.Now()
			if now.Sub(told[server]) < missingEvery {
				continue
			}
			forget(told, now.Add(-missingEvery))
			told[server] = now
			m.pass(ctx, server)
		}
	}
}

// forget drops what was told before then.
func forget(told map[string]time.Time, then time.Time) {
	for server, at := range told {
		if at.Before(then) {
			delete(told, server)
		}
	}
}

// pass tells the own controller, which may restore a server while the log is
// down, and the holder of the server's failure domain where that is another.
func (m *missing) pass(ctx context.Context, server string) {
	m.local(server)
	holder, known := m.holder(server)
	if !known || holder.ID == m.own {
		return
	}
	err := m.tell(ctx, holder.Addr, server)
	m.metrics.Add("missing_told", 1)
	m.log.WithFields(logrus.Fields{"server": server, "holder": holder.ID, "error": err}).Info("server lacks what it should hold")
}

// holder returns the lease holder of the server's failure domain.
func (m *missing) holder(server string) (infra.Instance, bool) {
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
