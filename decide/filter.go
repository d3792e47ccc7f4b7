package decide

import (
	"math"
	"time"
)

// candidate is a replica that a request may go to.
type candidate struct {
	replica *replicaState
	server  *serverState
	load    float64 // estimated requests at the server
	unread  float64 // estimated prompt tokens that it has yet to read
	score   float64 // expected seconds to the end of the answer
}

// newCandidate returns a server as a candidate, without its replica.
func newCandidate(now time.Time, s *serverState) candidate {
	return candidate{server: s, load: s.load(now), unread: s.unreadAt(now)}
}

// filter says whether a candidate may get a request at all.
type filter interface {
	keep(s *Scheduler, now time.Time, f *flight, c *candidate) bool
}

// usable are the filters that hold whatever the load is; fitting are those that
// a request can wait for.
var (
	usable  = []filter{liveFilter{}, reachFilter{}, residentFilter{}, avoidFilter{}}
	fitting = []filter{rateFilter{}, roomFilter{}, readFilter{}, apartFilter{}, deadlineFilter{}}
)

// passes says whether the candidate gets through all filters.
func passes(filters []filter, s *Scheduler, now time.Time, f *flight, c *candidate) bool {
	for _, x := range filters {
		if !x.keep(s, now, f, c) {
			return false
		}
	}
	return true
}

// liveFilter drops leaving, recently failed and paused servers. It reads the table, and
// this instance's own attempts, which are ahead of it.
type liveFilter struct{}

func (liveFilter) keep(_ *Scheduler, now time.Time, _ *flight, c *candidate) bool {
	return c.server.listed && !c.server.Leaving && c.server.available(now)
}

// reachFilter drops servers of a failure domain that seems cut off, while any
// others are there.
type reachFilter struct{}

func (reachFilter) keep(s *Scheduler, now time.Time, _ *flight, c *candidate) bool {
	return s.reachCut || !now.Before(c.server.domain.cutOffUntil)
}

// residentFilter drops replicas that lately said they don't have the target, and
// those of servers that lost all that they held.
type residentFilter struct{}

func (residentFilter) keep(_ *Scheduler, now time.Time, f *flight, c *candidate) bool {
	if f.target.Model != "" && c.server.presumedEmpty(now) {
		return false
	}
	return !now.Before(c.replica.unreadyUntil)
}

// avoidFilter drops the server where the request's last attempt failed.
type avoidFilter struct{}

func (avoidFilter) keep(_ *Scheduler, _ time.Time, f *flight, c *candidate) bool {
	return c.server != f.avoid
}

// roomFilter drops servers that are full, for this instance or in all. It is
// for saturation: what doesn't fit waits here, where it can still be refused as
// not run, and not at the server. A server's own short queue is for partners
// that have no more than their share: with slots that free once in seconds at
// any one instance, it is how a partner gets its share back from a flood that
// comes through all instances.
type roomFilter struct{}

func (roomFilter) keep(s *Scheduler, now time.Time, f *flight, c *candidate) bool {
	most := c.server.Slots
	switch s.fill {
	case roomy:
		most = int(math.Ceil(float64(c.server.Slots) * s.nearFill))
	case queueing:
		most += c.server.queueFor(c.server.pool.shareStatus(s.fleet.partnerList, f.target.partner), f.Goal)
	}
	return c.server.room(now, most)
}

const (
	// roomyRead is the time for which a server may have prompts to read and go
	// before one of another failure domain.
	roomyRead = 0.1 // seconds
	// mostRead is the time for which a server may have prompts to read and get one
	// more: enough that it has something to do until the instances have heard that
	// it has room.
	mostRead = 0.4 // seconds
)

// readFilter drops servers that have enough prompts to read. It is for demand
// beyond what a model's servers read: what would wait there for its first token
// waits here, where the request whose goal is nearest goes first and the others can
// still be refused as not run; and the streams that run there aren't held up by
// more reading than they can bear. It brought the most urgent requests that were
// served in time from 48 to 56 in 100 (20 played days of moving demand).
type readFilter struct{}

func (readFilter) keep(s *Scheduler, _ time.Time, _ *flight, c *candidate) bool {
	if s.fill == roomy {
		return c.readWait() <= roomyRead
	}
	return c.readWait() <= mostRead
}

// apartFilter keeps requests that may crash a server from each other, so that
// the next crash tells which of them does.
type apartFilter struct{}

func (apartFilter) keep(_ *Scheduler, _ time.Time, f *flight, c *candidate) bool {
	return !f.Suspect || c.server.suspects == 0
}

// deadlineFilter drops servers too slow for the request's deadline. In a
// server's queue it needs, beside the wait, the time that it will hardly run
// longer than: its slot is one that another could use.
type deadlineFilter struct{}

func (deadlineFilter) keep(s *Scheduler, now time.Time, f *flight, c *candidate) bool {
	need := f.need
	if s.fill == queueing {
		need = f.safe + c.wait(f)
	}
	left := f.left(now)
	return left > 0 && need*max(c.server.relativeSlowdown(), 1) <= left
}
