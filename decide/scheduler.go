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
//
// The slice that a method returns is reused by the next call of any method:
// its owner carries the decisions out, or copies them, before that call.
type Scheduler struct {
	table    *Table
	rng      *rand.Rand
	out      []Decision
	requests map[string]*flight
	waiting  []*flight
	inFlight map[string]int
	draining bool
}

// flight is a request that the scheduler knows.
type flight struct {
	Request
	server string // where its attempt runs; empty: it waits
}

// NewScheduler returns a scheduler that draws its random choices from rng.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{rng: rng, table: &Table{}, requests: map[string]*flight{}, inFlight: map[string]int{}}
}

// SetTable replaces what is known of the fleet.
func (s *Scheduler) SetTable(now time.Time, t *Table) []Decision {
	s.out = s.out[:0]
	s.table = t
	s.pump(now)
	return s.out
}

// Arrive takes in a new request.
func (s *Scheduler) Arrive(now time.Time, r Request) []Decision {
	s.out = s.out[:0]
	f := &flight{Request: r}
	s.requests[r.ID] = f
	if !s.route(now, f) {
		s.waiting = append(s.waiting, f)
		s.out = append(s.out, Decision{Request: r.ID, Action: ActionQueue, Reason: ReasonQueued})
	}
	return s.out
}

// Failed is told that the request's attempt at the server failed; the decision
// that follows retries, queues or refuses it.
func (s *Scheduler) Failed(now time.Time, request, server string, f Failure) []Decision {
	s.out = s.out[:0]
	r := s.requests[request]
	if r == nil {
		return nil
	}
	s.release(r)
	if f.Effect != platform.EffectNone && !r.Idempotent {
		s.refuse(r, ReasonMayHaveRun, 0)
	} else if !s.route(now, r) {
		s.waiting = append(s.waiting, r)
		s.out = append(s.out, Decision{Request: r.ID, Action: ActionQueue, Reason: ReasonQueued})
	}
	s.pump(now)
	return s.out
}

// Ended is told that the request is over, with its last attempt's outcome.
func (s *Scheduler) Ended(now time.Time, request, server string, o Outcome) []Decision {
	return s.Left(now, request)
}

// Left is told that the request's caller has gone.
func (s *Scheduler) Left(now time.Time, request string) []Decision {
	s.out = s.out[:0]
	if r := s.requests[request]; r != nil {
		s.release(r)
		delete(s.requests, request)
	}
	s.pump(now)
	return s.out
}

// Reported is told of a server's load report, as old as age.
func (s *Scheduler) Reported(now time.Time, server string, load platform.Load, age time.Duration) []Decision {
	return nil
}

// Cached is told of a server's cache events.
func (s *Scheduler) Cached(now time.Time, server string, events []platform.CacheEvent) {}

// Tick lets time pass: it refuses what can no longer make its deadline.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.out = s.out[:0]
	s.pump(now)
	return s.out
}

// Drain refuses what waits and whatever arrives from now on.
func (s *Scheduler) Drain(now time.Time) []Decision {
	s.out = s.out[:0]
	s.draining = true
	s.pump(now)
	return s.out
}

// pump decides again about each request that waits.
func (s *Scheduler) pump(now time.Time) {
	kept := s.waiting[:0]
	for _, f := range s.waiting {
		if s.requests[f.ID] == f && !s.route(now, f) {
			kept = append(kept, f)
		}
	}
	s.waiting = kept
}

// route decides on one request; it returns false if the request has to wait.
func (s *Scheduler) route(now time.Time, f *flight) bool {
	t := s.table.Targets[f.Target]
	switch {
	case s.draining:
		return s.refuse(f, ReasonShuttingDown, time.Second)
	case t == nil:
		return s.refuse(f, ReasonUnknownTarget, 0)
	case !f.Deadline.IsZero() && !now.Before(f.Deadline):
		return s.refuse(f, ReasonDeadline, time.Second)
	case len(t.Replicas) == 0:
		return s.refuse(f, ReasonNoReplica, time.Second)
	}
	a, b := t.Replicas[s.rng.IntN(len(t.Replicas))], t.Replicas[s.rng.IntN(len(t.Replicas))]
	if s.room(b) > s.room(a) {
		a = b
	}
	if s.room(a) <= 0 {
		return false
	}
	srv := s.table.Servers[a.Server]
	f.server = srv.ID
	s.inFlight[srv.ID]++
	s.out = append(s.out, Decision{Request: f.ID, Action: ActionDispatch, Server: srv, Version: a.Version, Reason: ReasonBest})
	return true
}

func (s *Scheduler) room(r Replica) int {
	srv := &s.table.Servers[r.Server]
	if srv.Leaving {
		return 0
	}
	return max(srv.Slots, 1) - s.inFlight[srv.ID]
}

func (s *Scheduler) refuse(f *flight, reason Reason, after time.Duration) bool {
	delete(s.requests, f.ID)
	s.out = append(s.out, Decision{Request: f.ID, Action: ActionRefuse, Reason: reason, RetryAfter: after})
	return true
}

func (s *Scheduler) release(f *flight) {
	if f.server == "" {
		return
	}
	s.inFlight[f.server]--
	f.server = ""
}
