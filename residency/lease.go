package residency

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Group is the platform's group membership: it deals partitions out to members,
// each to one at a time. The member with the first partition holds the lease.
type Group interface {
	// Join adds the member to the group or extends its membership.
	Join(ctx context.Context, group, topic, member string, ttl time.Duration, generation int64) (Membership, error)
	// Leave takes the member out.
	Leave(ctx context.Context, group, member string) error
	// Owner returns the member that holds a partition, empty if none does.
	Owner(ctx context.Context, group string, partition int) (string, error)
}

// Token is a fencing token with the member whose orders carry it.
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
	// leasePartition is the partition whose member holds the lease.
	leasePartition = 0

	// joinEvery is the time between two renewals: several fit into the lease's
	// time, and one counts as a tenth of a call.
	joinEvery = 700 * time.Millisecond
	// joinTimeout bounds one renewal.
	joinTimeout = 500 * time.Millisecond
	// heldFor is how long after a renewal was sent its holder orders without
	// another: one renewal with its timeout. A store that comes back may pass
	// the lease on at once, whatever is left of its time.
	heldFor = joinEvery + joinTimeout
	// takeover is how long a new holder waits before its first order, so that an
	// earlier one has surely stopped: heldFor and an order's flight.
	takeover = heldFor + orderTimeout/2
	// withdrawAfter is how long an instance that isn't a candidate any more goes
	// on renewing, so that one word that was wrong doesn't have it leave: each that
	// leaves or comes may have the platform pass the lease on.
	withdrawAfter = time.Second
)

// Clock returns the time since some fixed moment, time during which the machine
// was suspended included: a holder that was suspended must not believe that its
// lease still runs.
type Clock func() time.Duration

// Lease is this instance's part in who may order. The zero epoch means that it
// doesn't hold the lease.
type Lease struct {
	group  Group
	member string
	ttl    time.Duration
	clock  Clock
	log    logrus.FieldLogger

	mu         sync.Mutex
	generation int64
	era        int64         // newest known era of the store, 0: none
	otherToken Token         // the highest known fencing token of other members
	ownToken   int64         // the newest fencing token of this member
	epoch      int64         // the fencing token while the lease is held; see nextToken and ObserveToken
	won        time.Duration // when
	renewed    time.Duration // when the newest renewal that was answered had been sent
	failing    bool          // the last renewal was not answered
	returned   func()        // called where a renewal is answered after one was not; may be nil
	reportEra  func(int64)   // called with the store era in each renewal's answer; may be nil
	chosen     bool          // the lease holder last said that this instance is a candidate
	vacant     bool          // the store said that nobody holds the lease, and no holder was heard since
	standUntil time.Duration // it stands until then, chosen or not
	joined     bool          // it renewed, and hasn't left since
	stood      chan struct{} // readable after it began to stand; bears at most one signal
}

// NewLease returns a lease that isn't held. The member's name must be unique to
// this start of the instance.
func NewLease(g Group, member string, ttl time.Duration, clock Clock, log logrus.FieldLogger) *Lease {
	return &Lease{group: g, member: member, ttl: ttl, clock: clock, log: log, stood: make(chan struct{}, 1)}
}

// OnReturn has f called each time that a renewal is answered after one was not: the
// store is back, or the way to it. It has to be called before Run.
func (l *Lease) OnReturn(f func()) { l.returned = f }

// OnEra has f called with the store era in each renewal's answer. It has to be called
// before Run.
func (l *Lease) OnEra(f func(era int64)) { l.reportEra = f }

// Run renews while the instance stands, until ctx ends, and then gives the lease up.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.Stands() {
			l.renew(ctx)
		} else {
			l.withdraw(ctx)
		}
		l.pause(ctx)
	}
	l.lose("ending")
	l.withdraw(context.WithoutCancel(ctx))
	return nil
}

// pause waits until the next renewal, or until the instance begins to stand.
func (l *Lease) pause(ctx context.Context) {
	timer := time.NewTimer(joinEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.stood:
	}
}

// withdraw takes the instance out of the group, if it is in.
func (l *Lease) withdraw(ctx context.Context) {
	l.mu.Lock()
	joined := l.joined
	l.joined = false
	l.mu.Unlock()
	if !joined {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := l.group.Leave(ctx, group, l.member); err != nil {
		l.log.WithField("error", err).Warn("leaving the group failed")
	}
}

// Stands says whether the instance takes part in who may order: a candidate, one
// that found nobody holding the lease, or the holder itself.
func (l *Lease) Stands() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chosen || l.vacant || l.epoch != 0 || l.clock() < l.standUntil
}

