package residency

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Group is the platform's group membership: it assigns each partition to one member at
// a time. The member with the first partition holds the lease.
type Group interface {
	// Join adds the member to the group or extends its membership.
	Join(ctx context.Context, group, topic, member string, ttl time.Duration, generation int64) (Membership, error)
	// Leave removes the member from the group.
	Leave(ctx context.Context, group, member string) error
	// Owner returns the member that holds a partition, empty if none does.
	Owner(ctx context.Context, group string, partition int) (string, error)

	// SaveHolder records a lease holder that may go on ordering after its renewal has expired.
	SaveHolder(ctx context.Context, holder Token) error
	// RemoveHolder removes a member's record.
	RemoveHolder(ctx context.Context, member string) error
	// Holders returns the records of all holders.
	Holders(ctx context.Context) ([]Token, error)
}

// Token is a fencing token and the member whose orders carry it.
type Token struct {
	Number int64 // 0: none
	Holder string
}

// Membership is the result of a member's join.
type Membership struct {
	Era        int64 // of the store; increases each time it is restored from an older copy, 0: not reported
	Generation int64 // of the group; increases with each change within an era
	Partitions []int // held by the member
}

const (
	// group and topic name the membership at the platform.
	group = "residency"
	topic = "residency"
	// leasePartition is the partition whose owner holds the lease.
	leasePartition = 0

	// renewInterval is the time between two renewals. Several fit into the lease's TTL,
	// and a renewal counts as a tenth of a store call.
	renewInterval = 700 * time.Millisecond
	// renewTimeout bounds one renewal call.
	renewTimeout = 500 * time.Millisecond
	// leaseValidity is how long after sending a renewal the holder may send orders
	// without another one: one renewal interval and its timeout. A store that returns
	// from an outage may assign the lease to another member at once, whatever is left
	// of its TTL.
	leaseValidity = renewInterval + renewTimeout
	// orderFlight is how long an order may be in flight.
	orderFlight = orderTimeout / 2
	// takeoverWait is how long a new holder waits before its first order, so that a
	// previous holder that can't extend its lease has certainly stopped.
	takeoverWait = leaseValidity + orderFlight
)

// Clock returns the time since some fixed moment, including time during which the
// machine was suspended: a holder that was suspended must not assume that its lease is
// still valid.
type Clock func() time.Duration

// Lease is this instance's view of the lease, whose holder alone may send orders, and
// its competition for it. An epoch of 0 means that the instance doesn't hold the lease.
type Lease struct {
	group  Group
	member string
	ttl    time.Duration
	clock  Clock
	log    logrus.FieldLogger

	mu           sync.Mutex
	generation   int64
	era          int64         // newest known era of the store, 0: none
	otherToken   Token         // the highest known fencing token of other members
	ownToken     int64         // the newest fencing token of this member
	epoch        int64         // the fencing token while the lease is held; see nextToken and ObserveToken
	term         *term         // nil while the lease isn't held; see beginTerm
	registration registration  // the newest of a lease holder
	renewedAt    time.Duration // when the newest answered renewal was sent
	failing      bool          // the last renewal was not answered
	onRecovery   func()        // called when a renewal is answered after one was not; may be nil
	onEra        func(int64)   // called with the store era of each answered renewal; may be nil
	candidate    bool          // the lease holder last reported that this instance is a candidate
	vacant       bool          // the store reported no holder, and no holder has answered since
	competeUntil time.Duration // the instance competes until then even if it isn't a candidate
	barred       bool          // see SetBarred
	joined       bool          // the instance has sent a renewal and hasn't left the group since
	joinSignal   chan struct{} // capacity 1; signaled when the instance starts to compete
	wonSignal    chan struct{} // capacity 1; signaled when the lease is won
	askToken     AskToken      // see OnPreviousHolder; may be nil
}

// NewLease returns a lease that isn't held. The member name must be unique to this
// start of the instance.
func NewLease(g Group, member string, ttl time.Duration, clock Clock, log logrus.FieldLogger) *Lease {
	return &Lease{group: g, member: member, ttl: ttl, clock: clock, log: log, joinSignal: make(chan struct{}, 1), wonSignal: make(chan struct{}, 1)}
}

// Member returns the name under which this instance competes.
func (l *Lease) Member() string { return l.member }

// OnRecovery sets a function to call whenever a renewal is answered after one was not,
// which means that the store or the connection to it is back. It must be called before
// Run.
func (l *Lease) OnRecovery(f func()) { l.onRecovery = f }

// OnEra sets a function to call with the store era of each answered renewal. It must be
// called before Run.
func (l *Lease) OnEra(f func(era int64)) { l.onEra = f }

// Run renews while the instance competes for the lease, until ctx ends, and then gives
// up the lease.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.Competes() {
			l.renew(ctx)
		} else {
			l.leaveGroup(ctx)
		}
		l.waitForRenewal(ctx)
	}
	l.lose("ending")
	l.removeRecord(context.WithoutCancel(ctx))
	l.leaveGroup(context.WithoutCancel(ctx))
	return nil
}

// waitForRenewal waits until the next renewal is due or the instance starts to compete.
func (l *Lease) waitForRenewal(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.joinSignal:
	}
}

