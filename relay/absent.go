package relay

import (
	"slices"
	"time"

	"greengageferry/decide"
	"greengageferry/residency"
)

// maxAbsent bounds the callers that are known to come back when their model is loaded.
const maxAbsent = 1024

// absentCall is a caller that was refused since its model is still being loaded, and told to come
// back when it will be there. Until then it waits for the model as much as one that is queued here,
// and counts as waiting where replicas are planned.
type absentCall struct {
	target string
	rank   int
	until  time.Time
}

// noteAbsent records a refused call whose caller will come back for its model. The lock is held.
func (d *dispatcher) noteAbsent(c *call, dec decide.Decision) {
	if !d.byRank || dec.Reason != decide.ReasonDeadline || dec.Inputs.Candidates > 0 || len(d.absent) >= maxAbsent {
		return
	}
	now := time.Now()
	back := min(dec.RetryAfter, c.deadline.Sub(now)/decide.CallerWaitDivisor)
	d.absent = append(d.absent, absentCall{c.target, c.rank(), now.Add(back)})
	d.signalSync()
}

// addAbsent adds the callers that will come back to what waits. The lock is held.
func (d *dispatcher) addAbsent(demand map[string]residency.TargetDemand) {
	now := time.Now()
	d.absent = slices.DeleteFunc(d.absent, func(a absentCall) bool { return now.After(a.until) })
	for _, a := range d.absent {
		t := demand[a.target]
		t.Waiting++
		t.ByRank[decide.RankIndex(a.rank)].Waiting++
		demand[a.target] = t
	}
}
