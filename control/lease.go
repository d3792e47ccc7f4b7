package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// LeaseOptions are a LeaseKeeper's settings.
type LeaseOptions struct {
	Holder    string        // this instance's id
	Duration  time.Duration // of the leases it claims
	RateBound float64       // how far two clocks' rates may differ
	Stagger   time.Duration // between two claimants' ranks
	Retry     time.Duration // the least between two appends
}

// LeaseAppend is a record that a LeaseKeeper wants on the log.
type LeaseAppend struct {
	Record *record.Record
	Reason string // for the log line
}

// sentRecord is an own claim or renewal.
type sentRecord struct {
	at     time.Time    // before it was sent
	offset infra.Offset // 0: not known
}

// LeaseKeeper claims, renews and releases a failure domain's lease. It is
// stepped with what was read of the log and with the ends of its appends, one
// at a time; it reads no clock. A lease counts from before its claim or
// renewal was sent, and only once that was read back as effective.
type LeaseKeeper struct {
	o LeaseOptions

	known  bool         // a view was read
	offset infra.Offset // read up to here
	seen   replay.Lease
	seenAt time.Time // when the newest record of the lease was read

	id       infra.Offset // the offset of the own claim; 0: none
	from     time.Time    // what the own lease counts from
	readBack infra.Offset // the newest own record read back as effective
	sent     []sentRecord // own renewals that weren't read back yet, oldest first
	inFlight bool         // an append is under way
	pending  *sentRecord  // the claim under way
	retryAt  time.Time
}

// NewLeaseKeeper returns a keeper that holds nothing.
func NewLeaseKeeper(o LeaseOptions) *LeaseKeeper { return &LeaseKeeper{o: o} }

// Observe takes in the lease as of a view read at now.
func (k *LeaseKeeper) Observe(now time.Time, offset infra.Offset, lease replay.Lease) {
	if !k.known || lease != k.seen {
		k.seenAt = now
	}
	k.known, k.offset, k.seen = true, offset, lease
	k.settle()
}

// settle compares the own lease with what was read.
func (k *LeaseKeeper) settle() {
	if k.id == 0 || k.offset < k.id {
		return
	}
	if k.seen.ID != k.id || k.seen.Released {
		k.id, k.sent = 0, nil
		return
	}
	byOffset := func(s sentRecord) bool { return s.offset == k.seen.Renewed }
	if i := slices.IndexFunc(k.sent, byOffset); i >= 0 {
		k.extend(k.sent[i].at)
		k.sent = slices.Clone(k.sent[i+1:])
		k.readBack = k.seen.Renewed
		return
	}
	if k.seen.Renewed == k.readBack {
		return
	}
	k.readBack = k.seen.Renewed
	superseded := func(s sentRecord) bool { return !unresolved(s) && s.offset < k.readBack }
	k.sent = slices.DeleteFunc(k.sent, superseded)
	// The renewal's answer was lost or is still to come: it is counted from the
	// earliest that it can be, so the lease is never counted too long.
	if i := slices.IndexFunc(k.sent, unresolved); i >= 0 {
		k.extend(k.sent[i].at)
	}
}

func unresolved(s sentRecord) bool { return s.offset == 0 }

func (k *LeaseKeeper) extend(from time.Time) {
	if from.After(k.from) {
		k.from = from
	}
}

// Until returns the time until which the lease is held on this instance's own
// clock, and false where it isn't held at all.
func (k *LeaseKeeper) Until() (time.Time, bool) {
	if k.id == 0 || k.seen.ID != k.id {
		return time.Time{}, false
	}
	return k.from.Add(scale(k.o.Duration, 1-k.o.RateBound)), true
}

// Holds says whether the lease is held at now and for the spare time after it.
func (k *LeaseKeeper) Holds(now time.Time, spare time.Duration) bool {
	until, ok := k.Until()
	return ok && now.Add(spare).Before(until)
}

// ID returns the offset of the own lease, or 0.
func (k *LeaseKeeper) ID() infra.Offset {
	if _, ok := k.Until(); !ok {
		return 0
	}
	return k.id
}

