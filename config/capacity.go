package config

import (
	"cmp"
	"slices"
	"strconv"
)

// part is the servers of a pool that its owner keeps, or those that it lends.
// A pool's lent part is counted in whole servers, rounded down, and the
// owner's part as what is then left, rounded down too.
type part struct {
	servers []*bin // opened so far
	room    int    // servers not opened yet
	memory  int64
}

// bin is one server that the packing fills.
type bin struct {
	free   int64
	models map[string]bool
}

// checkCapacity makes sure of each partner's guaranteed share: one replica of
// every model and adapter fits into the partner's own parts and the parts that
// the others lend it. The packing is first-fit decreasing: what it accepts
// fits for certain; near the limit it may refuse what another packing fits.
func (g *merger) checkCapacity(c *Config) *Refusal {
	own, lent := parts(c)
	adapters := adaptersByModel(c)
	names := modelsBySize(c)
	for _, name := range names {
		m := c.Models[name]
		if !placeModel(m, name, own, lent, c) {
			return g.refuseCapacity(Key{kindModels, name, "mib"}, m, c)
		}
		for _, a := range adapters[name] {
			if !placeAdapter(m, name, c.Adapters[a], own, lent, c) {
				return g.refuseCapacity(Key{kindAdapters, a, "mib"}, m, c)
			}
		}
	}
	return nil
}

func (g *merger) refuseCapacity(key Key, m Model, c *Config) *Refusal {
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
	return g.refuse(reason+")", keys...)
}

func parts(c *Config) (own, lent map[string]*part) {
	own = make(map[string]*part, len(c.Pools))
	lent = make(map[string]*part, len(c.Pools))
	for name, p := range c.Pools {
		lendable := float64(p.Servers) * p.Lent
		lent[name] = &part{room: int(lendable), memory: p.MemoryMiB}
		kept := p.Servers - int(lendable)
		if float64(int(lendable)) < lendable {
			kept--
		}
		own[name] = &part{room: kept, memory: p.MemoryMiB}
	}
	return own, lent
}

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

func modelsBySize(c *Config) []string {
	names := make([]string, 0, len(c.Models))
	for name := range sorted(c.Models) {
		names = append(names, name)
	}
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(c.Models[y].MiB, c.Models[x].MiB) })
	return names
}

func partOf(m Model, pool string, own, lent map[string]*part, c *Config) *part {
	if c.Pools[pool].Owner == m.Owner {
		return own[pool]
	}
	return lent[pool]
}

// placeModel puts one replica into the first of the model's pools with room.
func placeModel(m Model, name string, own, lent map[string]*part, c *Config) bool {
	for _, pool := range m.Pools {
		if s := partOf(m, pool, own, lent, c).take(m.MiB); s != nil {
			s.models[name] = true
			return true
		}
	}
	return false
}

// placeAdapter puts an adapter beside a replica of its model, or beside a new
// replica where no present one has room.
func placeAdapter(m Model, name string, a Adapter, own, lent map[string]*part, c *Config) bool {
	for _, pool := range m.Pools {
		for _, s := range partOf(m, pool, own, lent, c).servers {
			if s.models[name] && s.free >= a.MiB {
				s.free -= a.MiB
				return true
			}
		}
	}
	for _, pool := range m.Pools {
		if s := partOf(m, pool, own, lent, c).take(m.MiB + a.MiB); s != nil {
			s.models[name] = true
			return true
		}
	}
	return false
}

// take reserves memory on the first server with room and returns it, or nil.
func (p *part) take(mib int64) *bin {
	for _, s := range p.servers {
		if s.free >= mib {
			s.free -= mib
			return s
		}
	}
	if p.room == 0 || mib > p.memory {
		return nil
	}
	p.room--
	s := &bin{free: p.memory - mib, models: map[string]bool{}}
	p.servers = append(p.servers, s)
	return s
}
