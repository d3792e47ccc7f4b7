package residency

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// candidatesPerDomain is how many instances of each failure domain compete for the
	// lease. Each renews with the store, so they must be few. With three, a domain that
	// lost some still has one that its other instances can query while no lease holder
	// is known.
	candidatesPerDomain = 3
	// maxAllCandidates is the number of instances up to which all are candidates: their
	// renewals cost little, and each candidate that comes or goes may cause the
	// platform to reassign the lease.
	maxAllCandidates = 12
)

// Member describes an instance to the lease holder.
type Member struct {
	Name   string
	Domain string  // its failure domain
	Addr   string  // IP:port for other instances
	Cores  float64 // CPU cores that the instance may use
}

// Candidates are the instances that compete for the lease and renew with the store. One
// of them holds the lease, another would take over, and the other instances of their
// failure domain query them while no holder is known. They are sorted by failure
// domain.
type Candidates []Member

// SavedInstances is what the platform's store keeps of the instances beyond the end of all of them.
type SavedInstances struct {
	Count      int        // 0: not known
	Candidates Candidates // with failure domain and address alone; empty: not known
}

// chooseCandidates returns candidatesPerDomain instances of each failure domain, those
// with the most CPU cores first, since the lease holder answers all other instances. The
// choice is deterministic.
func chooseCandidates(members []Member) Candidates {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	if len(members) <= maxAllCandidates {
		return members
	}
	var out Candidates
	for n := range members {
		if n < candidatesPerDomain || members[n-candidatesPerDomain].Domain != members[n].Domain {
			out = append(out, members[n])
		}
	}
	return out
}

// Contains reports whether an instance is a candidate.
func (c Candidates) Contains(instance string) bool {
	return slices.ContainsFunc(c, func(m Member) bool { return m.Name == instance })
}

// Digest returns a hash of the list that is the same in every process.
func (c Candidates) Digest() uint64 {
	h := fnv.New64a()
	for _, m := range c {
		_, _ = h.Write([]byte(m.Domain + "\x00" + m.Addr + "\x00")) // a hash never fails
	}
	return h.Sum64()
}
