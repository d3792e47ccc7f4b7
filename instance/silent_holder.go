package instance

import (
	"time"

	"github.com/sirupsen/logrus"
)

// silentHolder tells since when a lease holder does not answer. It does no I/O and is not safe for
// concurrent use.
type silentHolder struct {
	addr  string    // the holder's address; empty: the holder answers, or none is known
	since time.Time // when it first did not answer
}

// onFailure records a Sync call that the holder at an address refused, since it holds the lease no
// longer, or did not answer.
func (s *silentHolder) onFailure(now time.Time, addr string, refused bool) {
	switch {
	case refused:
		*s = silentHolder{}
	case addr != s.addr:
		*s = silentHolder{addr, now}
	}
}

// onHolder records the address of the holder that the store names, empty if it names none.
func (s *silentHolder) onHolder(addr string) {
	if addr != s.addr {
		*s = silentHolder{}
	}
}

// onAnswer records that a holder answered.
func (s *silentHolder) onAnswer() { *s = silentHolder{} }

// recent reports whether a holder has been silent for less than the given time.
func (s *silentHolder) recent(now time.Time, d time.Duration) bool {
	return s.addr != "" && now.Sub(s.since) < d
}

// shouldCompete reports whether this instance should compete for the lease now. An instance that no
// holder has registered leaves the lease of a silent one to those that are registered: if it won, it
// would have to wait much longer before it may order (residency/lease_extension.go). They have won
// once the silent holder's membership has expired; if there are none, it competes from then on.
func (s *syncer) shouldCompete(now time.Time) bool {
	return s.holderLocator.shouldCompete(now) && !s.yields(now)
}

// yields reports whether this instance leaves the lease to those that are registered.
func (s *syncer) yields(now time.Time) bool {
	return !s.instance.lease.Registered() && s.silent.recent(now, s.instance.opts.Node.LeaseTTL)
}

// competeAfterLoss has this instance compete, if it should, after the holder that the store names was
// lost.
func (s *syncer) competeAfterLoss(now time.Time) {
	switch {
	case s.shouldCompete(now):
		s.instance.lease.ObserveVacancy()
	case s.yields(now):
		s.instance.log.WithFields(logrus.Fields{"holder": s.silent.addr, "silent_ms": ageMs(s.silent.since)}).Info("lease left to registered instances")
	}
}
