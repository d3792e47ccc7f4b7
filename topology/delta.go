package topology

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

// Delta is a change of one server in a list of servers. It is small if only the server's
// adapters changed, as for each of the hundreds of adapters that are loaded after a start.
type Delta struct {
	ID     string
	Server *Server // the new description; nil: the server was removed, or only its models changed
	Gone   bool    // the server is no longer listed
	// NoEntry says that the server's entry was removed and nothing else changed. Any
	// other delta of a server says that it has an entry.
	NoEntry bool
	Added   []HeldModel // models with their added adapters
	Lost    []HeldModel // models with their removed adapters; without adapters: the model was removed
}

// newDelta returns the delta between two descriptions of a server.
func newDelta(old, now *Server) Delta {
	d := Delta{ID: now.ID}
	for _, m := range now.Models {
		before := old.model(m.Name)
		if before == nil || before.Version != m.Version {
			d.Added = append(d.Added, m)
			continue
		}
		if added := without(m.Adapters, before.Adapters); len(added) > 0 {
			d.Added = append(d.Added, HeldModel{m.Name, m.Version, added})
		}
		if lost := without(before.Adapters, m.Adapters); len(lost) > 0 {
			d.Lost = append(d.Lost, HeldModel{m.Name, m.Version, lost})
		}
	}
	for _, m := range old.Models {
		if now.model(m.Name) == nil {
			d.Lost = append(d.Lost, HeldModel{Name: m.Name, Version: m.Version})
		}
	}
	if next := d.apply(old); !next.Equal(now) { // something other than the models changed
		return Delta{ID: now.ID, Server: now}
	}
	return d
}

// apply returns the server after the change. It does not modify s or anything that s
// refers to.
func (d *Delta) apply(s *Server) Server {
	if d.Server != nil {
		return *d.Server
	}
	next := *s
	next.NoEntry = d.NoEntry
	next.Models = slices.Clone(s.Models)
	for _, m := range d.Lost {
		next.Models = slices.DeleteFunc(next.Models, func(x HeldModel) bool { return x.Name == m.Name && len(m.Adapters) == 0 })
		if x := next.model(m.Name); x != nil {
			x.Adapters = without(x.Adapters, m.Adapters)
		}
	}
	for _, m := range d.Added {
		x := next.model(m.Name)
		if x == nil || x.Version != m.Version {
			next.Models = slices.DeleteFunc(next.Models, func(x HeldModel) bool { return x.Name == m.Name })
			next.Models = append(next.Models, m)
			continue
		}
		x.Adapters = append(slices.Clone(x.Adapters), m.Adapters...)
		slices.Sort(x.Adapters)
	}
	slices.SortFunc(next.Models, func(a, b HeldModel) int { return cmp.Compare(a.Name, b.Name) })
	return next
}

// model returns the server's loaded model with the name, or nil.
func (s *Server) model(name string) *HeldModel {
	for n := range s.Models {
		if s.Models[n].Name == name {
			return &s.Models[n]
		}
	}
	return nil
}

// without returns the names that are not in the other list, in their order.
func without(names, others []string) []string {
	var out []string
	for _, n := range names {
		if !slices.Contains(others, n) {
			out = append(out, n)
		}
	}
	return out
}

// digest returns a hash of all that Equal compares, the same in every process. The digest
// of a list is the sum of its servers' digests.
func (s *Server) digest() uint64 {
	h := fnv.New64a()
	text := func(values ...string) {
		for _, v := range values {
			_, _ = h.Write([]byte(v)) // a hash.Hash never returns an error
			_, _ = h.Write([]byte{0})
		}
	}
	text(s.ID, s.Service, s.Addr, s.Domain, strconv.Itoa(s.Slots), strconv.FormatBool(s.Leaving), strconv.FormatInt(s.Born.UnixMilli(), 10), s.SoftwareVersion)
	for _, m := range s.Models {
		text("model", m.Name, strconv.FormatInt(m.Version, 10))
		text(m.Adapters...)
	}
	text("disk")
	text(s.OnDisk...)
	if s.NoEntry {
		text("no entry")
	}
	return h.Sum64()
}
