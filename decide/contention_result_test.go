package decide

import (
	"fmt"
	"time"
)

// contentionResult counts the requests that arrived after the warm-up.
type contentionResult struct {
	arrived, inTime, late [3]int          // requests by rank
	hotArrived, hotInTime int             // requests of the first account
	workByEngine          []time.Duration // time that the requests started there hold slots at speed 1

	refused  [3]int        // callers that got no answer, by rank
	returned [3]int        // callers that retried, by rank
	again    [3]int        // those of them that were refused again
	held     time.Duration // total time that instances held requests that they then refused
}

// inTimeShare is the fraction of a rank's requests that were answered in time.
func (r *contentionResult) inTimeShare(rank int) float64 {
	return float64(r.inTime[rank]) / float64(max(r.arrived[rank], 1))
}

// worth is the mean worth of a request, 0 to 1: 1 in time, lateWorth late, 0 without an answer.
func (r *contentionResult) worth() float64 {
	sum, n := 0.0, 0
	for rank := range r.arrived {
		sum += float64(r.inTime[rank]) + lateWorth*float64(r.late[rank])
		n += r.arrived[rank]
	}
	return sum / float64(n)
}

// othersInTime is the fraction in time of the requests of all accounts but the first.
func (r *contentionResult) othersInTime() float64 {
	inTime, arrived := -r.hotInTime, -r.hotArrived
	for rank := range r.arrived {
		inTime += r.inTime[rank]
		arrived += r.arrived[rank]
	}
	return float64(inTime) / float64(arrived)
}

// refusedAgain is the fraction of the callers' retries that were refused.
func (r *contentionResult) refusedAgain() float64 {
	again, returned := 0, 0
	for rank := range r.again {
		again += r.again[rank]
		returned += r.returned[rank]
	}
	return float64(again) / float64(max(returned, 1))
}

// meanHeld is the mean time for which an instance held a request that it then refused.
func (r *contentionResult) meanHeld() time.Duration {
	tries := 0
	for rank := range r.refused {
		tries += r.refused[rank] + r.returned[rank]
	}
	return r.held / time.Duration(max(tries, 1))
}

func (r *contentionResult) String() string {
	return fmt.Sprintf("in time by rank %.3f %.3f %.3f, worth %.3f, others than the first account %.3f; late %v refused %v returned %v again %v (%.3f), held %v",
		r.inTimeShare(0), r.inTimeShare(1), r.inTimeShare(2), r.worth(), r.othersInTime(), r.late, r.refused, r.returned, r.again, r.refusedAgain(), r.held.Round(time.Second))
}
