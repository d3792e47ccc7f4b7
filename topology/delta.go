package topology

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

// Delta is a step from one list of servers to the next: what became of one
// server. It is small where only its adapters changed, as with each of the
// hundreds of adapters that are loaded after a start.
type Delta struct {
	ID     string
	Server *Server     // what it is now; nil: it is gone, or only its models changed
	Gone   bool        // it is no longer listed
	Added  []HeldModel // models with the adapters that came
	Lost   []HeldModel // models with the adapters that went; without adapters the model itself
}

// deltaOf returns the step from one description of a server to another.
func newDelta(old, now *Server) Delta {
	d := Delta{ID: now.ID}
	for _, m := range now.Models {
		was := old.model(m.Name)
		if was == nil || was.Version != m.Version {
			d.Added = append(d.Added, m)
			continue
		}
		if came := without(m.Adapters, was.Adapters); len(came) > 0 {
			d.Added = append(d.Added, HeldModel{m.Name, m.Version, came})
		}
		if went := without(was.Adapters, m.Adapters); len(went) > 0 {
			d.Lost = append(d.Lost, HeldModel{m.Name, m.Version, went})
		}
	}
	for _, m := range old.Models {
		if now.model(m.Name) == nil {
			d.Lost = append(d.Lost, HeldModel{Name: m.Name, Version: m.Version})
		}
	}
	if next := d.apply(old); !next.Equal(now) { // something else changed too
		return Delta{ID: now.ID, Server: now}
	}
	return d
}

// apply returns the server after the step. It shares nothing that it changes.
func (d *Delta) apply(s *Server) Server {
	if d.Server != nil {
		return *d.Server
	}
	next := *s
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

// model returns the model that the server holds, nil if it doesn't.
func (s *Server) model(name string) *HeldModel {
	for n := range s.Models {
		if s.Models[n].Name == name {
			return &s.Models[n]
		}
	}
	return nil
}

// without returns the names that aren't in the other list, in their order.
func without(names, others []string) []string {
	var out []string
	for _, n := range names {
		if !slices.Contains(others, n) {
			out = append(out, n)
		}
	}
	return out
}

// digest is a hash of all that Equal compares, the same in every process. The
// digest of a list is the sum of its servers'.
func (s *Server) digest() uint64 {
	h := fnv.New64a()
	text := func(values ...string) {
		for _, v := range values {
			_, _ = h.Write([]byte(v)) // a hash never fails
			_, _ = h.Write([]byte{0})
		}
	}
	text(s.ID, s.Service, s.Addr, s.Domain, strconv.Itoa(s.Slots), strconv.FormatBool(s.Leaving), strconv.FormatInt(s.Born.UnixMilli(), 10))
	for _, m := range s.Models {
		text("model", m.Name, strconv.FormatInt(m.Version, 10))
		text(m.Adapters...)
	}
	text("disk")
	text(s.OnDisk...)
	return h.Sum64()
}
