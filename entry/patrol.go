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
	// patrolRound is the time in which an instance looks at each server of its
	// part once: a server that restarted empty and gets no requests is found
	// within it. With 5 servers a part and some 2 KB a look it is 350 bytes a
	// second; one instance alone would spend 14 KB/s on 211 servers.
	patrolRound = 30 * time.Second
	// patrolTime bounds one look.
	patrolTime = 2 * time.Second
	// patrolIdle is the time between two checks for a part that is empty.
	patrolIdle = 5 * time.Second
)

// patrol is a duty: the instances of a failure domain share the looks at its
// backend servers, each server falling to one of them by rendezvous hashing. A
// server that isn't as the log has it is reported to the lease holder, who then
// looks at it closely. Two instances whose lists differ may both look at a
// server, or neither for a round; neither does harm.
type patrol struct {
	own     string
	domain  string
	list    func() *fleet.List
	members func() []string
	view    func() *replay.ControlView
	engine  infra.Engine
	report  func(server string)
	booted  func(server, boot string) // told of each server's process that was seen
	metrics *expvar.Map
}

// run looks at one server after the other until ctx ends.
func (p *patrol) run(ctx context.Context) error {
	last := ""
	for {
		part := p.part()
		wait := patrolIdle
		if len(part) > 0 {
			wait = patrolRound / time.Duration(len(part))
		}
		if !supervise.Pause(ctx, wait) {
			return nil
		}
		if len(part) > 0 {
			next := after(part, last)
			p.look(ctx, next)
			last = next.ID
		}
	}
}

// part returns the servers that fall to this instance, by id.
func (p *patrol) part() []infra.Instance {
	members := p.members()
	return slices.DeleteFunc(p.list().Servers(p.domain), func(s infra.Instance) bool {
		return rendezvous.Leader(s.ID, members) != p.own
	})
}

// after returns the first server of the part beyond the last one.
func after(part []infra.Instance, last string) infra.Instance {
	for _, s := range part {
		if s.ID > last {
			return s
		}
	}
	return part[0]
}

// look asks one server, and reports it if it isn't as the log has it.
func (p *patrol) look(ctx context.Context, s infra.Instance) {
	view := p.view()
	if view == nil || view.Servers[s.ID] == nil {
		return // the holder knows of it, or will
	}
	ctx, cancel := context.WithTimeout(ctx, patrolTime)
	defer cancel()
	status, err := p.engine.Status(ctx, s.Addr)
	p.metrics.Add("looks", 1)
	if ctx.Err() == context.Canceled {
		return
	}
	if err == nil {
		p.booted(s.ID, status.Boot)
	}
	if err != nil || !asLogged(status, view.Servers[s.ID]) {
		p.metrics.Add("reported", 1)
		p.report(s.ID)
	}
}

// asLogged says whether a server still runs the process that the log has, with
// everything that it is known to serve.
func asLogged(status infra.ServerStatus, logged *replay.Server) bool {
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
