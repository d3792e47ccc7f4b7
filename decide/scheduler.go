package decide

import (
	"math/rand/v2"
	"time"

	"greengageferry/platform"
)

// Scheduler decides about each request of one entry instance, from its arrival
// to its end. It has one owner, which steps it with what happens and carries
// out the decisions it returns. Requests that wait are decided later: each
// method may return decisions about other requests than the one it was told of.
type Scheduler struct {
	table *Table
	rng   *rand.Rand
	// placeholder of the first thin version
	requests map[string]*Request
}

// NewScheduler returns a scheduler that draws its random choices from rng.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{rng: rng, table: &Table{}, requests: map[string]*Request{}}
}

// SetTable replaces what is known of the fleet.
func (s *Scheduler) SetTable(now time.Time, t *Table) []Decision {
	s.table = t
	return nil
}

// Arrive takes in a new request.
func (s *Scheduler) Arrive(now time.Time, r Request) []Decision {
	s.requests[r.ID] = &r
	return []Decision{s.route(&r)}
}

// Failed is told that the request's attempt at the server failed; the decision
// that follows retries, queues or refuses it.
func (s *Scheduler) Failed(now time.Time, request, server string, f Failure) []Decision {
	r := s.requests[request]
	if r == nil {
		return nil
	}
	return []Decision{s.route(r)}
}

// Ended is told that the request is over, with its last attempt's outcome.
func (s *Scheduler) Ended(now time.Time, request, server string, o Outcome) []Decision {
	delete(s.requests, request)
	return nil
}

// Left is told that the request's caller has gone.
func (s *Scheduler) Left(now time.Time, request string) []Decision {
	delete(s.requests, request)
	return nil
}

// Reported is told of a server's load report, as old as age.
func (s *Scheduler) Reported(now time.Time, server string, load platform.Load, age time.Duration) []Decision {
	return nil
}

// Cached is told of a server's cache events.
func (s *Scheduler) Cached(now time.Time, server string, events []platform.CacheEvent) {}

// Tick lets time pass: it refuses what can no longer make its deadline.
func (s *Scheduler) Tick(now time.Time) []Decision { return nil }

// Drain refuses what waits and whatever arrives from now on.
func (s *Scheduler) Drain(now time.Time) []Decision { return nil }

func (s *Scheduler) route(r *Request) Decision {
	t := s.table.Targets[r.Target]
	if t == nil {
		return Decision{Request: r.ID, Action: ActionRefuse, Reason: ReasonUnknownTarget}
	}
	if len(t.Replicas) == 0 {
		return Decision{Request: r.ID, Action: ActionRefuse, Reason: ReasonNoReplica, RetryAfter: time.Second}
	}
	rep := t.Replicas[s.rng.IntN(len(t.Replicas))]
	return Decision{Request: r.ID, Action: ActionDispatch, Server: s.table.Servers[rep.Server], Version: rep.Version, Reason: ReasonBest}
}
