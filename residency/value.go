package residency

import (
	"math"
	"time"

	"greengageferry/decide"
)

const (
	// rankStep is how many requests of the next less urgent rank count as much as one request.
	rankStep = 1.3
	// patientLoads is how many loads a request may wait for until half of its urgency is gone.
	patientLoads = 2
	// usefulBatchShare is the share of a server's batch up to which the requests of one model
	// are served there without waiting for each other. The rest is left to the server's other
	// models and to uneven arrivals.
	usefulBatchShare = 0.65
	// weightDecayTime is the time constant with which the mean weight of a target's requests
	// follows its newest requests.
	weightDecayTime = 2 * time.Second
)

// rankWeights holds what a request of each rank counts, relative to the most urgent rank.
var rankWeights = func() (out [decide.Ranks]float64) {
	for rank := range out {
		out[rank] = math.Pow(rankStep, -float64(rank))
	}
	return out
}()

// requestValue is what the mean request for a target is worth, and how soon it is wanted.
type requestValue struct {
	weight float64       // of its rank, from 0 to 1
	goal   time.Duration // shortest time to the first token that is asked for; 0: none, so at once
}

// unknownValue is the value of requests of which nobody told the rank.
var unknownValue = requestValue{weight: 1}

// meanWeight returns the mean rank weight of the requests in a report, 0 if their ranks are not
// told.
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

// goalUrgency weights a request by its goal: one that may wait for several loads loses little
// while its model has no replica.
func goalUrgency(goal, load time.Duration) float64 {
	if goal <= 0 || load <= 0 {
		return 1
	}
	patience := patientLoads * load
	return float64(patience) / float64(patience+goal)
}

// gain returns what the replica after the first n ones adds to a model's demand that is served,
// in weighted concurrent requests. Each further replica adds less; a first one adds at most a
// useful batch.
func (w *pool) gain(m *model, n int) float64 {
	if m.concurrency <= 0 {
		return 0
	}
	share := w.usefulBatch() / m.concurrency
	return m.weight * m.concurrency * math.Exp(-float64(n)*share) * (1 - math.Exp(-share))
}

// usefulBatch returns how many requests for one model a server serves without letting them wait
// for each other.
func (w *pool) usefulBatch() float64 { return usefulBatchShare * float64(max(w.engine.Slots, 1)) }