// Next returns the record to append now, if any; Done must follow. An instance
// is eligible while the platform's list has it as live; rank orders the
// domain's claimants.
func (k *LeaseKeeper) Next(now time.Time, eligible bool, rank int) (LeaseAppend, bool) {
	if !k.known || k.inFlight || now.Before(k.retryAt) {
		return LeaseAppend{}, false
	}
	switch {
	case k.id != 0 && k.seen.ID != k.id:
		return LeaseAppend{}, false // the own claim isn't read back yet
	case k.id != 0 && !eligible:
		return k.send(releaseOf(k.id), "not live on the list"), true
	case k.id != 0:
		return k.renew(now)
	case k.seen.Holder == k.o.Holder && !k.seen.Released:
		// A claim in this name whose sending isn't known, from an answer that
		// was lost or from an earlier process: when it counts from isn't known.
		return k.send(releaseOf(k.seen.ID), "own name, unknown start"), true
	case eligible:
		return k.claim(now, rank)
	}
	return LeaseAppend{}, false
}

func (k *LeaseKeeper) renew(now time.Time) (LeaseAppend, bool) {
	if now.Before(k.from.Add(k.o.Duration/3)) || len(k.sent) >= maxSent {
		return LeaseAppend{}, false
	}
	k.note(now)
	body := &record.Record_LeaseRenewal{LeaseRenewal: &record.LeaseRenewal{Lease: uint64(k.id)}}
	return k.send(&record.Record{Body: body}, "a third has passed"), true
}

// maxSent bounds the renewals that wait to be read back: with that many unread,
// more than two leases have passed and another one is of no use.
const maxSent = 8

// note keeps a renewal that is about to be sent. Of those whose offset isn't
// known only the earliest is of use.
func (k *LeaseKeeper) note(now time.Time) {
	if i := slices.IndexFunc(k.sent, unresolved); i >= 0 {
		later := slices.DeleteFunc(slices.Clone(k.sent[i+1:]), unresolved)
		k.sent = append(k.sent[:i+1], later...)
	}
	k.sent = append(k.sent, sentRecord{at: now})
}

func (k *LeaseKeeper) claim(now time.Time, rank int) (LeaseAppend, bool) {
	at := k.seenAt.Add(time.Duration(rank) * k.o.Stagger)
	reason := "free"
	if k.seen.ID != 0 && !k.seen.Released {
		at = at.Add(scale(time.Duration(k.seen.DurationMS)*time.Millisecond, 1+k.o.RateBound))
		reason = "ran out"
	}
	if now.Before(at) {
		return LeaseAppend{}, false
	}
	k.pending = &sentRecord{at: now}
	body := &record.Record_LeaseClaim{LeaseClaim: &record.LeaseClaim{
		Holder:     k.o.Holder,
		DurationMs: uint32(k.o.Duration.Milliseconds()),
		Previous:   uint64(k.seen.ID),
		LastSeen:   uint64(k.seen.Renewed),
	}}
	return k.send(&record.Record{Body: body}, reason), true
}

func (k *LeaseKeeper) send(r *record.Record, reason string) LeaseAppend {
	k.inFlight = true
	return LeaseAppend{Record: r, Reason: reason}
}

// Release returns the record that gives the lease up at a shutdown, or nil.
func (k *LeaseKeeper) Release() *record.Record {
	if k.id == 0 {
		return nil
	}
	id := k.id
	k.id = 0
	return releaseOf(id)
}

// Done takes in the end of the append that Next returned: its offset, or 0
// where it failed or what became of it isn't known.
func (k *LeaseKeeper) Done(now time.Time, offset infra.Offset) {
	k.inFlight = false
	k.retryAt = now.Add(k.o.Retry)
	if claim := k.pending; claim != nil {
		k.pending = nil
		if offset != 0 {
			k.id, k.readBack, k.from, k.sent = offset, offset, claim.at, nil
		}
	} else if n := len(k.sent); n > 0 && unresolved(k.sent[n-1]) {
		k.sent[n-1].offset = offset
	}
	k.settle()
}

func releaseOf(id infra.Offset) *record.Record {
	return &record.Record{Body: &record.Record_LeaseRelease{LeaseRelease: &record.LeaseRelease{Lease: uint64(id)}}}
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
