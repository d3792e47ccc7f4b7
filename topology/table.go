package topology

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"greengageferry/decide"
)

// TargetName names what a request asks a service for: a model, one of its
// adapters, or the plain service itself.
func TargetName(service, model, adapter string) string {
	if model == "" {
		return service
	}
	if adapter == "" {
		return service + "/" + model
	}
	return service + "/" + model + "/" + adapter
}

// AdapterName returns the name of a model's nth adapter, from 1.
func AdapterName(n int) string { return "a" + strconv.Itoa(n) }

// View is what an instance knows of the deployment at a moment. It is immutable.
type View struct {
	Config  *Config // nil: none was read yet
	Index   *Index
	Servers []Server       // by id
	Nodes   map[string]int // live instances by failure domain, this one included
	Counted bool           // Nodes is what a lease holder told; false: it is assumed
	// Expected says that a model that no server holds is loaded once it is asked
	// for, so that requests wait for it.
	Expected bool
	Held     HeldList // what servers hold, or are about to lose, beyond their entries
}

// Instances returns how many instances live, in all failure domains.
func (v *View) Instances() int { return decide.CountInstances(v.Nodes) }

// nearFill is the part of its slots up to which a server of the own failure
// domain goes before others. Prompts are read between other requests' tokens, so
// a first token comes later long before the batch is full, and the way to
// another domain costs a millisecond.
const nearFill = 0.2

// plainSlots is the concurrency that a plain service's server gets credit for
// where its entry names none.
const plainSlots = 64

// BuildTable works out the routing table of a view for an instance of the
// failure domain. A server that drains stays in it as leaving, so that what
// runs there is still known.
func BuildTable(domain string, v *View, retry decide.RetryPolicy) *decide.Table {
	t := &decide.Table{
		OwnDomain:      domain,
		Targets:        map[string]*decide.Target{},
		Entries:        v.Nodes,
		Retry:          retry,
		LocalFillLimit: nearFill,
		NoServerQueue:  true,
	}
	for _, s := range v.Servers {
		slots := s.Slots
		if slots <= 0 {
			slots = plainSlots
		}
		t.Servers = append(t.Servers, decide.Server{
			ID: s.ID, Addr: s.Addr, Pool: s.Service, FailureDomain: s.Domain, Slots: slots, Leaving: s.Leaving,
			Start: s.StartID(),
		})
	}
	if v.Config == nil {
		return t
	}
	for _, name := range slices.Sorted(maps.Keys(v.Config.Services)) {
		addTargets(t, v.Config.Services[name], v.Expected)
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

// drops says whether the model or adapter must not be used any more.
func (l HeldList) drops(model, adapter string) bool {
	return slices.ContainsFunc(l, func(h Held) bool {
		return h.Dropped && h.Model == model && (h.Adapter == "" || h.Adapter == adapter)
	})
}

func addTargets(t *decide.Table, s Service, expected bool) {
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
			t.Targets[name] = &decide.Target{Name: name, Pool: s.Name, Model: m.Name, Adapter: adapter, ReplicaPending: expected}
		}
	}
}

func addReplicas(t *decide.Table, index int, s *Server, beyond HeldList) {
	if target := t.Targets[s.Service]; target != nil {
		target.Replicas = append(target.Replicas, decide.Replica{Server: index})
		return
	}
	for _, m := range s.Models {
		addModel(t, index, s.Service, m, beyond)
	}
	for _, h := range beyond {
		if h.Adapter == "" && !h.Dropped && !s.Holds(h.Model, "") {
			addModel(t, index, s.Service, HeldModel{Name: h.Model}, beyond)
		}
	}
}

// addModel adds a model that a server holds, with its adapters.
func addModel(t *decide.Table, index int, service string, m HeldModel, beyond HeldList) {
	add := func(adapter string) {
		if !beyond.drops(m.Name, adapter) {
			addReplica(t, index, TargetName(service, m.Name, adapter), m.Version)
		}
	}
	add("")
	for _, a := range m.Adapters {
		add(a)
	}
	for _, h := range beyond {
		if h.Model == m.Name && h.Adapter != "" && !h.Dropped {
			add(h.Adapter)
		}
	}
}

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

// SplitModel splits what a request names into a model and its adapter.
func SplitModel(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
