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
	}
	for _, s := range v.Servers {
		slots := s.Slots
		if slots <= 0 {
			slots = defaultServiceSlots
		}
		t.Servers = append(t.Servers, decide.Server{
			ID: s.ID, Addr: s.Addr, Pool: s.Service, FailureDomain: s.Domain, Slots: slots, Leaving: s.Leaving,
			Start: s.StartID(), SoftwareVersion: s.SoftwareVersion,
		})
	}
	if v.Config == nil {
		return t
	}
	for _, name := range slices.Sorted(maps.Keys(v.Config.Services)) {
		addTargets(t, v.Config.Services[name], v.LoadOnDemand)
	}
	byServer := map[string]HeldList{}
	for _, h := range v.Held {
		byServer[h.Server] = append(byServer[h.Server], h)
	}
	for i := range v.Servers {
		addReplicas(t, i, &v.Servers[i], byServer[v.Servers[i].ID])
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
func addTargets(t *decide.Table, s Service, loadOnDemand bool) {
	if s.Engine == nil {
		t.Targets[s.Name] = &decide.Target{Name: s.Name, Pool: s.Name, Service: true}
		return
	}
	for _, m := range s.Engine.Models {
		for n := 0; n <= m.Adapters; n++ {
			adapter := ""
			if n > 0 {
				adapter = AdapterName(n)
			}
			name := TargetName(s.Name, m.Name, adapter)
			t.Targets[name] = &decide.Target{Name: name, Pool: s.Name, Model: m.Name, Adapter: adapter, ReplicaPending: loadOnDemand}
		}
	}
}

// addReplicas adds a server, given by its index in the table, to the targets that it can
// serve.
func addReplicas(t *decide.Table, index int, s *Server, held HeldList) {
	if target := t.Targets[s.Service]; target != nil {
		target.Replicas = append(target.Replicas, decide.Replica{Server: index})
		return
	}
	for _, m := range s.Models {
		addModel(t, index, s.Service, m, held)
	}
	for _, h := range held {
		if h.Adapter == "" && !h.Dropped && !s.Holds(h.Model, "") {
			addModel(t, index, s.Service, HeldModel{Name: h.Model}, held)
		}
	}
}

// addModel adds a server to the targets of a model that it holds and of the model's
// adapters.
func addModel(t *decide.Table, index int, service string, m HeldModel, held HeldList) {
	add := func(adapter string) {
		if !held.excludes(m.Name, adapter) {
			addReplica(t, index, TargetName(service, m.Name, adapter), m.Version)
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

// addReplica adds a server to the target, unless it is there already or the target is
// not configured.
func addReplica(t *decide.Table, index int, name string, version int64) {
	target := t.Targets[name]
	if target == nil {
		return
	}
	r := decide.Replica{Server: index, Version: strconv.FormatInt(version, 10)}
	if !slices.Contains(target.Replicas, r) {
		target.Replicas = append(target.Replicas, r)
	}
}

// SplitModel splits a request's model name, model/adapter, into model and adapter.
func SplitModel(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
