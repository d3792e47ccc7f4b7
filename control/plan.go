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

// planData is the input of a plan that is collected from other instances and
// from the weight stores.
type planData struct {
	demand        map[string]decide.Demand     // by model or adapter name
	loads         map[string]infra.Load        // by server
	stores        map[string]infra.StoreLimits // by partner
	allStoresDown bool                         // no store returned its limits
}

// planInput returns the planner's input.
func (c *core) planInput(now time.Time, cfg *config.Config) decide.PlanInput {
	in := decide.PlanInput{
		Now:                 now,
		Domain:              c.domain,
		Config:              cfg,
		Demand:              c.planData.demand,
		OtherDomainReplicas: otherDomainReplicas(c.otherViews),
		Domains:             serverDomains(c.list),
		Stores:              c.limiter.storeLimits(),
		StoreDown:           c.planData.allStoresDown,
	}
	for _, instance := range c.engines {
		in.Servers = append(in.Servers, c.planServer(now, cfg, instance))
	}
	return in
}

func (c *core) planServer(now time.Time, cfg *config.Config, instance infra.Instance) decide.PlanServer {
	s := c.servers[instance.ID]
	pool := cfg.Pools[instance.Pool]
	out := decide.PlanServer{
		ID:         instance.ID,
		Pool:       instance.Pool,
		MemoryMiB:  minKnown(instance.MemoryMiB, pool.MemoryMiB, s.memoryMiB()),
		Slots:      pool.Slots,
		Leaving:    s.leaving(),
		Reachable:  s.status != nil && s.failures == 0,
		AssignedAt: maps.Clone(s.assignedAt),
		Load:       c.planData.loads[instance.ID],
	}
	want := c.view.Servers[instance.ID]
	if want != nil {
		out.Assigned, out.Ready = want.Assigned, want.Ready
		out.Lingering = want.Lingering
	}
	out.Lingering = slices.Concat(out.Lingering, s.untrackedItems(want))
	return out
}

// memoryMiB returns the memory that the server reports, or 0 if not known.
func (s *server) memoryMiB() int64 {
	if s.status == nil {
		return 0
	}
	return s.status.MemoryMiB
}

func (s *server) leaving() bool { return s.listedAsLeaving || s.status != nil && s.status.Leaving }

// minKnown returns the smallest of the values above 0, or 0 if there is none.
func minKnown(values ...int64) int64 {
	var out int64
	for _, v := range values {
		if v > 0 && (out == 0 || v < out) {
			out = v
		}
	}
	return out
}

// targetName returns the name by which callers request an item.
func targetName(i infra.Item) string {
	if i.Adapter != "" {
		return i.Adapter
	}
	return i.Model
}

// otherDomainReplicas counts the ready replicas in the other failure domains, by
// target name.
func otherDomainReplicas(others map[string]*replay.ControlView) map[string]int {
	out := map[string]int{}
	for _, v := range others {
		if v == nil {
			continue
		}
		for _, s := range v.Servers {
			for _, i := range s.Ready {
				out[targetName(i)]++
			}
		}
	}
	return out
}