// leaveGroup removes the instance from the group if it has joined.
func (l *Lease) leaveGroup(ctx context.Context) {
	l.mu.Lock()
	joined := l.joined
	l.joined = false
	l.mu.Unlock()
	if !joined {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if err := l.group.Leave(ctx, group, l.member); err != nil {
		l.log.WithField("error", err).Warn("leaving the group failed")
	}
}

// renew sends one renewal and processes its answer.
func (l *Lease) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	l.mu.Lock()
	generation := l.generation
	l.joined = true
	l.mu.Unlock()
	sent := l.clock()
	m, err := l.group.Join(ctx, group, topic, l.member, l.ttl, generation)
	if err != nil {
		l.renewalFailed(err)
		return
	}
	recovered := l.renewalAnswered(sent, m)
	if l.onEra != nil {
		l.onEra(m.Era)
	}
	if recovered && l.onRecovery != nil {
		l.onRecovery()
	}
}

// ObserveEra processes the store era that the store or another instance reported; 0 means
// not reported. A newer era means that the store was restored from an older copy: a lease
// that is held is lost, since the restored store may have assigned it to another member.
func (l *Lease) ObserveEra(era int64) {
	l.mu.Lock()
	restored := era > l.era && l.era != 0
	l.era = max(l.era, era)
	if restored {
		l.generation = 0 // the restored group may have a lower generation
	}
	l.mu.Unlock()
	if restored {
		l.lose("store restored from an older copy")
	}
}

// ObserveToken processes a fencing token that another instance reported. If it is as high
// as that of a held lease, another member has won the lease meanwhile, and this one has
// lost it. During the wait before the first order, the own token is raised
// instead: the other member may be the previous holder.
func (l *Lease) ObserveToken(t Token) {
	l.mu.Lock()
	if t.Number <= l.otherToken.Number || t.Holder == l.member {
		l.mu.Unlock()
		return
	}
	l.otherToken = t
	superseded := l.epoch != 0 && l.epoch <= t.Number
	if superseded && l.clock() < l.term.orderFrom {
		l.epoch, l.ownToken = t.Number+1, t.Number+1
		l.log.WithFields(logrus.Fields{"epoch": l.epoch, "other_token": t.Number, "other_holder": t.Holder}).Info("lease's token raised")
		superseded = false
	}
	l.mu.Unlock()
	if superseded {
		l.lose("superseded by " + t.Holder)
	}
}

// nextToken returns the fencing token of a lease won in a generation: the generation
// itself unless this member's newest token is higher or another member's is at least as
// high, as after a restore of the store. The lock is held.
func (l *Lease) nextToken(generation int64) int64 {
	if l.ownToken > generation { // another member may have used the same number
		return max(l.ownToken, l.otherToken.Number) + 1
	}
	return max(generation, l.otherToken.Number+1)
}

// Token returns the highest fencing token known to this instance; its number is 0 if
// none is known.
func (l *Lease) Token() Token {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ownToken >= l.otherToken.Number {
		return Token{l.ownToken, l.member}
	}
	return l.otherToken
}

// renewalFailed records a renewal without an answer and logs the first in a row.
func (l *Lease) renewalFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failing {
		l.failing = true
		l.log.WithFields(logrus.Fields{"renewed_ms": (l.clock() - l.renewedAt).Milliseconds(), "holds": l.epoch != 0, "error": err}).Warn("lease renewals fail")
	}
}

// renewalAnswered processes the answer to a renewal and reports whether the previous
// renewal had none.
func (l *Lease) renewalAnswered(sent time.Duration, m Membership) (recovered bool) {
	l.ObserveEra(m.Era)
	holds := slices.Contains(m.Partitions, leasePartition)
	if !holds {
		l.lose("passed on")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Era != 0 && m.Era < l.era {
		return false // an answer from before the restore must not renew or win the lease
	}
	if recovered = l.failing; recovered {
		l.failing = false
		l.log.WithField("gap_ms", (sent - l.renewedAt).Milliseconds()).Info("lease renewals succeed again")
	}
	// After a gap, another member may have held the partition in the meantime.
	newTerm := l.epoch == 0 || sent-l.renewedAt >= leaseValidity
	l.generation = m.Generation
	l.renewedAt = sent
	if !holds || l.barred {
		return recovered
	}
	if newTerm { // otherwise the epoch stays, so that a delayed order never carries a lower one
		l.epoch = l.nextToken(m.Generation)
		l.ownToken = l.epoch
		l.beginTerm()
		l.log.WithFields(logrus.Fields{"epoch": l.epoch}).Info("lease won")
	}
	return recovered
}

// lose drops the lease if it is held, and logs the reason.
func (l *Lease) lose(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != 0 {
		l.log.WithFields(logrus.Fields{"epoch": l.epoch, "reason": reason, "held_ms": (l.clock() - l.term.wonAt).Milliseconds()}).Info("lease lost")
		l.epoch, l.term = 0, nil
	}
}

// Holds reports whether this instance holds the lease as far as it knows. It may still
// be in the takeover wait, or its newest renewal may have expired.
func (l *Lease) Holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch != 0
}

// Epoch returns the fencing token for an order sent now, or 0 if none may be sent.
// storeUnreachable reports whether no instance that could win the lease reaches the store;
// then the holder may extend the lease after its newest renewal has expired.
func (l *Lease) Epoch(storeUnreachable func() bool) int64 {
	l.mu.Lock()
	now := l.clock()
	epoch := l.epoch
	mayOrder := epoch != 0 && now >= l.term.orderFrom
	valid := now-l.renewedAt < leaseValidity
	extendable := mayOrder && l.extendable(now)
	l.mu.Unlock()
	switch {
	case !mayOrder:
		return 0
	case valid:
		return epoch
	case extendable && storeUnreachable():
		return epoch
	}
	return 0
}

// Owner returns the name of the member that holds the lease, empty if none does.
func (l *Lease) Owner(ctx context.Context) (string, error) {
	return l.group.Owner(ctx, group, leasePartition)
}
