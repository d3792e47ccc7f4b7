package decide

import (
	"math"
	"time"

	"greengageferry/infra"
)

const (
	// reportHalfLife is how long a load report keeps half of its weight. Reports
	// ride on answers and are exchanged about once a second; one that is older
	// than a few seconds says little about a batch of requests that short.
	reportHalfLife = 2 * time.Second
	// reportTooOld is when an instance falls back to its own part of a server,
	// since what it was lent may be in use.
	reportTooOld = 10 * time.Second
	// othersMemory is the weight of a report in the others' mean load.
	othersMemory = 0.2
	// engineQueue is the part of its slots that a server may have waiting, over
	// all instances: enough that a slot never idles for a report's lag, few
	// enough that most requests wait here, where they can still be refused as
	// not run and ordered by deadline and partner.
	engineQueue = 0.5
	// underQueue is the same for a partner that has less than its share while
	// another has more: any one instance's slots free once in seconds, but the
	// server's next slot, whoever had it, goes to the first that waits there.
	underQueue = 1.25
	// goalQueue is the part of its goal that a request may wait in the queue of a
	// server whose slots free fast, and mostShort how many times its slots may wait
	// there at most: servers refuse more than a few times that.
	goalQueue = 0.25
	mostShort = 2
	// fastSamples is how many requests must have held a slot before a pool's slots
	// are taken to free fast: of a model server the first few may all be short ones.
	fastSamples = 8
	// windowShrink is what an instance keeps of its window when a report shows
	// requests waiting at the server, so that all instances' windows together
	// come down to its slots within a few reports.
	windowShrink = 0.8
)

// setPart works out the instance's part of the server's slots from the number
// of instances in the server's failure domain. It is for instances that all ask
// for the same server at once while they read the same stale report.
func (s *serverState) setPart(instances int) {
	s.slotShare = max(1, float64(s.Slots)*(1+engineQueue)/float64(max(instances, 1)))
	s.window = max(s.window, s.slotShare)
}

// reported takes in a load report. A window grows with each report that shows
// free slots, so that idle slots are lent to whoever asks, and falls back to
// the instance's part while requests wait at the server.
func (s *serverState) reported(now time.Time, load infra.Load, age time.Duration) {
	at := now.Add(-age)
	if at.Before(s.reportedAt) {
		return
	}
	s.report, s.reportedAt, s.ownAtReport, s.unreadAtReport = load, at, s.own, s.unread
	s.othersUnread += othersMemory * (float64(max(load.UnreadTokens-s.unread, 0)) - s.othersUnread)
	s.othersInFlight += othersMemory * (float64(max(load.Running+load.Waiting-s.own, 0)) - s.othersInFlight)
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	free := float64(s.Slots - load.Running - load.Waiting)
	switch {
	case free > 0:
		s.window = max(s.window, min(float64(s.own)+1+free*s.slotShare/float64(s.Slots), float64(s.limit())))
	case load.Waiting > s.limit()-s.Slots:
		s.window = max(s.slotShare, min(s.window, float64(s.own))*windowShrink)
	}
}

// limit is how many requests, of all instances, the server should have.
func (s *serverState) limit() int {
	if s.noQueue {
		return s.Slots
	}
	return s.Slots + int(math.Ceil(float64(s.Slots)*engineQueue))
}

// load estimates how many requests the server has: this instance's own,
// exactly, and the others' from the report. As that ages it gives way to their
// recent mean, and never to zero: a server doesn't empty because it is silent.
func (s *serverState) load(now time.Time) float64 {
	return s.withOthers(now, s.own, s.report.Running+s.report.Waiting-s.ownAtReport, s.othersInFlight, reportHalfLife)
}

// withOthers adds to this instance's own what the others have at the server: as
// the report said, giving way to their recent mean as it ages.
func (s *serverState) withOthers(now time.Time, own, reported int, mean float64, halfLife time.Duration) float64 {
	if s.reportedAt.IsZero() {
		return float64(own)
	}
	w := trust(now.Sub(s.reportedAt), halfLife)
	return float64(own) + w*float64(max(reported, 0)) + (1-w)*mean
}

// loadAge returns how old the newest report is, 0 where there is none.
func (s *serverState) loadAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(s.reportedAt)
}

// trust is the weight of a report of an age, from 1 down to 0.
func trust(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// queueFor returns how many requests may wait at the server for a partner to
// add one with a goal.
func (s *serverState) queueFor(st shareStatus, goal time.Duration) int {
	if s.noQueue {
		return s.shortQueue(goal)
	}
	switch st {
	case underShare:
		return int(math.Ceil(float64(s.Slots) * underQueue))
	case overShare:
		return (s.limit() - s.Slots) / 2
	}
	return s.limit() - s.Slots
}

// shortQueue returns how many requests may wait at a server whose slots free more
// often than it is reported of: those that get a slot within goalQueue of the goal.
// What was reported of such a server says little of what it has now. Each of 295
// instances that took its servers for full, while 30 of their 60 slots were, held
// its requests until the next report: half of them for 0.7 s, of a goal of 0.3.
func (s *serverState) shortQueue(goal time.Duration) int {
	if !s.fast() {
		return 0
	}
	if !s.pool.held.warm() {
		return s.Slots
	}
	return min(int(goalQueue*goal.Seconds()/max(s.pool.held.mean, minHoldTime)*float64(s.Slots)), mostShort*s.Slots)
}

// fast says whether the server's slots free more often than it is reported of. A
// plain service's are taken to until enough requests have shown how long they hold
// one: an instance may get one in a second.
func (s *serverState) fast() bool {
	held := s.pool.held
	if held.n < fastSamples {
		return len(s.servedTargets) > 0 && s.servedTargets[0].target.Service
	}
	return held.mean+held.dev < ArrivalHorizon.Seconds()
}

// room says whether the instance may send the server one more request, so that
// it has at most so many.
func (s *serverState) room(now time.Time, most int) bool {
	if s.quota.limited && now.Sub(s.quota.lastReportAt) < quotaTTL {
		return s.quota.remaining > 0
	}
	window := s.window
	if now.Sub(s.reportedAt) > reportTooOld {
		window = s.slotShare
	}
	if float64(s.own)+1 > math.Floor(window) {
		return false
	}
	return s.load(now)+1 <= float64(most)
}
