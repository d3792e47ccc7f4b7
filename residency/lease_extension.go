package residency

import "time"

// A lease holder may extend its lease while the store answers nobody, so that models can still be
// loaded. Nobody else may order meanwhile, so each instance that could win the lease has to agree,
// and one that has not agreed has to wait:
//
//   - The holder registers each instance that reports to it. It extends the lease only while each
//     registered instance has just reported that it doesn't reach the store, and no longer than
//     maxExtension after its newest renewal. A process that replaces a registered one can't tell
//     whether that one has won, so its report counts from the holder's next renewal on.
//   - Before that the holder records itself in the store, and renews once more. An instance that
//     wins the lease later reads the record.
//   - A winner that the recorded holder has lately registered orders after takeoverWait. One that
//     it has not registered orders once the process at the recorded address knows the winner's
//     token, or else after the longest extension.

const (
	// maxExtension is how long after its newest renewal a holder may order. It covers store
	// outages of about nine seconds.
	maxExtension = 10 * time.Second
	// registrationTTL is how long an instance counts as registered after it sent the report that
	// the holder answered: about twice the time in which another member wins the lease of a
	// holder that has ended.
	registrationTTL = 6 * time.Second
	// registrationMargin is how much longer the holder counts it, for clocks that run at
	// different rates.
	registrationMargin = 500 * time.Millisecond
)

// Registration says that a holder counts an instance among those that could win the lease.
type Registration struct {
	Token       int64         // the holder's fencing token; 0: not registered
	HolderClock time.Duration // the holder's clock when it answered; it means nothing to others
}

// registration is the newest registration with the time on this instance's clock when the report
// was sent that the holder answered.
type registration struct {
	Registration
	sentAt time.Duration
}

// extendable reports whether the holder may extend the lease as far as it can tell by itself: it
// has recorded itself and renewed since, and its newest renewal isn't too old. The lock is held.
func (l *Lease) extendable(now time.Duration) bool {
	return l.term.recorded && l.renewedAt > l.term.recordedAt && now-l.renewedAt < maxExtension
}

// Register returns the registration to answer a report with that arrives now. Its token is 0 if the
// lease isn't held. It is also given while the holder may not order: the winners of later terms
// compare its token with the recorded one.
func (l *Lease) Register() Registration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Registration{Token: l.epoch, HolderClock: l.clock()}
}

// ObserveRegistration records that the lease holder answered a report with a registration. sentAt
// is the time by Now when the report was sent.
func (l *Lease) ObserveRegistration(r Registration, sentAt time.Duration) {
	if r.Token == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registration = registration{r, sentAt}
}

// Registration returns the newest registration, to be returned to the holder.
func (l *Lease) Registration() Registration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registration.Registration
}

// Registered reports whether a lease holder has lately registered this instance.
func (l *Lease) Registered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registration.Token != 0 && l.clock()-l.registration.sentAt < registrationTTL
}

// Now returns the time of the lease's clock.
func (l *Lease) Now() time.Duration { return l.clock() }

// newestRenewal returns when the newest answered renewal was sent.
func (l *Lease) newestRenewal() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt
}

// Expired reports whether the lease is held, orders may have been sent, and the newest renewal has
// expired.
func (l *Lease) Expired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.epoch != 0 && now >= l.term.orderFrom && now-l.renewedAt >= leaseValidity
}
