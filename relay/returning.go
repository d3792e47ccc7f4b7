package relay

import (
	"slices"
	"time"

	"greengageferry/decide"
	"greengageferry/residency"
	"greengageferry/topology"
)

// maxReturning is the number of refused callers that are counted at most until they come back.
const maxReturning = 1024

// returningCall is a call that was refused because its model is still being loaded, and whose caller
// was told to come back once it is. Until then it counts as waiting in this instance's demand, since
// the model is needed as much as for a queued call.
type returningCall struct {
	target string
	rank   int       // 0 is the most urgent
	until  time.Time // when the caller comes back
}

// noteReturning records a refused call if its model has no replica yet. The lock is held.
func (d *dispatcher) noteReturning(c *call, dec decide.Decision) {
	if !d.byRank || dec.Reason != decide.ReasonDeadline || dec.Inputs.Candidates > 0 || len(d.returning) >= maxReturning {
		return
	}
	now := time.Now()
	back := min(dec.RetryAfter, c.deadline.Sub(now)/decide.CallerWaitDivisor)
	d.returning = append(d.returning, returningCall{topology.CutWeights(c.target), c.rank(), now.Add(back)})
	d.signalSync()
}

// addReturning adds the callers that will come back to the waiting requests, and drops those whose
// time has come. The lock is held.
func (d *dispatcher) addReturning(demand map[string]residency.TargetDemand) {
	now := time.Now()
	d.returning = slices.DeleteFunc(d.returning, func(a returningCall) bool { return now.After(a.until) })
	for _, a := range d.returning {
		t := demand[a.target]
		t.Waiting++
		t.ByRank[decide.RankIndex(a.rank)].Waiting++
		demand[a.target] = t
	}
}
