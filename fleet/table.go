package fleet

import (
	"maps"
	"slices"
	"sort"
	"time"

	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/replay"
)

// ServiceSlots is the number of concurrent calls from one instance to one backend
// server of a plain service. Services don't batch and report by themselves when
// they are full, so this limit only keeps a server that hangs from using up the
// instance's memory.
const ServiceSlots = 64

// BuildTable returns the routing table of an instance in ownDomain. It is a pure
// function. A server that is not on the list can't be reached and isn't in the
// table. A replica is in the table only once the lease holder has recorded on the
// log that the replica is ready.
func BuildTable(ownDomain string, cfg *config.Config, list *List, controls map[string]*replay.ControlView) *decide.Table {
	b := tableBuilder{
		cfg:   cfg,
		index: map[string]int{},
		table: &decide.Table{
			OwnDomain: ownDomain,
			Targets:   map[string]*decide.Target{},
			Weights:   map[string]float64{},
			Entries:   map[string]int{},
		},
	}
	if cfg == nil || list == nil {
		return b.table
	}
	b.addServers(list)
	b.addTargets()
	for _, domain := range slices.Sorted(maps.Keys(controls)) {
		b.addReplicas(controls[domain])
	}
	b.sortReplicas()
	for _, entry := range list.Entries("") {
		b.table.Entries[entry.FailureDomain]++
	}
	for name, p := range cfg.Partners {
		b.table.Weights[name] = p.Weight
	}
	return b.table
}

// tableBuilder holds a table under construction.
type tableBuilder struct {
	cfg   *config.Config
	table *decide.Table
	index map[string]int // index into table.Servers, by server id
}

// addServers adds the backend servers on the list.
func (b *tableBuilder) addServers(list *List) {
	for _, inst := range list.Instances {
		if inst.Role != infra.RoleEngine && inst.Role != infra.RoleService {
			continue
		}
		b.index[inst.ID] = len(b.table.Servers)
		b.table.Servers = append(b.table.Servers, decide.Server{
			ID:            inst.ID,
			Addr:          inst.Addr,
			Pool:          inst.Pool,
			FailureDomain: inst.FailureDomain,
			Slots:         b.slots(inst),
			Leaving:       inst.State == infra.StateLeaving,
		})
	}
}

// slots returns the number of concurrent requests that the server takes.
func (b *tableBuilder) slots(inst infra.Instance) int {
	if inst.Role == infra.RoleService {
		return ServiceSlots
	}
	return b.cfg.Pools[inst.Pool].Slots
}

// addTargets adds a target for each model, adapter and service.
func (b *tableBuilder) addTargets() {
	for name, m := range b.cfg.Models {
		b.table.Targets[name] = modelTarget(name, m.Owner, name, "", m)
	}
	for name, a := range b.cfg.Adapters {
		b.table.Targets[name] = modelTarget(name, a.Owner, a.Model, name, b.cfg.Models[a.Model])
	}
	for name, s := range b.cfg.Services {
		b.table.Targets[name] = &decide.Target{
			Name:     name,
			Partner:  s.Owner,
			Service:  true,
			Timeout:  milliseconds(s.TimeoutMS),
			Replicas: b.serviceReplicas(name),
		}
	}
}

func modelTarget(name, partner, model, adapter string, m config.Model) *decide.Target {
	return &decide.Target{
		Name:             name,
		Partner:          partner,
		Model:            model,
		Adapter:          adapter,
		MaxTokens:        m.MaxTokens,
		FirstTokenTarget: milliseconds(m.FirstTokenMS),
		PerTokenTarget:   milliseconds(m.PerTokenMS),
		Timeout:          milliseconds(m.TimeoutMS),
	}
}

// serviceReplicas returns all servers in the service's pool as replicas.
func (b *tableBuilder) serviceReplicas(service string) []decide.Replica {
	var replicas []decide.Replica
	for i, s := range b.table.Servers {
		if s.Pool == service {
			replicas = append(replicas, decide.Replica{Server: i})
		}
	}
	return replicas
}

// addReplicas adds the ready models and adapters of a failure domain's servers.
func (b *tableBuilder) addReplicas(view *replay.ControlView) {
	if view == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(view.Servers)) {
		index, listed := b.index[id]
		if !listed {
			continue
		}
		for _, item := range view.Servers[id].Ready {
			b.addReplica(index, item, view.Servers[id].Ready)
		}
	}
}

// addReplica adds a model or adapter that is ready on the server. An adapter counts
// only if a version of its model is among the server's ready items.
func (b *tableBuilder) addReplica(server int, item infra.Item, ready []infra.Item) {
	name, version := item.Model, item.Version
	if item.Adapter != "" {
		name = item.Adapter
		if !hasModel(ready, item.Model) {
			return
		}
	}
	target := b.table.Targets[name]
	if target == nil || target.Service {
		return
	}
	target.Replicas = append(target.Replicas, decide.Replica{Server: server, Version: version})
}

// hasModel reports whether the items include a version of the model.
func hasModel(items []infra.Item, model string) bool {
	for _, item := range items {
		if item.Adapter == "" && item.Model == model {
			return true
		}
	}
	return false
}

// sortReplicas puts the replicas of the declared version first in each target.
func (b *tableBuilder) sortReplicas() {
	for _, target := range b.table.Targets {
		if target.Service {
			continue
		}
		declared := b.cfg.Models[target.Model].Version
		if target.Adapter != "" {
			declared = b.cfg.Adapters[target.Adapter].Version
		}
		sort.SliceStable(target.Replicas, func(i, j int) bool {
			return target.Replicas[i].Version == declared && target.Replicas[j].Version != declared
		})
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