// serverDomains returns the failure domains that have backend servers, sorted.
func serverDomains(list *fleet.List) []string {
	seen := map[string]bool{}
	for _, i := range list.Instances {
		if i.Role == infra.RoleEngine {
			seen[i.FailureDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// maxBatchRecords bounds the records of one append, to stay well below the log's
// limit: an assignment of 20 items has 1 KB. The rest follows in the next step or
// plan.
const maxBatchRecords = 64

// assignmentRecords applies the moves, best first, to a working copy of the
// assignments and returns the records of the servers that changed. A move that
// the rules forbid is logged with its reason and left out.
//
// The moves are checked again because a plan rests on statuses and views that are
// a second old: unchecked, it could drop a model's last ready replica or use
// memory that isn't free.
func (c *core) assignmentRecords(in decide.PlanInput, moves []decide.Move) []*record.Record {
	work := newWorkingCopy(in, c.otherViews, c.domain)
	changed := map[string]string{} // by server: the last move's reason
	var order []string
	for _, m := range moves {
		if refused := work.apply(m); refused != "" {
			c.logRefusedMove(m, refused)
			continue
		}
		if _, again := changed[m.Server]; !again {
			order = append(order, m.Server)
		}
		changed[m.Server] = m.Reason
	}
	var out []*record.Record
	for _, id := range order[:min(len(order), maxBatchRecords)] {
		s := work.servers[id]
		out = append(out, assignmentRecord(c.lease.ID(), s, changed[id]))
		c.logAssignment(s, changed[id])
	}
	return out
}

func assignmentRecord(lease infra.Offset, s *decide.PlanServer, reason string) *record.Record {
	return &record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{
		Lease:     uint64(lease),
		Server:    s.ID,
		Pool:      s.Pool,
		MemoryMib: s.MemoryMiB,
		Items:     replay.ItemRecords(s.Assigned),
		Reason:    reason,
	}}}
}

// The reasons for refusing a move.
const (
	moveUnknownServer = "unknown_server"
	moveUnreachable   = "unreachable"
	moveLeaving       = "leaving"
	moveMemory        = "memory"
	moveLastReplica   = "last_ready_replica"
	moveOrphanAdapter = "adapter_without_model"
	moveNoChange      = "no_change"
)

// workingCopy holds the domain's assignments with the moves of one plan applied.
type workingCopy struct {
	cfg                *config.Config
	servers            map[string]*decide.PlanServer
	readyReplicas      map[string]int  // by target name: this domain's ready replicas, less those dropped
	availableElsewhere map[string]bool // target names with a ready replica in a domain that sorts before this one
}

func newWorkingCopy(in decide.PlanInput, others map[string]*replay.ControlView, domain string) *workingCopy {
	w := &workingCopy{cfg: in.Config, servers: map[string]*decide.PlanServer{}, readyReplicas: map[string]int{}, availableElsewhere: availableInEarlierDomains(others, domain)}
	for _, s := range in.Servers {
		w.servers[s.ID] = &s
		for _, i := range s.Ready {
			w.readyReplicas[targetName(i)] += w.replicaCount(&s)
		}
	}
	return w
}

// availableInEarlierDomains returns the target names with a ready replica in a
// failure domain whose name sorts before this one's. Only such replicas allow
// this domain to drop its last one: otherwise two domains that each rely on the
// other's replica could both drop theirs.
func availableInEarlierDomains(others map[string]*replay.ControlView, domain string) map[string]bool {
	out := map[string]bool{}
	for other, v := range others {
		if v == nil || other >= domain {
			continue
		}
		for _, s := range v.Servers {
			for _, i := range s.Ready {
				out[targetName(i)] = true
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

// apply applies the move to the copy and returns "", or returns the reason why the
// move is refused.
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
	next := withMove(*s, m)
	if sameItems(next.Assigned, s.Assigned) {
		return moveNoChange
	}
	if len(m.Add) == 0 {
		// Without additions, a server whose declared memory shrank must still be
		// able to drop items.
		next.MemoryMiB = max(next.MemoryMiB, totalMiB(next.Assigned, next.Lingering))
	}
	if !replay.Fits(next.MemoryMiB, next.Assigned, next.Lingering) {
		return moveMemory
	}
	if hasOrphanAdapter(next.Assigned) {
		return moveOrphanAdapter
	}
	droppedReplicas := w.droppedReplicas(s, &next)
	for name, n := range droppedReplicas {
		if w.declared(name) && w.readyReplicas[name]-n < 1 && !w.availableElsewhere[name] {
			return moveLastReplica
		}
	}
	for name, n := range droppedReplicas {
		w.readyReplicas[name] -= n
	}
	w.servers[m.Server] = &next
	return ""
}

// droppedReplicas returns, by target name, how many ready replicas the server
// loses with its next assignment: 0 if it is unreachable or leaving, because its
// replicas don't count.
func (w *workingCopy) droppedReplicas(s, next *decide.PlanServer) map[string]int {
	out := map[string]int{}
	for _, i := range s.Ready {
		if !containsItem(s.Assigned, i.Key()) || containsItem(next.Assigned, i.Key()) {
			continue
		}
		out[targetName(i)] += w.replicaCount(s)
	}
	return out
}

// replicaCount returns how much a ready item of the server counts as a replica: 1,
// or 0 if the server is unreachable or leaving.
func (w *workingCopy) replicaCount(s *decide.PlanServer) int {
	if s.Reachable && !s.Leaving {
		return 1
	}
	return 0
}

// hasOrphanAdapter reports whether the items have an adapter without its model.
func hasOrphanAdapter(items []infra.Item) bool {
	return slices.ContainsFunc(items, func(a infra.Item) bool {
		model := func(i infra.Item) bool { return i.Adapter == "" && i.Model == a.Model }
		return a.Adapter != "" && !slices.ContainsFunc(items, model)
	})
}

// withMove returns the server after the move. A dropped item becomes lingering,
// and a lingering item that is added again is only assigned, so it counts once.
func withMove(s decide.PlanServer, m decide.Move) decide.PlanServer {
	drop := func(i infra.Item) bool { return containsItem(m.Drop, i.Key()) && !containsItem(m.Add, i.Key()) }
	kept := slices.DeleteFunc(slices.Clone(s.Assigned), drop)
	for _, i := range m.Add {
		if !containsItem(kept, i.Key()) {
			kept = append(kept, i)
		}
	}
	assigned := func(i infra.Item) bool { return containsItem(kept, i.Key()) }
	lingering := slices.DeleteFunc(slices.Concat(s.Assigned, s.Lingering), assigned)
	s.Assigned, s.Lingering = kept, lingering
	return s
}

func sameItems(a, b []infra.Item) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(i infra.Item) bool { return !containsItem(b, i.Key()) })
}

// domainsPerStore counts, by partner, the failure domains with a server where one
// of the partner's models may be placed: they share its weight store.
func domainsPerStore(cfg *config.Config, list *fleet.List) map[string]int {
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
