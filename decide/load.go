package decide

import (
	"math"
	"time"

	"greengageferry/infra"
)

const (
	// reportHalfLife is the time in which the weight of a load report halves. Reports
	// arrive with answers and are exchanged about once per second; after a few seconds
	// they say little about a batch of short requests.
	reportHalfLife = 2 * time.Second
	// maxReportAge is the age of the newest report after which an instance falls back to
	// its fair share of a server, since the slots it borrowed may be in use.
	maxReportAge = 10 * time.Second
	// othersSmoothing is the weight of a report in the moving average of other instances'
	// load.
	othersSmoothing = 0.2
	// serverQueueFraction is the number of requests that may wait at a server, over all
	// instances, as a fraction of its slots. It is large enough that no slot idles for the
	// delay of a report, and small enough that most requests wait at instances, where they
	// can be ordered by deadline and partner and refused as not run.
	serverQueueFraction = 0.5
	// underShareQueueFraction is the same for a partner with less than its share while
	// another has more. At any one instance slots free only once in seconds, but the
	// server's next free slot, whoever held it, goes to the first request that waits
	// there.
	underShareQueueFraction = 1.25
	// goalQueueFraction is the part of its first-token goal that a request may wait at a
	// server whose slots free fast. maxFastQueueRatio bounds the requests that may wait
	// there, as a multiple of its slots; servers refuse more than a few times their slots.
	goalQueueFraction = 0.25
	maxFastQueueRatio = 2
	// minHoldSamples is the number of slot holding times that must be known before a
	// pool's slots can count as freeing fast. The first few requests at a model server may
	// all be short.
	minHoldSamples = 8
	// windowDecrease is the multiplicative decrease of an instance's window when requests
	// wait at the server, so that the windows of all instances come down to its slots
	// within a few reports.
	windowDecrease = 0.8
)

// setFairShare sets the instance's fair share of the server's slots, from the number of
// instances in the server's failure domain. Without it all instances that read the same
// stale report could send to the same server at once.
func (s *serverState) setFairShare(instances int) {
	s.slotShare = max(1, float64(s.Slots)*(1+serverQueueFraction)/float64(max(instances, 1)))
	s.window = max(s.window, s.slotShare)
}

// updateLoad applies a load report. The window, the number of requests that this instance
// may have at the server, grows with each report that shows free slots, so that idle slots
// are lent to whoever needs them. It shrinks toward the fair share while too many requests
// wait at the server.
func (s *serverState) updateLoad(now time.Time, load infra.Load, age time.Duration) {
	at := now.Add(-age)
	if at.Before(s.reportedAt) {
		return
	}
	s.report, s.reportedAt, s.ownAtReport, s.unreadAtReport = load, at, s.own, s.unread
	s.othersUnread += othersSmoothing * (float64(max(load.UnreadTokens-s.unread, 0)) - s.othersUnread)
	s.othersInFlight += othersSmoothing * (float64(max(load.Running+load.Waiting-s.own, 0)) - s.othersInFlight)
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	free := float64(s.Slots - load.Running - load.Waiting)
	switch {
	case free > 0:
		s.window = max(s.window, min(float64(s.own)+1+free*s.slotShare/float64(s.Slots), float64(s.requestLimit())))
	case load.Waiting > s.requestLimit()-s.Slots:
		s.window = max(s.slotShare, min(s.window, float64(s.own))*windowDecrease)
	}
}

// requestLimit is the number of requests, of all instances, that the server should have at
// most.
func (s *serverState) requestLimit() int {
	if s.noQueue {
		return s.Slots
	}
	return s.Slots + int(math.Ceil(float64(s.Slots)*serverQueueFraction))
}

// load estimates the requests at the server: this instance's own exactly, the others' from
// the newest report. As the report ages, it gives way to the others' recent mean and not
// to zero: a silent server isn't an empty one.
func (s *serverState) load(now time.Time) float64 {
	return s.addOthers(now, s.own, s.report.Running+s.report.Waiting-s.ownAtReport, s.othersInFlight, reportHalfLife)
}

// addOthers adds the other instances' amount at the server to own: the reported amount,
// which gives way to their recent mean as the report ages.
func (s *serverState) addOthers(now time.Time, own, reported int, mean float64, halfLife time.Duration) float64 {
	if s.reportedAt.IsZero() {
		return float64(own)
	}
	w := reportWeight(now.Sub(s.reportedAt), halfLife)
	return float64(own) + w*float64(max(reported, 0)) + (1-w)*mean
}

// loadAge returns the age of the newest load report, 0 if there is none.
func (s *serverState) loadAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(s.reportedAt)
}

// reportWeight returns the weight of a report of the given age, from 1 down to 0.
func reportWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// queueAllowance returns the number of requests that may wait at the server for a partner
// of that share to add a request with that first-token goal.
func (s *serverState) queueAllowance(share shareStatus, goal time.Duration) int {
	if s.noQueue {
		return s.fastServerQueue(goal)
	}
	switch share {
	case underShare:
		return int(math.Ceil(float64(s.Slots) * underShareQueueFraction))
	case overShare:
		return (s.requestLimit() - s.Slots) / 2
	}
	return s.requestLimit() - s.Slots
}

// fastServerQueue returns the number of requests that may wait at a server whose slots
// free faster than load reports arrive: those that get a slot within goalQueueFraction of
// the goal. Reports say little about the current load of such a server: by them it may look
// full until the next one comes, though its slots have long been free.
func (s *serverState) fastServerQueue(goal time.Duration) int {
	if !s.slotsFreeFast() {
		return 0
	}
	if !s.pool.holdSeconds.warm() {
		return s.Slots
	}
	return min(int(goalQueueFraction*goal.Seconds()/max(s.pool.holdSeconds.mean, minHoldTime)*float64(s.Slots)), maxFastQueueRatio*s.Slots)
}

// slotsFreeFast reports whether the server's slots free faster than load reports arrive.
// For a plain service this is assumed until enough slot holding times are known, which may
// take long: an instance may get one request per second.
func (s *serverState) slotsFreeFast() bool {
	held := s.pool.holdSeconds
	if held.n < minHoldSamples {
		return len(s.servedTargets) > 0 && s.servedTargets[0].target.Service
	}
	return held.mean+held.dev < ArrivalHorizon.Seconds()
}

// hasRoom reports whether the instance may send one more request to the server, which then
// has at most limit requests.
func (s *serverState) hasRoom(now time.Time, limit int) bool {
	if s.quotaApplies(now) {
		return s.quota.remaining > 0
	}
	window := s.window
	if now.Sub(s.reportedAt) > maxReportAge {
		window = s.slotShare
	}
	if float64(s.own)+1 > math.Floor(window) {
		return false
	}
	return s.load(now)+1 <= float64(limit)
}
