package config

import (
	"cmp"
	"slices"
	"strconv"
)

// partition is either the servers of a pool that are reserved for its owner or
// those that it lends. The lent partition is counted in whole servers, rounded
// down; the owner's is the remainder, also rounded down.
type partition struct {
	bins      []*bin // servers in use by the packing
	unopened  int    // number of servers not in use yet
	serverMiB int64
}

// bin is one server in the packing.
type bin struct {
	freeMiB int64
	models  map[string]bool
}

// checkCapacity verifies each partner's guaranteed share: one replica of every
// model and adapter must fit into the partner's own partitions and those lent by
// others. It packs by first-fit decreasing. A configuration that passes
// certainly fits; near the limit, one that another packing could fit may fail.
func (g *merger) checkCapacity(c *Config) *ValidationError {
	own, lent := partitionPools(c)
	adapters := adaptersByModel(c)
	names := modelsBySize(c)
	for _, name := range names {
		m := c.Models[name]
		if !placeModel(m, name, own, lent, c) {
			return g.capacityError(Key{kindModels, name, "mib"}, m, c)
		}
		for _, a := range adapters[name] {
			if !placeAdapter(m, name, c.Adapters[a], own, lent, c) {
				return g.capacityError(Key{kindAdapters, a, "mib"}, m, c)
			}
		}
	}
	return nil
}

// capacityError names the settings that could have caused the lack of capacity.
func (g *merger) capacityError(key Key, m Model, c *Config) *ValidationError {
	keys := []Key{key, {kindModels, key.Name, "pools"}}
	for _, p := range m.Pools {
		if c.Pools[p].Owner != m.Owner {
			keys = append(keys, Key{kindPools, p, "lent"})
		}
		keys = append(keys, Key{kindPools, p, "servers"}, Key{kindPools, p, "memory_mib"})
	}
	reason := "one replica of every model and adapter of partner " + m.Owner +
		" no longer fits in its share of the pools (" + strconv.Quote(m.Pools[0])
	if len(m.Pools) > 1 {
		reason += " and others"
	}
	return g.errorAt(reason+")", keys...)
}

// partitionPools returns each pool's own and lent partitions, by pool name.
func partitionPools(c *Config) (own, lent map[string]*partition) {
	own = make(map[string]*partition, len(c.Pools))
	lent = make(map[string]*partition, len(c.Pools))
	for name, p := range c.Pools {
		lendable := float64(p.Servers) * p.Lent
		lent[name] = &partition{unopened: int(lendable), serverMiB: p.MemoryMiB}
		kept := p.Servers - int(lendable)
		if float64(int(lendable)) < lendable {
			kept--
		}
		own[name] = &partition{unopened: kept, serverMiB: p.MemoryMiB}
	}
	return own, lent
}

// adaptersByModel returns the names of each model's adapters, largest first.
func adaptersByModel(c *Config) map[string][]string {
	out := map[string][]string{}
	for name, a := range sorted(c.Adapters) {
		out[a.Model] = append(out[a.Model], name)
	}
	for _, names := range out {
		slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(c.Adapters[y].MiB, c.Adapters[x].MiB) })
	}
	return out
}

// modelsBySize returns the names of the models, largest first.
func modelsBySize(c *Config) []string {
	names := make([]string, 0, len(c.Models))
	for name := range sorted(c.Models) {
		names = append(names, name)
	}
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(c.Models[y].MiB, c.Models[x].MiB) })
	return names
}

// partitionFor returns the partition of a pool that the model's owner may use.
func partitionFor(m Model, pool string, own, lent map[string]*partition, c *Config) *partition {
	if c.Pools[pool].Owner == m.Owner {
		return own[pool]
	}
	return lent[pool]
}

// placeModel places one replica in the first of the model's pools with enough
// memory. It returns false if none has.
func placeModel(m Model, name string, own, lent map[string]*partition, c *Config) bool {
	for _, pool := range m.Pools {
		if s := partitionFor(m, pool, own, lent, c).reserve(m.MiB); s != nil {
			s.models[name] = true
			return true
		}
	}
	return false
}

// placeAdapter places an adapter on a server that already holds its model or, if
// none has enough memory, on another server together with a new replica.
func placeAdapter(m Model, name string, a Adapter, own, lent map[string]*partition, c *Config) bool {
	for _, pool := range m.Pools {
		for _, s := range partitionFor(m, pool, own, lent, c).bins {
			if s.models[name] && s.freeMiB >= a.MiB {
				s.freeMiB -= a.MiB
				return true
			}
		}
	}
	for _, pool := range m.Pools {
		if s := partitionFor(m, pool, own, lent, c).reserve(m.MiB + a.MiB); s != nil {
			s.models[name] = true
			return true
		}
	}
	return false
}

// reserve reserves memory on the first server with enough of it and returns that
// server, or nil if there is none.
func (p *partition) reserve(mib int64) *bin {
	for _, s := range p.bins {
		if s.freeMiB >= mib {
			s.freeMiB -= mib
			return s
		}
	}
	if p.unopened == 0 || mib > p.serverMiB {
		return nil
	}
	p.unopened--
	s := &bin{freeMiB: p.serverMiB - mib, models: map[string]bool{}}
	p.bins = append(p.bins, s)
	return s
}
