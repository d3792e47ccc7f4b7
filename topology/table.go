package topology

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"greengageferry/decide"
)

// TargetName returns the name of a target: a service's model, an adapter of a model, or
// a plain service.
func TargetName(service, model, adapter string) string {
	if model == "" {
		return service
	}
	if adapter == "" {
		return service + "/" + model
	}
	return service + "/" + model + "/" + adapter
}

// versionSeparator separates a target from the software version of the servers that it is
// restricted to. It can't occur in the name of a model.
const versionSeparator = " @"

// VersionTarget returns the name of the target that is another one at servers of a software
// version.
func VersionTarget(target, version string) string { return target + versionSeparator + version }

// CutVersion splits the name of a target into that of the target without a restriction to a
// software version, and the version; empty: there is none.
func CutVersion(target string) (name, version string) {
	name, version, _ = strings.Cut(target, versionSeparator)
	return name, version
}

// AdapterName returns the name of a model's nth adapter, counted from 1: a1, a2 and so on.
func AdapterName(n int) string { return "a" + strconv.Itoa(n) }

// View is an instance's knowledge of the deployment at a moment. It is immutable.
type View struct {
	Config            *Config // nil: none has been read yet
	Index             *Index
	Servers           []Server       // sorted by id
	InstancesByDomain map[string]int // number of live instances by failure domain, this one included
	InstancesKnown    bool           // InstancesByDomain comes from a lease holder that has counted all; false: it is an assumption
	Position          int            // of this instance among all, from 0; meaningful if InstancesKnown
	// LoadOnDemand says that a model that no server holds is loaded once it is
	// requested. Requests are then queued for it instead of refused.
	LoadOnDemand bool
	Held         HeldList // differences between what servers hold and what their entries show
	// Versions holds the software versions of each service's servers that serve or served
	// lately. An unknown one is "", which counts as one more.
	Versions map[string][]string
	// Weights holds, by a model's TargetName, the versions of the weights of each model of which
	// servers hold or held several lately, in ascending order. An unknown one is 0.
	Weights map[string][]int64
}

// TargetAt returns the name of the target that serves a service's target at a software version
// alone.
func (v *View) TargetAt(service, target, version string) string {
	if len(v.Versions[service]) > 1 {
		return VersionTarget(target, version)
	}
	return target
}

// Serves reports whether a server of the service that has the software version isn't leaving.
func (v *View) Serves(service, version string) bool {
	return slices.ContainsFunc(v.Servers, func(s Server) bool {
		return s.Service == service && s.SoftwareVersion == version && !s.Leaving
	})
}

// Instances returns the number of live instances in all failure domains.
func (v *View) Instances() int { return decide.CountInstances(v.InstancesByDomain) }

// localPreferenceFill is the fraction of its slots up to which a server of the own
// failure domain is preferred to others. Prompts are processed between other requests'
// tokens, so the first token is delayed long before the batch is full, while a request
// to another domain costs only a millisecond.
const localPreferenceFill = 0.2

// defaultServiceSlots is the assumed concurrency of a plain service's server whose entry
// states none.
const defaultServiceSlots = 64

// TableEntry returns the server as the routing table lists it.
func (s *Server) TableEntry() decide.Server {
	slots := s.Slots
	if slots <= 0 {
		slots = defaultServiceSlots
	}
	return decide.Server{
		ID: s.ID, Addr: s.Addr, Pool: s.Service, FailureDomain: s.Domain, Slots: slots, Leaving: s.Leaving,
		Start: s.StartID(), Started: s.Born, SoftwareVersion: s.SoftwareVersion,
	}
}

// BuildTable returns the routing table of a view for an instance in the failure domain.
// A leaving server stays in the table, marked as such, so that its running requests are
// still accounted for.
func BuildTable(domain string, v *View, retry decide.RetryPolicy) *decide.Table {
	t := &decide.Table{
		OwnDomain:      domain,
		Targets:        map[string]*decide.Target{},
		Entries:        v.InstancesByDomain,
		Retry:          retry,
		LocalFillLimit: localPreferenceFill,
		NoServerQueue:  true,
		RoomByRank:     v.Config.hasContendingRanks(),
	}
	for i := range v.Servers {
		t.Servers = append(t.Servers, v.Servers[i].TableEntry())
	}
	if v.Config == nil {
		return t
	}
	t.AccountWeights = v.Config.Accounts.Weights()
	for _, name := range slices.Sorted(maps.Keys(v.Config.Services)) {
		addTargets(t, v, v.Config.Services[name])
	}
	byServer := map[string]HeldList{}
	for _, h := range v.Held {
		byServer[h.Server] = append(byServer[h.Server], h)
	}
	for i := range v.Servers {
		addReplicas(t, v, i, byServer[v.Servers[i].ID])
	}
	return t
}

