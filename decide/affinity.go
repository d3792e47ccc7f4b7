package decide

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// affinityFilter keeps, for a request with an affinity key, only the server that ranks first
// for the key among those that are eligible but for their load. Requests with the same key
// thereby meet at one server, whichever instances they arrive at and though these tell each
// other nothing: copies of a request that crashes servers crash one server together, and
// not one each.
type affinityFilter struct{}

func (affinityFilter) keep(s *Scheduler, now time.Time, req *requestState, c *candidate) bool {
	return req.Affinity == 0 || s.firstByAffinity(now, req) == c.server
}

// sampleByAffinity fills s.candidates with the replica at the server that ranks first, if it
// is among the given replicas.
func (s *Scheduler) sampleByAffinity(now time.Time, req *requestState, replicas []replicaState) {
	first := s.firstByAffinity(now, req)
	for i := range replicas {
		if replicas[i].server == first {
			s.addCandidate(now, &replicas[i])
		}
	}
}

// firstByAffinity returns the server that ranks first for the request's affinity key, nil if
// no replica is eligible. Servers that crashed under the request rank last: all instances know
// these, but each only its own failed attempts.
func (s *Scheduler) firstByAffinity(now time.Time, req *requestState) *serverState {
	var first *serverState
	best, bestCrashed := uint64(0), true
	for i := range req.target.replicas {
		r := &req.target.replicas[i]
		c := candidate{replica: r, server: r.server}
		if !passesAll(affinityEligibility, s, now, req, &c) {
			continue
		}
		rank, crashed := affinityRank(req.Affinity, r.server.ID), slices.Contains(req.CrashedServers, r.server.ID)
		if first == nil || crashed != bestCrashed && bestCrashed || crashed == bestCrashed && rank > best {
			first, best, bestCrashed = r.server, rank, crashed
		}
	}
	return first
}

// affinityEligibility are the filters that a server must pass to be ranked.
var affinityEligibility = []filter{availabilityFilter{}, reachabilityFilter{}, residencyFilter{}, failedServerFilter{}}

// affinityRank is the rendezvous hash of a key and a server.
func affinityRank(key uint64, server string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(server) // never fails
	return d.Sum64()
}
