package decide

import "time"

const (
	// unknownService stands in for the time of service of a target that has not
	// answered yet; it only weighs waits against each other.
	unknownService = 1.0 // seconds
	// crowding is how much longer an answer takes in a full batch than alone.
	crowding = 0.5
	// prefixSaves is the part of the time to the first token that a cached
	// prefix saves. It is less than all, since the hint may be wrong.
	prefixSaves = 0.6
	// prefixOverload bounds how much more than the other candidates' mean load
	// the server with a cached prefix may have and still be preferred, so that a
	// popular prefix doesn't pile up on one server.
	prefixOverload = 1.25
	// failureCost is what a server's certain failure weighs against its time of
	// service, in seconds: about the time in which its caller comes back.
	failureCost = 2.0
)

// scorer adds to a candidate's expected seconds.
type scorer interface {
	score(s *Scheduler, now time.Time, f *flight, c *candidate) float64
}

var scorers = []scorer{workScorer{}, waitScorer{}, readScorer{}, prefixScorer{}, failureScorer{}}

// workScorer is the time of service at the server's own speed and fill. It is
// for a slow server among good ones.
type workScorer struct{}

func (workScorer) score(_ *Scheduler, _ time.Time, f *flight, c *candidate) float64 {
	fill := min(c.load/float64(c.server.Slots), 1)
	return serviceOf(f) * c.server.relativeSlowdown() * (1 + crowding*fill)
}

// waitScorer is the time until the server has a free slot.
type waitScorer struct{}

func (waitScorer) score(_ *Scheduler, _ time.Time, f *flight, c *candidate) float64 {
	return c.wait(f) * c.server.relativeSlowdown()
}

// wait returns the seconds until the server, at ordinary speed, has a free slot.
func (c *candidate) wait(f *flight) float64 {
	over := c.load + 1 - float64(c.server.Slots)
	if over <= 0 {
		return 0
	}
	return over / float64(c.server.Slots) * serviceOf(f)
}

// readScorer is the time until the server has read the prompts that it was given
// before. It is for engines whose time goes into reading: a server with few
// requests may have several seconds of it before it.
type readScorer struct{}

func (readScorer) score(_ *Scheduler, _ time.Time, _ *flight, c *candidate) float64 {
	return c.readWait()
}

// prefixScorer credits the server that probably has the prompt's beginning in
// its cache. The hint misleads when the engine has dropped it since.
type prefixScorer struct{}

func (prefixScorer) score(s *Scheduler, now time.Time, f *flight, c *candidate) float64 {
	if f.Prefix == 0 || c.server != s.hinted || c.load > prefixOverload*s.meanLoad+1 {
		return 0
	}
	return -prefixSaves * f.target.currentTimes(now).firstToken.mean
}

// failureScorer is the part of a server's answers that were failures of its own.
// It is for a server that fails part of its requests while its health check is
// good: it gets less, and a pool that fails everywhere alike is left as it is.
type failureScorer struct{}

func (failureScorer) score(_ *Scheduler, _ time.Time, _ *flight, c *candidate) float64 {
	return failureCost * c.server.errorRate.mean
}

func serviceOf(f *flight) float64 {
	if f.need > 0 {
		return f.need
	}
	return unknownService
}
