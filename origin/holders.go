package origin

import (
	"slices"
	"strconv"
	"time"

	"greengageferry/rendezvous"
)

const (
	// otherDomains is in how many failure domains besides the own one a stream is told.
	otherDomains = 2
	// copies is to how many members a stream is told.
	copies = 1 + otherDomains
	// memberTTL is how long a member that is no longer named is still told and asked. A new
	// lease holder names those first that have reported to it.
	memberTTL = 10 * time.Second
)

// Member is an instance that remembers streams for others.
type Member struct {
	Domain string // its failure domain
	Addr   string // IP:port for other instances
}

// Members holds the instances that remember streams for others. It is not safe for concurrent
// use.
type Members struct {
	list   []Member
	goneAt map[Member]time.Time // by member that is no longer named: since when
}

// Set replaces the members that are named.
func (m *Members) Set(now time.Time, named []Member) {
	goneAt := map[Member]time.Time{}
	list := slices.Clone(named)
	for _, x := range m.list {
		if slices.Contains(named, x) {
			continue
		}
		since, gone := m.goneAt[x]
		if !gone {
			since = now
		}
		if now.Sub(since) <= memberTTL {
			goneAt[x] = since
			list = append(list, x)
		}
	}
	m.list, m.goneAt = list, goneAt
}

// List returns the members that are named or were lately.
func (m *Members) List() []Member { return m.list }

// domainsFor returns the failure domains in which a stream is told and asked for, seen from the
// own one: that, and the first others by rendezvous hashing. Any two instances have at least
// one of them in common.
func domainsFor(members []Member, own string, s Stream) []string {
	key := strconv.FormatUint(uint64(s), 16)
	var others []string
	for _, m := range members {
		if m.Domain != own && !slices.Contains(others, m.Domain) {
			others = append(others, m.Domain)
		}
	}
	out := []string{own}
	for range min(otherDomains, len(others)) {
		first := rendezvous.Leader(key, others)
		out = append(out, first)
		others = slices.DeleteFunc(others, func(d string) bool { return d == first })
	}
	return out
}

// Holders returns the addresses of the instances to which a stream is told that began at an
// instance in the failure domain own: one in each of a few failure domains or, if there are
// fewer domains, more of each.
func Holders(members []Member, own string, s Stream) []string {
	key := strconv.FormatUint(uint64(s), 16)
	domains := domainsFor(members, own, s)
	left := make([][]string, len(domains)) // addresses by domain
	for n, domain := range domains {
		left[n] = addrsIn(members, domain)
	}
	var out []string
	for found := true; found && len(out) < copies; {
		found = false
		for n := range left {
			leader := rendezvous.Leader(key, left[n])
			if leader == "" || len(out) == copies {
				continue
			}
			found = true
			out = append(out, leader)
			left[n] = slices.DeleteFunc(left[n], func(addr string) bool { return addr == leader })
		}
	}
	return out
}

// Askable returns the addresses of the instances that may remember a stream, for one in the
// failure domain own: all members in the failure domains of its holders, since members come
// and go.
func Askable(members []Member, own string, s Stream) []string {
	var out []string
	for _, domain := range domainsFor(members, own, s) {
		out = append(out, addrsIn(members, domain)...)
	}
	return out
}

func addrsIn(members []Member, domain string) []string {
	var out []string
	for _, m := range members {
		if m.Domain == domain {
			out = append(out, m.Addr)
		}
	}
	return out
}
