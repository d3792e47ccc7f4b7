package residency

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// candidatesEach is how many instances of each failure domain take part in who
	// may order. Each renews with the store, so they must be few: 295 that all did
	// made 42 calls' worth a second. Three, so that a domain that lost some still has
	// one that its instances can ask while no lease holder is known.
	candidatesEach = 3
	// allCandidates is up to how many instances all are: their renewals cost little,
	// and each candidate that comes or goes may have the platform pass the lease on.
	allCandidates = 12
)

// Member is an instance as the lease holder knows it.
type Member struct {
	Name   string
	Domain string  // its failure domain
	Addr   string  // IP:port for other instances
	Cores  float64 // of processor that it may use
}

// Candidates are the instances that renew with the store: one of them holds the
// lease, another would take over, and the instances of their failure domain ask
// them while no holder is known. In the order of domains.
type Candidates []Member

// chooseCandidates returns candidatesEach instances of each failure domain, those
// with the most processor first, and always the same ones: the lease holder answers
// all the others, which took 0.11 of a core with 295 instances where most have 0.19.
func chooseCandidates(members []Member) Candidates {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	if len(members) <= allCandidates {
		return members
	}
	var out Candidates
	for n := range members {
		if n < candidatesEach || members[n-candidatesEach].Domain != members[n].Domain {
			out = append(out, members[n])
		}
	}
	return out
}

// Has says whether an instance is among them.
func (c Candidates) Has(instance string) bool {
	return slices.ContainsFunc(c, func(m Member) bool { return m.Name == instance })
}

// Digest identifies the list in every process.
func (c Candidates) Digest() uint64 {
	h := fnv.New64a()
	for _, m := range c {
		_, _ = h.Write([]byte(m.Domain + "\x00" + m.Addr + "\x00")) // a hash never fails
	}
	return h.Sum64()
}
