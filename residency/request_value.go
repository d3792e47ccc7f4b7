package residency

import (
	"math"
	"time"

	"greengageferry/decide"
)

const (
	// rankDemandRatio is how many requests of the next less urgent rank count as much as one request
	// in the demand for replicas. decide.rankWeightRatio weighs the cost of delaying one request for
	// a slot and is far greater: a slot passes on within seconds, while a replica stays and should
	// follow the number of requests more than their rank.
	rankDemandRatio = 1.3
	// halfUrgencyLoads is the goal, in load times of the model, at which a request has half the
	// urgency of one without a goal.
	halfUrgencyLoads = 2
	// weightDecayTime is the time constant with which the mean weight of a target's requests
	// follows that of the newest reports.
	weightDecayTime = 2 * time.Second
)

// rankWeights holds what a request of each rank counts, relative to the most urgent rank.
var rankWeights = func() (out [decide.Ranks]float64) {
	for rank := range out {
		out[rank] = math.Pow(rankDemandRatio, -float64(rank))
	}
	return out
}()

// requestValue describes the urgency of the mean request for a target.
type requestValue struct {
	weight float64       // of its rank, from 0 to 1
	goal   time.Duration // shortest time to the first token that requests ask for; 0: none, the most urgent
}

// unknownValue is the value of requests whose rank isn't reported.
var unknownValue = requestValue{weight: 1}

// meanWeight returns the mean rank weight of the requests in a report, 0 if their ranks aren't
// reported.
func meanWeight(a *TargetDemand) float64 {
	sum, count := 0.0, 0
	for rank, r := range a.ByRank {
		n := r.Waiting + r.InFlight + r.Requests
		sum += rankWeights[rank] * float64(n)
		count += n
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// shortestGoal returns the shortest goal of the requests in a report, 0 if none has one.
func shortestGoal(a *TargetDemand) time.Duration {
	shortest := time.Duration(0)
	for _, r := range a.ByRank {
		if r.Goal > 0 && (shortest == 0 || r.Goal < shortest) {
			shortest = r.Goal
		}
	}
	return shortest
}

// goalUrgency returns the weight, from 0 to 1, of a request with the goal for a model with the load
// time: a request that may wait for several loads loses little while its model has no replica.
func goalUrgency(goal, load time.Duration) float64 {
	if goal <= 0 || load <= 0 {
		return 1
	}
	halfUrgencyGoal := halfUrgencyLoads * load
	return float64(halfUrgencyGoal) / float64(halfUrgencyGoal+goal)
}

// value returns the value of the mean request for a target.
func (d *DemandTracker) value(target string) requestValue {
	if t := d.targets[target]; t != nil {
		return t.value
	}
	return unknownValue
}

// noteGoal records the goal of requests just reported; 0: they have none. A goal holds until a
// shorter one is reported, or a longer one once it is older than maxDecayTime.
func (t *targetState) noteGoal(now time.Time, goal time.Duration) {
	if goal <= 0 {
		return
	}
	if t.value.goal == 0 || goal <= t.value.goal || now.Sub(t.goalAt) > maxDecayTime {
		t.value.goal, t.goalAt = goal, now
	}
}
