package soak

import (
	"strings"
	"time"

	"greengageferry/platform/standin"
)

const (
	// deadlineSlack is by how much the time that a server is told may end after the caller's
	// own, and that of a later sending after the first one's.
	deadlineSlack = 500 * time.Millisecond
	// maxLateDeadlines is how many sendings of a run may exceed that.
	maxLateDeadlines = 20
	// maxCrashes is how many servers a request may crash, and how often it may reach one
	// later than crashSettleTime after that.
	maxCrashes      = 3
	crashSettleTime = 3 * time.Second
)

// checkBudget checks every way in which instances may send requests more often, or for
// longer, than is allowed. The bound for all retries together is checkRetries.
func (c *checker) checkBudget() {
	byID := map[string][]standin.Arrival{}
	for _, a := range c.history.arrivals {
		byID[a.Ask.ID] = append(byID[a.Ask.ID], a)
	}
	late := 0
	for id, arrivals := range byID {
		r := c.resultByID[id]
		if r == nil {
			continue // another rule
		}
		if len(arrivals) > maxAttempts {
			c.violated("attempts are bounded", "%s reached servers %d times", id, len(arrivals))
		}
		late += c.lateDeadlines(r, arrivals)
	}
	if late > maxLateDeadlines {
		c.violated("servers are told of no more time than is left", "%d sendings", late)
	}
	c.checkCrashingRequests()
}

// lateDeadlines returns how many sendings of a request told their server of more time than its
// caller had left, or of a later end than the first sending.
func (c *checker) lateDeadlines(r *Result, arrivals []standin.Arrival) int {
	end := r.Sent.Add(r.Ask.Timeout)
	n := 0
	for _, a := range arrivals {
		told := a.At.Add(a.Ask.Timeout)
		late := a.Ask.Timeout == 0 || told.After(end.Add(deadlineSlack))
		if late && !c.disruptedBetween(r.Sent, a.At, a.Server, r.Instance) {
			n++
		}
	}
	return n
}

// checkCrashingRequests checks that requests which crash servers hardly reach any once they
// have crashed three.
func (c *checker) checkCrashingRequests() {
	arrivals := map[string][]time.Time{} // by path
	for _, a := range c.history.arrivals {
		if a.Ran && strings.Contains(a.Ask.Path, standin.CrashPath) {
			arrivals[a.Ask.Path] = append(arrivals[a.Ask.Path], a.At)
		}
	}
	for path, times := range arrivals {
		if len(times) <= maxCrashes {
			continue
		}
		settled, later := times[maxCrashes-1].Add(crashSettleTime), 0
		for _, at := range times {
			if at.After(settled) {
				later++
			}
		}
		if later > maxCrashes {
			c.violated("a request that crashes servers is refused", "%s reached servers %d times later than %s after its third crash", path, later, crashSettleTime)
		}
	}
}
