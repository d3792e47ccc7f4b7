package residency

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/supervise"
)

// A lease holder may extend its lease while the store answers nobody, so that models can still be
// loaded. Nobody else may order meanwhile, so each instance that could win the lease has to agree,
// and one that has not agreed has to wait:
//
//   - The holder registers each instance that reports to it. It extends the lease only while each
//     registered instance has just reported that it doesn't reach the store, and no longer than
//     maxExtension after its newest renewal.
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
	// settleInterval is the pause between two attempts to find out whether the previous holder
	// may still order, or to record this one.
	settleInterval = 300 * time.Millisecond
	// settleTimeout bounds one such call.
	settleTimeout = 500 * time.Millisecond
)

// AskToken asks the process at a member's address for the highest fencing token that it knows, and
// tells it this instance's.
type AskToken func(ctx context.Context, member string) (Token, error)

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

// term is the time from winning the lease until losing it.
type term struct {
	wonAt      time.Duration
	orderFrom  time.Duration // no order is sent earlier
	decided    bool          // orderFrom doesn't depend on what the store has still to tell
	previous   Token         // holder that may still order; its number is 0 if there is none
	recorded   bool          // this holder has recorded itself
	recordedAt time.Duration // when the store had answered that
}

// OnPreviousHolder sets the function that asks a previous holder's process for its token. It must
// be called before RunTerms.
func (l *Lease) OnPreviousHolder(ask AskToken) { l.askToken = ask }

// beginTerm begins the term of a lease that was just won. Until the store has told who may still
// order, the term assumes the longest extension. The lock is held.
func (l *Lease) beginTerm() {
	now := l.clock()
	l.term = &term{wonAt: now, orderFrom: now + maxExtension + orderFlight}
	select {
	case l.wonSignal <- struct{}{}:
	default: // already signaled
	}
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

// Now returns the time of the lease's clock.
func (l *Lease) Now() time.Duration { return l.clock() }

// renewedAtTime returns when the newest answered renewal was sent.
func (l *Lease) renewedAtTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt
}

// Waiting reports whether the lease is held with a valid renewal and the first order waits until a
// previous holder has certainly stopped.
func (l *Lease) Waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.epoch != 0 && now < l.term.orderFrom && now-l.renewedAt < leaseValidity
}

// Expired reports whether the lease is held, orders may have been sent, and the newest renewal has
// expired.
func (l *Lease) Expired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.epoch != 0 && now >= l.term.orderFrom && now-l.renewedAt >= leaseValidity
}

// RunTerms is the duty that settles each term: it finds out how long to wait for the previous
// holder, and records this one. It runs until ctx ends.
func (l *Lease) RunTerms(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wonSignal:
		}
		for l.settle(ctx) {
			if !supervise.Pause(ctx, settleInterval) {
				return nil
			}
		}
	}
}

// settle takes the next step of the current term, and reports whether another one is left.
func (l *Lease) settle(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	l.mu.Lock()
	t := l.term
	if t == nil {
		l.mu.Unlock()
		return false
	}
	state, waiting := *t, l.clock() < t.orderFrom
	l.mu.Unlock()
	switch {
	case !state.decided:
		l.readHolders(ctx, t)
	case waiting && state.previous.Number != 0:
		l.askPrevious(ctx, t, state.previous)
	case waiting:
	case !state.recorded:
		l.record(ctx, t)
	default:
		return false
	}
	return true
}

// readHolders reads from the store who may still order, and decides how long the term waits.
func (l *Lease) readHolders(ctx context.Context, t *term) {
	holders, err := l.group.Holders(ctx)
	if err != nil {
		l.log.WithField("error", err).Warn("previous lease holders not known")
		return
	}
	var previous Token
	for _, h := range holders {
		if h.Number > previous.Number {
			previous = h
		}
	}
	l.ObserveToken(previous)
	l.mu.Lock()
	defer l.mu.Unlock()
	t.decided = true
	registered := l.registration.Token == previous.Number && t.wonAt-l.registration.sentAt < registrationTTL
	if previous.Number == 0 || previous.Holder == l.member || registered {
		t.orderFrom = t.wonAt + takeoverWait
		return
	}
	t.previous = previous
	l.log.WithFields(logrus.Fields{
		"previous": previous.Holder, "previous_token": previous.Number, "longest_ms": (t.orderFrom - l.clock()).Milliseconds(),
	}).Warn("previous lease holder may still order")
}

// askPrevious asks the process at the previous holder's address whether it knows this holder's
// token. If it does, it is another process by now, or it has lost its lease.
func (l *Lease) askPrevious(ctx context.Context, t *term, previous Token) {
	if l.askToken == nil {
		return
	}
	known, err := l.askToken(ctx, previous.Holder)
	if err != nil {
		l.log.WithFields(logrus.Fields{"previous": previous.Holder, "error": err}).Debug("previous lease holder does not answer")
		return
	}
	l.ObserveToken(known)
	l.mu.Lock()
	defer l.mu.Unlock()
	if t != l.term || known != (Token{l.epoch, l.member}) {
		return
	}
	now := l.clock()
	t.orderFrom = min(t.orderFrom, max(t.wonAt+takeoverWait, now+orderFlight))
	t.previous = Token{}
	l.log.WithFields(logrus.Fields{"previous": previous.Holder, "waited_ms": (now - t.wonAt).Milliseconds()}).Info("previous lease holder has stopped")
}

// record records this holder in the store, so that it may extend the lease, and removes the records
// of those before it.
func (l *Lease) record(ctx context.Context, t *term) {
	own := l.Token()
	if own.Holder != l.member {
		return
	}
	holders, err := l.group.Holders(ctx)
	if err == nil {
		err = l.group.SaveHolder(ctx, own)
	}
	if err != nil {
		l.log.WithField("error", err).Warn("lease holder not recorded")
		return
	}
	l.mu.Lock()
	if t == l.term && own.Number == l.epoch {
		t.recorded, t.recordedAt = true, l.clock()
	}
	l.mu.Unlock()
	for _, h := range holders {
		if h.Number >= own.Number || h.Holder == l.member {
			continue
		}
		if err := l.group.RemoveHolder(ctx, h.Holder); err != nil {
			l.log.WithFields(logrus.Fields{"previous": h.Holder, "error": err}).Warn("record of a previous lease holder not removed")
		}
	}
}

// removeRecord removes this instance's record from the store, if there may be one.
func (l *Lease) removeRecord(ctx context.Context) {
	l.mu.Lock()
	held := l.ownToken != 0
	l.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := l.group.RemoveHolder(ctx, l.member); err != nil {
		l.log.WithField("error", err).Warn("record of the lease holder not removed")
	}
}
