package decide

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Explanation is the decision that would be made about a request now, and its reasons.
type Explanation struct {
	Action    Action
	Reason    Reason
	Server    Server             // with ActionDispatch: a likely one; the choice is random among good replicas
	QueueWait time.Duration      // expected wait, unless a server would be chosen
	Replicas  []ExplainedReplica // all replicas, the eligible ones first and then by score
}

// ExplainedReplica is a replica with the estimates that filters and scores use.
type ExplainedReplica struct {
	Server      Server
	Near        bool    // in the instance's own failure domain
	DroppedBy   string  // the first filter that drops it; empty: none
	Load        float64 // estimated number of requests of all instances at the server
	Unread      float64 // estimated prompt tokens not yet prefilled there
	Slowdown    float64 // time that the server takes relative to its pool; above 1 is slow
	Score       float64 // expected seconds to the end of the answer; lower is better
	FillLimit   int     // largest number of requests of all instances at the server, with this one
	OwnRequests int     // number of this instance's requests at the server
}

// Explain returns the decision that would be made about a request now. It changes no state but that of
// the random source.
func (s *Scheduler) Explain(now time.Time, r Request) Explanation {
	req := &requestState{Request: r, heapIndex: -1, target: s.fleet.targets[r.Target]}
	if req.target == nil {
		return Explanation{Action: ActionRefuse, Reason: ReasonUnknownTarget}
	}
	s.setDeadline(req)
	s.prepare(now, req)
	e := s.explainAction(now, req)
	s.fillLevel = fillServerQueue
	e.Replicas = s.explainReplicas(now, req)
	return e
}

// explainAction returns the explanation without the replicas.
func (s *Scheduler) explainAction(now time.Time, req *requestState) Explanation {
	t := req.target
	backlog := s.estimateBacklog(now, t)
	wait := s.expectedWait(now, req, &backlog)
	switch {
	case s.draining:
		return Explanation{Action: ActionRefuse, Reason: ReasonShuttingDown}
	case len(t.replicas) == 0 && !t.ReplicaPending:
		return Explanation{Action: ActionRefuse, Reason: ReasonNoReplica}
	case req.timeLeft(now) < req.serviceTime:
		return Explanation{Action: ActionRefuse, Reason: ReasonDeadline}
	}
	c, waitable := s.choose(now, req)
	switch {
	case c != nil:
		return Explanation{Action: ActionDispatch, Reason: ReasonBestScore, Server: c.server.Server}
	case !waitable && len(t.replicas) > 0 && req.wouldMissDeadline(now, t.untilAvailable(now)):
		return Explanation{Action: ActionRefuse, Reason: ReasonNoReplica, QueueWait: seconds(t.untilAvailable(now))}
	case req.wouldMissDeadline(now, wait):
		return Explanation{Action: ActionRefuse, Reason: ReasonDeadline, QueueWait: seconds(wait)}
	}
	return Explanation{Action: ActionQueue, Reason: ReasonNoFreeSlot, QueueWait: seconds(wait)}
}

// explainReplicas returns all replicas, the eligible ones first and then by score.
func (s *Scheduler) explainReplicas(now time.Time, req *requestState) []ExplainedReplica {
	t := req.target
	s.candidates = s.candidates[:0]
	for i := range t.replicas {
		s.addCandidate(now, &t.replicas[i])
	}
	s.scoreAll(now, req)
	out := make([]ExplainedReplica, 0, len(s.candidates))
	for i := range s.candidates {
		c := &s.candidates[i]
		out = append(out, ExplainedReplica{
			Server: c.server.Server, Near: i < t.near, DroppedBy: s.droppedBy(now, req, c),
			Load: c.load, Unread: c.unread, Slowdown: c.server.relativeSlowdown(), Score: c.score,
			FillLimit: c.server.requestLimit(), OwnRequests: c.server.own,
		})
	}
	slices.SortStableFunc(out, func(a, b ExplainedReplica) int {
		return cmp.Or(cmp.Compare(len(a.DroppedBy), len(b.DroppedBy)), cmp.Compare(a.Score, b.Score))
	})
	return out
}

// droppedBy returns the name of the first filter that drops the candidate, empty if none does.
func (s *Scheduler) droppedBy(now time.Time, req *requestState, c *candidate) string {
	for _, f := range slices.Concat(eligibilityFilters, capacityFilters) {
		if !f.keep(s, now, req, c) {
			return filterName(f)
		}
	}
	return ""
}

// filterName returns a filter's name without the package and the suffix of its type: "slot" for
// slotFilter.
func filterName(f filter) string {
	_, name, _ := strings.Cut(fmt.Sprintf("%T", f), ".")
	return strings.TrimSuffix(name, "Filter")
}