// Heard notes that the lease holder answered, and whether it counts this instance
// among the candidates. A holder that falls silent leaves that as it is.
func (l *Lease) Heard(chosen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if (l.chosen || l.vacant) && !chosen {
		l.standUntil = l.clock() + withdrawAfter
	}
	if chosen && !l.chosen {
		l.begin()
	}
	l.chosen, l.vacant = chosen, false
}

// Vacant notes that the store names nobody who holds the lease: then each
// instance that asked stands.
func (l *Lease) Vacant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.vacant {
		l.begin()
	}
	l.vacant = true
}

// begin has Run renew at once. The lock is held.
func (l *Lease) begin() {
	select {
	case l.stood <- struct{}{}:
	default: // it is about to renew anyway
	}
}

func (l *Lease) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	l.mu.Lock()
	generation := l.generation
	l.joined = true
	l.mu.Unlock()
	sent := l.clock()
	m, err := l.group.Join(ctx, group, topic, l.member, l.ttl, generation)
	if err != nil {
		l.failed(err)
		return
	}
	back := l.answered(sent, m)
	if l.reportEra != nil {
		l.reportEra(m.Era)
	}
	if back && l.returned != nil {
		l.returned()
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
		l.generation = 0 // the restored group's may be lower
	}
	l.mu.Unlock()
	if restored {
		l.lose("store restored from an older copy")
	}
}

// ObserveToken processes a fencing token that another instance reported. During the
// takeover wait, before the first order, the token of a lease that is held is raised
// above it.
func (l *Lease) ObserveToken(t Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Number <= l.otherToken.Number || t.Holder == l.member {
		return
	}
	l.otherToken = t
	if l.epoch != 0 && l.epoch <= t.Number && l.clock()-l.won < takeover {
		l.epoch, l.ownToken = t.Number+1, t.Number+1
		l.log.WithFields(logrus.Fields{"epoch": l.epoch, "other_token": t.Number, "other_holder": t.Holder}).Info("lease's token raised")
	}
}

// nextToken returns the fencing token of a lease won in a generation: the generation
// itself unless, as after a restore of the store, this member's newest token is higher or
// another member's is at least as high. The lock is held.
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

// failed notes a renewal without an answer; the first in a row is logged.
func (l *Lease) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failing {
		l.failing = true
		l.log.WithFields(logrus.Fields{"renewed_ms": (l.clock() - l.renewed).Milliseconds(), "holds": l.epoch != 0, "error": err}).Warn("lease renewals fail")
	}
}

// answered takes in a renewal's answer, and says whether the one before had none.
func (l *Lease) answered(sent time.Duration, m Membership) (back bool) {
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
	if back = l.failing; back {
		l.failing = false
		l.log.WithField("gap_ms", (sent - l.renewed).Milliseconds()).Info("lease renewals succeed again")
	}
	// After a gap the partition may have been another member's meanwhile.
	anew := l.epoch == 0 || sent-l.renewed >= heldFor
	l.generation = m.Generation
	l.renewed = sent
	if !holds {
		return back
	}
	if anew { // else the epoch stays: an order of before that comes late bears no lower one
		l.epoch, l.won = l.nextToken(m.Generation), l.clock()
		l.ownToken = l.epoch
		l.log.WithFields(logrus.Fields{"epoch": l.epoch}).Info("lease won")
	}
	return back
}

func (l *Lease) lose(why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != 0 {
		l.log.WithFields(logrus.Fields{"epoch": l.epoch, "reason": why, "held_ms": (l.clock() - l.won).Milliseconds()}).Info("lease lost")
		l.epoch = 0
	}
}

// Holds says whether this instance holds the lease, as far as it knows. It may
// not order yet, or not at the moment.
func (l *Lease) Holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch != 0
}

// Fresh says whether the newest renewal still stands by itself.
func (l *Lease) Fresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch != 0 && l.clock()-l.renewed < heldFor
}

// Epoch returns the fencing token for an order sent now, and 0 if none may be.
// storeAway says whether no other instance can have won the lease since the
// newest renewal, because none reaches the store: then the holder goes on.
func (l *Lease) Epoch(storeAway func() bool) int64 {
	l.mu.Lock()
	epoch, won, renewed := l.epoch, l.won, l.renewed
	l.mu.Unlock()
	now := l.clock()
	if epoch == 0 || now-won < takeover {
		return 0
	}
	if now-renewed >= heldFor && !storeAway() {
		return 0
	}
	return epoch
}

// Owner returns the name of the member that holds the lease, empty if none does.
func (l *Lease) Owner(ctx context.Context) (string, error) {
	return l.group.Owner(ctx, group, leasePartition)
}
