package decide

import "time"

const (
	// defaultServiceTime is assumed, in seconds, for a target that has not answered yet.
	// In scores it only serves to compare waits.
	defaultServiceTime = 1.0
	// fullBatchSlowdown is the relative increase of the service time in a full batch.
	fullBatchSlowdown = 0.5
	// prefixSavings is the fraction of the time to first token that a cached prefix saves.
	// It is well below 1 because the hint may be wrong.
	prefixSavings = 0.6
	// prefixMaxLoadRatio is the load, relative to the mean of the candidates, up to which
	// the server with the cached prefix is preferred, so that a popular prefix doesn't
	// overload one server.
	prefixMaxLoadRatio = 1.25
	// failureCost is the cost of a certain failure in seconds of service time: about the
	// time until the caller retries.
	failureCost = 2.0
)

// scorer returns a term of a candidate's score, in expected seconds.
type scorer interface {
	score(s *Scheduler, now time.Time, req *requestState, c *candidate) float64
}

var scorers = []scorer{serviceTimeScorer{}, slotWaitScorer{}, prefillScorer{}, prefixCacheScorer{}, failureScorer{}}

// serviceTimeScorer adds the service time at the server's speed and batch utilization, so
// that a slow server gets fewer requests.
type serviceTimeScorer struct{}

func (serviceTimeScorer) score(_ *Scheduler, _ time.Time, req *requestState, c *candidate) float64 {
	fill := min(c.load/float64(c.server.Slots), 1)
	return serviceTimeOrDefault(req) * c.server.slowdownAmong(req.target) * (1 + fullBatchSlowdown*fill)
}

// slotWaitScorer adds the time until the server has a free slot.
type slotWaitScorer struct{}

func (slotWaitScorer) score(_ *Scheduler, _ time.Time, req *requestState, c *candidate) float64 {
	return c.slotWait(req) * c.server.slowdownAmong(req.target)
}

// slotWait returns the seconds until the server would have a free slot if it had the mean speed of the
// target's servers.
func (c *candidate) slotWait(req *requestState) float64 {
	over := c.load + 1 - float64(c.server.Slots)
	if over <= 0 {
		return 0
	}
	return over / float64(c.server.Slots) * serviceTimeOrDefault(req)
}

// prefillScorer adds the time until the server has prefilled the prompts it already has.
// For engines dominated by prefill, a server with few requests may have several seconds of
// backlog.
type prefillScorer struct{}

func (prefillScorer) score(_ *Scheduler, _ time.Time, _ *requestState, c *candidate) float64 {
	return c.prefillWait()
}

// prefixCacheScorer favors the server that probably has the prompt's prefix cached. The
// hint is wrong if the engine has evicted the prefix since.
type prefixCacheScorer struct{}

func (prefixCacheScorer) score(s *Scheduler, now time.Time, req *requestState, c *candidate) float64 {
	if req.Prefix == 0 || c.server != s.prefixServer || c.load > prefixMaxLoadRatio*s.meanLoad+1 {
		return 0
	}
	return -prefixSavings * req.target.currentTimes(now).firstToken.mean
}

// failureScorer adds the cost of the server's recent failure rate. A server that fails
// some requests while its health check passes gets fewer; a pool in which all servers fail
// alike is unaffected.
type failureScorer struct{}

func (failureScorer) score(_ *Scheduler, _ time.Time, _ *requestState, c *candidate) float64 {
	return failureCost * c.server.errorRate.mean
}

func serviceTimeOrDefault(req *requestState) float64 {
	if req.serviceTime > 0 {
		return req.serviceTime
	}
	return defaultServiceTime
}
