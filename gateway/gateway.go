// Package gateway decides who may send requests to servers that fail if they have to refuse
// too many. A few instances, the server's gateways, share its slots; all others send through
// them. Members are the instances that may be gateways, Limits is what servers said about the
// refusals that they survive, and Limiter is the admission of one gateway.
//
// The package does no I/O and reads no clock: time is an argument.
package gateway

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// membersPerDomain bounds the members of a failure domain, so that the list has a bounded
	// length at any number of instances.
	membersPerDomain = 16
	// maxGateways bounds the gateways of a server.
	maxGateways = 8
)

// Member is an instance that may be a gateway.
type Member struct {
	Domain string // its failure domain
	Addr   string // IP:port for other instances
}

// Members are the instances that may be gateways, sorted by failure domain and address. A list
// must not be modified.
type Members []Member

// ChooseMembers returns membersPerDomain instances of each failure domain. The choice depends on
// their addresses alone, so that an instance that joins or leaves replaces one other at most.
func ChooseMembers(all []Member) Members {
	byDomain := map[string][]Member{}
	for _, m := range all {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	var out Members
	for _, members := range byDomain {
		slices.SortFunc(members, func(a, b Member) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Addr), xxhash.Sum64String(b.Addr)), cmp.Compare(a.Addr, b.Addr))
		})
		out = append(out, members[:min(membersPerDomain, len(members))]...)
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Addr, b.Addr))
	})
	return out
}

// Digest returns a hash of the list that is the same in every process, 0 if it is empty.
func (m Members) Digest() uint64 {
	if len(m) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, x := range m {
		_, _ = h.Write([]byte(x.Domain + "\x00" + x.Addr + "\x00")) // a hash never fails
	}
	return h.Sum64()
}

// Server is a server that fails by refusing, as its gateways need to know it.
type Server struct {
	ID           string
	Domain       string // its failure domain
	Slots        int    // most requests that it runs at a time
	RefusalLimit int    // refusals per second, to all instances together, that it survives
}

// Route is the way to a server.
type Route struct {
	// Ranking holds the addresses of the instances to send through. The first of them, as many
	// as Shares, are the gateways; one that isn't reached is replaced by the next.
	Ranking []string
	// Shares are the requests that the gateways may have at the server at a time.
	Shares []int
}

// RouteTo returns the way to a server. Its gateways are instances of its failure domain, or of
// any if there is none.
func (m Members) RouteTo(s Server) Route {
	r := Route{Ranking: m.ranking(s)}
	n := gatewayCount(s, len(r.Ranking))
	for rank := range n {
		r.Shares = append(r.Shares, (s.Slots+n-1-rank)/n)
	}
	return r
}

// gatewayCount returns how many gateways share a server's slots: so many that each share is at
// most what the server survives to refuse in a second.
func gatewayCount(s Server, members int) int {
	perGateway := max(s.RefusalLimit, 1)
	return min((s.Slots+perGateway-1)/perGateway, maxGateways, members)
}

// ranking returns the addresses of the members of the server's failure domain by descending
// hash of the server and the address.
func (m Members) ranking(s Server) []string {
	type ranked struct {
		addr  string
		score uint64
	}
	var order []ranked
	for _, inDomain := range []bool{true, false} {
		for _, x := range m {
			if (x.Domain == s.Domain) == inDomain {
				order = append(order, ranked{x.Addr, xxhash.Sum64String(s.ID + "\x00" + x.Addr)})
			}
		}
		if len(order) > 0 {
			break
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.addr, b.addr)) })
	out := make([]string, len(order))
	for n := range order {
		out[n] = order[n].addr
	}
	return out
}

// GatewayTries is how many gateways are asked to send an attempt before it counts as refused. Only
// the last lets it wait.
const GatewayTries = 2

// Order returns the addresses in the order in which to ask them: the gateways from a random one on,
// then those that stand in for them. random is at least 0.
func (r Route) Order(random int) []string {
	n := len(r.Shares)
	if n == 0 {
		return nil
	}
	from := random % n
	return slices.Concat(r.Ranking[from:n], r.Ranking[:from], r.Ranking[n:])
}

// ShareOf returns how many requests the instance at the address may have at the server. One that
// isn't a gateway stands in for one and has the smallest share; it is 0 without any gateway.
func (r Route) ShareOf(addr string) int {
	if len(r.Shares) == 0 {
		return 0
	}
	rank := slices.Index(r.Ranking, addr)
	if rank < 0 || rank >= len(r.Shares) {
		rank = len(r.Shares) - 1
	}
	return r.Shares[rank]
}

// ShareFor returns how many requests the instance at the address may have at the server if it is
// asked by one that takes the server's refusal limit for askedLimit, and so may have chosen it
// though it is no gateway.
func (m Members) ShareFor(addr string, s Server, askedLimit int) int {
	route := m.RouteTo(s)
	share := route.ShareOf(addr)
	if askedLimit == s.RefusalLimit || slices.Contains(route.Ranking[:len(route.Shares)], addr) {
		return share
	}
	s.RefusalLimit = askedLimit
	return min(share, m.RouteTo(s).ShareOf(addr))
}

// SmallestShare returns the share of a gateway that doesn't know the others.
func SmallestShare(s Server) int { return max(s.Slots/gatewayCount(s, maxGateways), 1) }