// excludes reports whether the model or adapter must no longer be used.
func (l HeldList) excludes(model, adapter string) bool {
	return slices.ContainsFunc(l, func(h Held) bool {
		return h.Dropped && h.Model == model && (h.Adapter == "" || h.Adapter == adapter)
	})
}

// addTargets adds a service's targets, without replicas.
func addTargets(t *decide.Table, v *View, s Service) {
	if s.Engine == nil {
		addTarget(t, v, decide.Target{Name: s.Name, Pool: s.Name, Service: true})
		return
	}
	for _, m := range s.Engine.Models {
		for n := 0; n <= m.Adapters; n++ {
			adapter := ""
			if n > 0 {
				adapter = AdapterName(n)
			}
			name := TargetName(s.Name, m.Name, adapter)
			addTarget(t, v, decide.Target{Name: name, Pool: s.Name, Model: m.Name, Adapter: adapter, ServerMemory: s.Engine.KVTokens, ReplicaPending: v.LoadOnDemand})
		}
	}
}

// addTarget adds a target and, for each software version of its service if there are several,
// the target at that version.
func addTarget(t *decide.Table, v *View, target decide.Target) {
	addTargetAtWeights(t, v, target)
	if len(v.Versions[target.Pool]) < 2 {
		return
	}
	for _, version := range v.Versions[target.Pool] {
		if version == "" {
			continue // no request can be restricted to it
		}
		at := target
		at.Name = VersionTarget(target.Name, version)
		at.ReplicaPending = target.ReplicaPending && v.Serves(target.Pool, version)
		addTargetAtWeights(t, v, at)
	}
}

// addReplicas adds a server, given by its index in the table, to the targets that it can
// serve.
func addReplicas(t *decide.Table, v *View, index int, held HeldList) {
	s := &v.Servers[index]
	if t.Targets[s.Service] != nil {
		for _, target := range targetsAt(t, index, s.Service) {
			target.Replicas = append(target.Replicas, decide.Replica{Server: index})
		}
		return
	}
	for _, m := range s.Models {
		addModel(t, v, index, m, held)
	}
	for _, h := range held {
		if h.Adapter == "" && !h.Dropped && !s.Holds(h.Model, "") {
			addModel(t, v, index, HeldModel{Name: h.Model}, held)
		}
	}
}

// addModel adds a server to the targets of a model that it holds and of the model's
// adapters.
func addModel(t *decide.Table, v *View, index int, m HeldModel, held HeldList) {
	service := v.Servers[index].Service
	several := v.HasSeveralWeights(service, m.Name)
	add := func(adapter string) {
		if !held.excludes(m.Name, adapter) {
			addReplica(t, index, TargetName(service, m.Name, adapter), m.Version, several)
		}
	}
	add("")
	for _, a := range m.Adapters {
		add(a)
	}
	for _, h := range held {
		if h.Model == m.Name && h.Adapter != "" && !h.Dropped {
			add(h.Adapter)
		}
	}
}

// addReplica adds a server to the target and, if atWeights is set, to the same target at the
// version of its weights, unless it is there already or the target is not configured.
func addReplica(t *decide.Table, index int, name string, version int64, atWeights bool) {
	r := decide.Replica{Server: index, Version: strconv.FormatInt(version, 10)}
	targets := targetsAt(t, index, name)
	if atWeights {
		targets = append(targets, targetsAtWeights(t, targets, version)...)
	}
	for _, target := range targets {
		if !slices.Contains(target.Replicas, r) {
			target.Replicas = append(target.Replicas, r)
		}
	}
}

// targetsAt returns the target with the name and the same target at the server's software
// version, as far as they are configured.
func targetsAt(t *decide.Table, server int, name string) []*decide.Target {
	var out []*decide.Target
	for _, n := range []string{name, VersionTarget(name, t.Servers[server].SoftwareVersion)} {
		if target := t.Targets[n]; target != nil {
			out = append(out, target)
		}
	}
	return out
}

// SplitModel splits a request's model name, model/adapter, into model and adapter.
func SplitModel(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
