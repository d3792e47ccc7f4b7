package entry

import (
	"context"
	"expvar"
	"slices"
	"time"

	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/rendezvous"
	"greengageferry/replay"
	"greengageferry/supervise"
)

const (
	// checkInterval is the time in which an instance checks each server of its share
	// once. A server that restarted empty and gets no requests is found within this time.
	// With 5 servers per share and some 2 KB per check this costs 350 bytes/s; a single
	// instance that checked all 211 servers would spend 14 KB/s.
	checkInterval = 30 * time.Second
	// checkTimeout bounds one check.
	checkTimeout = 2 * time.Second
	// idleCheckInterval is the wait before the share is computed again if no server falls
	// to the instance.
	idleCheckInterval = 5 * time.Second
)

// serverChecker is a duty that checks backend servers. The instances of a failure domain
// divide its servers among themselves by rendezvous hashing. A server whose state differs
// from the log is reported to the lease holder, which then polls the server itself.
// Instances whose lists differ may check a server twice, or skip it for one round; both
// are harmless.
type serverChecker struct {
	ownID      string
	domain     string
	list       func() *fleet.List
	members    func() []string
	view       func() *replay.ControlView
	engine     infra.Engine
	report     func(server string)
	reportBoot func(server, boot string) // called with the boot id that a server reported
	metrics    *expvar.Map
}

// run checks one server after the other until ctx ends.
func (c *serverChecker) run(ctx context.Context) error {
	last := ""
	for {
		share := c.share()
		wait := idleCheckInterval
		if len(share) > 0 {
			wait = checkInterval / time.Duration(len(share))
		}
		if !supervise.Pause(ctx, wait) {
			return nil
		}
		if len(share) > 0 {
			next := nextServer(share, last)
			c.check(ctx, next)
			last = next.ID
		}
	}
}

// share returns the servers that this instance checks, ordered by id.
func (c *serverChecker) share() []infra.Instance {
	members := c.members()
	return slices.DeleteFunc(c.list().Servers(c.domain), func(s infra.Instance) bool {
		return rendezvous.Leader(s.ID, members) != c.ownID
	})
}

// nextServer returns the server that follows the id last, or the first one at the end.
func nextServer(share []infra.Instance, last string) infra.Instance {
	for _, s := range share {
		if s.ID > last {
			return s
		}
	}
	return share[0]
}

// check polls one server and reports a server that fails to answer or whose state differs
// from the log.
func (c *serverChecker) check(ctx context.Context, s infra.Instance) {
	view := c.view()
	if view == nil || view.Servers[s.ID] == nil {
		return // the lease holder discovers servers that the log does not have yet
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	status, err := c.engine.Status(ctx, s.Addr)
	c.metrics.Add("looks", 1)
	if ctx.Err() == context.Canceled {
		return
	}
	if err == nil {
		c.reportBoot(s.ID, status.Boot)
	}
	if err != nil || !matchesLog(status, view.Servers[s.ID]) {
		c.metrics.Add("reported", 1)
		c.report(s.ID)
	}
}

// matchesLog reports whether a server still runs the process that the log records, and
// still has every item that the log records as ready.
func matchesLog(status infra.ServerStatus, logged *replay.Server) bool {
	if status.Boot != logged.Boot {
		return false
	}
	ready := map[infra.Key]bool{}
	for _, item := range status.Items {
		ready[item.Key()] = item.State == infra.ItemReady
	}
	for _, item := range logged.Ready {
		if !ready[item.Key()] {
			return false
		}
	}
	return true
}
