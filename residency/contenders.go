package residency

import (
	"maps"
	"time"
)

// maxReportAge is the maximum age of an instance's report that it doesn't reach the store. A new
// holder's first order comes later than that after it has won.
const maxReportAge = leaseValidity

// contenders are the instances that could win the lease from its holder, with what each reported
// last about the store. Times are of the holder's clock.
type contenders map[contenderKey]contender

// contenderKey identifies an instance. A process that starts anew at the same address replaces the
// one before it.
type contenderKey struct{ name, addr string }

// contender is the newest report of one instance.
type contender struct {
	reportedAt time.Duration // when the report arrived
	storeDown  bool          // the instance didn't reach the store
	// datedAt is a time before which the report was certainly not composed: when the holder sent
	// the answer that the instance had received by then. A report that was held up on its way is
	// thus not taken for a new one. 0: not known.
	datedAt time.Duration
	// replacedAt is when a process last reported that may have started in place of a registered one,
	// which may have won the lease before it ended. 0: none did.
	replacedAt time.Duration
}

// handleReport records an instance's report. own is the holder's current registration. A report that
// doesn't bear it is that of a process that the holder has not answered yet.
func (c contenders) handleReport(own Registration, report InstanceReport) {
	key := contenderKey{report.Instance, report.Addr}
	earlier, known := c[key]
	state := contender{reportedAt: own.HolderClock, storeDown: report.StoreDown, replacedAt: earlier.replacedAt}
	answered := report.Registration.Token == own.Token
	if answered {
		state.datedAt = report.Registration.HolderClock
	}
	if known && !answered {
		state.replacedAt = own.HolderClock
	}
	c[key] = state
}

// prune removes those that last reported long before the newest renewal: they aren't registered any
// more.
func (c contenders) prune(renewedAt time.Duration) {
	maps.DeleteFunc(c, func(_ contenderKey, state contender) bool {
		return renewedAt-state.reportedAt > registrationTTL+registrationMargin
	})
}

// mayReachStore returns the name of a contender that hasn't just reported that it doesn't reach the
// store, or whose earlier process may have reached it since the newest renewal; ok is false if there
// is none.
func (c contenders) mayReachStore(now, renewedAt time.Duration) (name string, ok bool) {
	c.prune(renewedAt)
	for key, state := range c {
		if !state.consents(now, renewedAt) {
			return key.name, true
		}
	}
	return "", false
}

// consents reports whether the contender's report allows the holder to extend the lease. A renewal
// that was sent after a process had been replaced shows that it has not won.
func (s contender) consents(now, renewedAt time.Duration) bool {
	dated := s.datedAt != 0 && now-s.datedAt <= maxReportAge
	replaced := s.replacedAt != 0 && s.replacedAt >= renewedAt
	return s.storeDown && dated && !replaced
}
