package residency

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/supervise"
)

const (
	// settleInterval is the pause between two attempts to find out whether the previous holder
	// may still order, or to record this one.
	settleInterval = 300 * time.Millisecond
	// settleTimeout bounds one such call.
	settleTimeout = 500 * time.Millisecond
)

// AskToken asks the process at a member's address for the highest fencing token that it knows, and
// tells it this instance's.
type AskToken func(ctx context.Context, member string) (Token, error)

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

// Waiting reports whether the lease is held with a valid renewal and the first order waits until a
// previous holder has certainly stopped.
func (l *Lease) Waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.epoch != 0 && now < l.term.orderFrom && now-l.renewedAt < leaseValidity
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
	l.removeEarlier(ctx, holders, own)
}

// removeEarlier removes the records of the holders before this one. A record that stays is harmless:
// only the one with the highest token counts.
func (l *Lease) removeEarlier(ctx context.Context, holders []Token, own Token) {
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
