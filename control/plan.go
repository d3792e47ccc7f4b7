package control

import (
	"maps"
	"slices"
	"time"

	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// gathered is what a plan needs and that has to be asked for.
type gathered struct {
	demand    map[string]decide.Demand
	loads     map[string]infra.Load // by server
	stores    map[string]infra.StoreLimits
	storeDown bool // no store told its limits
}

// planInput puts together what the planner decides on.
func (c *core) planInput(now time.Time, cfg *config.Config) decide.PlanInput {
	in := decide.PlanInput{
		Now:                 now,
		Domain:              c.domain,
		Config:              cfg,
		Demand:              c.gathered.demand,
		OtherDomainReplicas: elsewhere(c.others),
		Domains:             serverDomains(c.list),
		Stores:              c.pace.stores(),
		StoreDown:           c.gathered.storeDown,
	}
	for _, line := range c.engines {
		in.Servers = append(in.Servers, c.planServer(now, cfg, line))
	}
	return in
}

func (c *core) planServer(now time.Time, cfg *config.Config, line infra.Instance) decide.PlanServer {
	s := c.servers[line.ID]
	pool := cfg.Pools[line.Pool]
	out := decide.PlanServer{
		ID:         line.ID,
		Pool:       line.Pool,
		MemoryMiB:  smallest(line.MemoryMiB, pool.MemoryMiB, s.memory()),
		Slots:      pool.Slots,
		Leaving:    s.leaving(),
		Reachable:  s.status != nil && s.failures == 0,
		AssignedAt: maps.Clone(s.since),
		Load:       c.gathered.loads[line.ID],
	}
	want := c.view.Servers[line.ID]
	if want != nil {
		out.Assigned, out.Ready = want.Assigned, want.Ready
		out.Lingering = want.Lingering
	}
	out.Lingering = slices.Concat(out.Lingering, s.foreign(want))
	return out
}

// memory returns what the server itself says of its memory, or 0.
func (s *server) memory() int64 {
	if s.status == nil {
		return 0
	}
	return s.status.MemoryMiB
}

func (s *server) leaving() bool { return s.leavingListed || s.status != nil && s.status.Leaving }

// smallest returns the smallest of the values that are known, or 0.
func smallest(values ...int64) int64 {
	var out int64
	for _, v := range values {
		if v > 0 && (out == 0 || v < out) {
			out = v
		}
	}
	return out
}

// nameOf returns what callers ask for an item by.
func nameOf(i infra.Item) string {
	if i.Adapter != "" {
		return i.Adapter
	}
	return i.Model
}

// elsewhere counts the ready replicas in the other failure domains by name.
func elsewhere(others map[string]*replay.ControlView) map[string]int {
	out := map[string]int{}
	for _, v := range others {
		if v == nil {
			continue
		}
		for _, s := range v.Servers {
			for _, i := range s.Ready {
				out[nameOf(i)]++
			}
		}
	}
	return out
}

// serverDomains returns the failure domains that have engines, sorted.
func serverDomains(list *fleet.List) []string {
	seen := map[string]bool{}
	for _, i := range list.Instances {
		if i.Role == infra.RoleEngine {
			seen[i.FailureDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// maxBatch bounds the records of one append, so that it stays well below what a
// log takes at once: an assignment of 20 items has 1 KB. The rest comes with
// the next step or plan.
const maxBatch = 64

// assignments turns moves into records, best move first, on a working copy of
// the assignments. A move that the rules forbid is left out with its reason.
//
// The load it is for: a plan made on statuses and views that are a second old.
// The harm prevented: a plan that takes a model's last ready replica away, or
// fills memory that isn't free.
func (c *core) assignments(in decide.PlanInput, moves []decide.Move) []*record.Record {
	work := newWorkingCopy(in, c.others, c.domain)
	changed := map[string]string{} // server: reason
	var order []string
	for _, m := range moves {
		if refused := work.apply(m); refused != "" {
			c.refuseMove(m, refused)
			continue
		}
		if _, again := changed[m.Server]; !again {
			order = append(order, m.Server)
		}
		changed[m.Server] = m.Reason
	}
	var out []*record.Record
	for _, id := range order[:min(len(order), maxBatch)] {
		s := work.servers[id]
		out = append(out, assignmentOf(c.lease.ID(), s, changed[id]))
		c.logAssignment(s, changed[id])
	}
	return out
}

func assignmentOf(lease infra.Offset, s *decide.PlanServer, reason string) *record.Record {
	return &record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{
		Lease:     uint64(lease),
		Server:    s.ID,
		Pool:      s.Pool,
		MemoryMib: s.MemoryMiB,
		Items:     replay.ItemRecords(s.Assigned),
		Reason:    reason,
	}}}
}

// The reasons for which a move is refused.
const (
	moveUnknownServer = "unknown_server"
	moveUnreachable   = "unreachable"
	moveLeaving       = "leaving"
	moveMemory        = "memory"
	moveLastReplica   = "last_ready_replica"
	moveOrphan        = "adapter_without_model"
	moveNothing       = "no_change"
)

// workingCopy is the domain's assignments with the moves of one plan applied.
type workingCopy struct {
	cfg     *config.Config
	servers map[string]*decide.PlanServer
	ready   map[string]int  // ready replicas here by name, but for those dropped by now
	safe    map[string]bool // names with a ready replica in a domain that goes before this one
}

func newWorkingCopy(in decide.PlanInput, others map[string]*replay.ControlView, domain string) *workingCopy {
	w := &workingCopy{cfg: in.Config, servers: map[string]*decide.PlanServer{}, ready: map[string]int{}, safe: safeElsewhere(others, domain)}
	for _, s := range in.Servers {
		w.servers[s.ID] = &s
		for _, i := range s.Ready {
			w.ready[nameOf(i)] += w.counts(&s)
		}
	}
	return w
}

// safeElsewhere returns the names with a ready replica in a failure domain
// whose name sorts before this one's. Two domains that each count on the
// other's replica could both drop theirs; only the later one may.
func safeElsewhere(others map[string]*replay.ControlView, domain string) map[string]bool {
	out := map[string]bool{}
	for other, v := range others {
		if v == nil || other >= domain {
			continue
		}
		for _, s := range v.Servers {
			for _, i := range s.Ready {
				out[nameOf(i)] = true
			}
		}
	}
	return out
}

func (w *workingCopy) declared(name string) bool {
	_, model := w.cfg.Models[name]
	_, adapter := w.cfg.Adapters[name]
	return model || adapter
}

// apply carries the move out on the copy, or returns why it is refused.
func (w *workingCopy) apply(m decide.Move) string {
	s := w.servers[m.Server]
	switch {
	case s == nil:
		return moveUnknownServer
	case len(m.Add) > 0 && !s.Reachable:
		return moveUnreachable
	case len(m.Add) > 0 && s.Leaving:
		return moveLeaving
	}
	next := moved(*s, m)
	if sameItems(next.Assigned, s.Assigned) {
		return moveNothing
	}
	if len(m.Add) == 0 {
		// Nothing new comes: a server whose declared memory shrank must still
		// be able to let go.
		next.MemoryMiB = max(next.MemoryMiB, mib(next.Assigned, next.Lingering))
	}
	if !replay.Fits(next.MemoryMiB, next.Assigned, next.Lingering) {
		return moveMemory
	}
	if orphaned(next.Assigned) {
		return moveOrphan
	}
	dropped := w.dropped(s, &next)
	for name, n := range dropped {
		if w.declared(name) && w.ready[name]-n < 1 && !w.safe[name] {
			return moveLastReplica
		}
	}
	for name, n := range dropped {
		w.ready[name] -= n
	}
	w.servers[m.Server] = &next
	return ""
}

// dropped returns, for each name of which the server loses a ready replica, how
// many of them count as ready now: none, where it can't be reached or is leaving.
func (w *workingCopy) dropped(s, next *decide.PlanServer) map[string]int {
	out := map[string]int{}
	for _, i := range s.Ready {
		if !holds(s.Assigned, i.Key()) || holds(next.Assigned, i.Key()) {
			continue
		}
		out[nameOf(i)] += w.counts(s)
	}
	return out
}

// counts returns 1 if the server's ready items count as replicas, else 0.
func (w *workingCopy) counts(s *decide.PlanServer) int {
	if s.Reachable && !s.Leaving {
		return 1
	}
	return 0
}

// orphaned says whether an adapter is assigned without its model.
func orphaned(items []infra.Item) bool {
	return slices.ContainsFunc(items, func(a infra.Item) bool {
		model := func(i infra.Item) bool { return i.Adapter == "" && i.Model == a.Model }
		return a.Adapter != "" && !slices.ContainsFunc(items, model)
	})
}

// moved returns the server after the move. What it drops lingers, and what is
// added while it lingers counts once.
func moved(s decide.PlanServer, m decide.Move) decide.PlanServer {
	drop := func(i infra.Item) bool { return holds(m.Drop, i.Key()) && !holds(m.Add, i.Key()) }
	kept := slices.DeleteFunc(slices.Clone(s.Assigned), drop)
	for _, i := range m.Add {
		if !holds(kept, i.Key()) {
			kept = append(kept, i)
		}
	}
	assigned := func(i infra.Item) bool { return holds(kept, i.Key()) }
	left := slices.DeleteFunc(slices.Concat(s.Assigned, s.Lingering), assigned)
	s.Assigned, s.Lingering = kept, left
	return s
}

func sameItems(a, b []infra.Item) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(i infra.Item) bool { return !holds(b, i.Key()) })
}

// storeSharers counts, for each partner, the failure domains that have a
// server where one of its models may be placed: they load from its store.
func storeSharers(cfg *config.Config, list *fleet.List) map[string]int {
	domains := map[string]map[string]bool{} // by pool
	for _, i := range list.Instances {
		if i.Role != infra.RoleEngine {
			continue
		}
		if domains[i.Pool] == nil {
			domains[i.Pool] = map[string]bool{}
		}
		domains[i.Pool][i.FailureDomain] = true
	}
	byPartner := map[string]map[string]bool{}
	for _, m := range cfg.Models {
		if byPartner[m.Owner] == nil {
			byPartner[m.Owner] = map[string]bool{}
		}
		for _, pool := range m.Pools {
			maps.Copy(byPartner[m.Owner], domains[pool])
		}
	}
	out := map[string]int{}
	for partner, shared := range byPartner {
		out[partner] = len(shared)
	}
	return out
}
