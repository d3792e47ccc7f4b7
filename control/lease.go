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
	Holder        string        // this instance's id
	Duration      time.Duration // of the leases it claims
	MaxClockDrift float64       // largest relative difference between two clocks' rates
	Stagger       time.Duration // additional delay of a claim for each rank
	RetryDelay    time.Duration // minimum between two appends
}

// LeaseAppend is a record that a LeaseKeeper asks to append to the log.
type LeaseAppend struct {
	Record *record.Record
	Reason string // for the log line
}

// sentRecord is a claim or renewal that this instance sent.
type sentRecord struct {
	at     time.Time    // taken before sending
	offset infra.Offset // 0: not known
}

// LeaseKeeper claims, renews and releases a failure domain's lease. It is a state
// machine without I/O or a clock: Observe passes it the lease as read from the
// log, Next returns the record to append, and AppendDone passes it the result.
// The lease's duration starts before its claim or renewal was sent, and the lease
// counts as held only once that record was read back from the log as effective.
type LeaseKeeper struct {
	o LeaseOptions

	viewRead   bool         // Observe was called
	offset     infra.Offset // of the last view observed
	observed   replay.Lease
	observedAt time.Time // when observed last changed

	id            infra.Offset // offset of this instance's claim; 0: none
	validFrom     time.Time    // start of this instance's lease duration
	lastConfirmed infra.Offset // newest claim or renewal read back as effective
	unconfirmed   []sentRecord // renewals not yet read back, oldest first
	inFlight      bool         // between Next and AppendDone
	pendingClaim  *sentRecord  // the claim in flight; nil: none
	retryAt       time.Time
}

// NewLeaseKeeper returns a keeper that holds no lease.
func NewLeaseKeeper(o LeaseOptions) *LeaseKeeper { return &LeaseKeeper{o: o} }

// Observe updates the keeper with the lease as of a view read at now.
func (k *LeaseKeeper) Observe(now time.Time, offset infra.Offset, lease replay.Lease) {
	if !k.viewRead || lease != k.observed {
		k.observedAt = now
	}
	k.viewRead, k.offset, k.observed = true, offset, lease
	k.updateOwnLease()
}

// updateOwnLease compares this instance's lease with the observed one: it drops a
// lost or released lease and extends the lease by a renewal read back.
func (k *LeaseKeeper) updateOwnLease() {
	if k.id == 0 || k.offset < k.id {
		return
	}
	if k.observed.ID != k.id || k.observed.Released {
		k.id, k.unconfirmed = 0, nil
		return
	}
	byOffset := func(s sentRecord) bool { return s.offset == k.observed.Renewed }
	if i := slices.IndexFunc(k.unconfirmed, byOffset); i >= 0 {
		k.extend(k.unconfirmed[i].at)
		k.unconfirmed = slices.Clone(k.unconfirmed[i+1:])
		k.lastConfirmed = k.observed.Renewed
		return
	}
	if k.observed.Renewed == k.lastConfirmed {
		return
	}
	k.lastConfirmed = k.observed.Renewed
	superseded := func(s sentRecord) bool { return !offsetUnknown(s) && s.offset < k.lastConfirmed }
	k.unconfirmed = slices.DeleteFunc(k.unconfirmed, superseded)
	// The append's result was lost or is pending, so the renewal read back can be
	// any of those with unknown offset. The earliest is assumed, so that the lease
	// is never taken to last too long.
	if i := slices.IndexFunc(k.unconfirmed, offsetUnknown); i >= 0 {
		k.extend(k.unconfirmed[i].at)
	}
}

func offsetUnknown(s sentRecord) bool { return s.offset == 0 }

func (k *LeaseKeeper) extend(validFrom time.Time) {
	if validFrom.After(k.validFrom) {
		k.validFrom = validFrom
	}
}

// HeldUntil returns the end of the lease on this instance's clock, which may have
// passed, and false if this instance's claim isn't the effective one.
func (k *LeaseKeeper) HeldUntil() (time.Time, bool) {
	if k.id == 0 || k.observed.ID != k.id {
		return time.Time{}, false
	}
	return k.validFrom.Add(scale(k.o.Duration, 1-k.o.MaxClockDrift)), true
}

// Holds reports whether the lease is held at now and for at least margin after.
func (k *LeaseKeeper) Holds(now time.Time, margin time.Duration) bool {
	until, ok := k.HeldUntil()
	return ok && now.Add(margin).Before(until)
}

// ID returns the offset of this instance's claim if it is the effective one, or 0.
func (k *LeaseKeeper) ID() infra.Offset {
	if _, ok := k.HeldUntil(); !ok {
		return 0
	}
	return k.id
}

// Next returns the record to append now, if any; AppendDone must follow. An
// instance is eligible while it is live on the platform's list; rank is its
// position among the domain's claimants.
func (k *LeaseKeeper) Next(now time.Time, eligible bool, rank int) (LeaseAppend, bool) {
	if !k.viewRead || k.inFlight || now.Before(k.retryAt) {
		return LeaseAppend{}, false
	}
	switch {
	case k.id != 0 && k.observed.ID != k.id:
		return LeaseAppend{}, false // this instance's claim isn't read back yet
	case k.id != 0 && !eligible:
		return k.send(releaseRecord(k.id), "not live on the list"), true
	case k.id != 0:
		return k.renew(now)
	case k.observed.Holder == k.o.Holder && !k.observed.Released:
		// A claim in this instance's name from an earlier process, or one whose
		// append result was lost: when the lease started isn't known.
		return k.send(releaseRecord(k.observed.ID), "own lease with unknown start"), true
	case eligible:
		return k.claim(now, rank)
	}
	return LeaseAppend{}, false
}

func (k *LeaseKeeper) renew(now time.Time) (LeaseAppend, bool) {
	if now.Before(k.validFrom.Add(k.o.Duration/3)) || len(k.unconfirmed) >= maxUnconfirmed {
		return LeaseAppend{}, false
	}
	k.recordRenewal(now)
	body := &record.Record_LeaseRenewal{LeaseRenewal: &record.LeaseRenewal{Lease: uint64(k.id)}}
	return k.send(&record.Record{Body: body}, "a third of the lease has passed"), true
}

// maxUnconfirmed bounds the renewals not yet read back: with 8 of them, more than
// two lease durations have passed and another renewal is of no use.
const maxUnconfirmed = 8

// recordRenewal adds a renewal that is about to be sent. Of the earlier ones with
// unknown offset it keeps only the earliest, from which updateOwnLease counts.
func (k *LeaseKeeper) recordRenewal(now time.Time) {
	if i := slices.IndexFunc(k.unconfirmed, offsetUnknown); i >= 0 {
		later := slices.DeleteFunc(slices.Clone(k.unconfirmed[i+1:]), offsetUnknown)
		k.unconfirmed = append(k.unconfirmed[:i+1], later...)
	}
	k.unconfirmed = append(k.unconfirmed, sentRecord{at: now})
}

func (k *LeaseKeeper) claim(now time.Time, rank int) (LeaseAppend, bool) {
	at := k.observedAt.Add(time.Duration(rank) * k.o.Stagger)
	reason := "free"
	if k.observed.ID != 0 && !k.observed.Released {
		at = at.Add(scale(time.Duration(k.observed.DurationMS)*time.Millisecond, 1+k.o.MaxClockDrift))
		reason = "lease expired"
	}
	if now.Before(at) {
		return LeaseAppend{}, false
	}
	k.pendingClaim = &sentRecord{at: now}
	body := &record.Record_LeaseClaim{LeaseClaim: &record.LeaseClaim{
		Holder:     k.o.Holder,
		DurationMs: uint32(k.o.Duration.Milliseconds()),
		Previous:   uint64(k.observed.ID),
		LastSeen:   uint64(k.observed.Renewed),
	}}
	return k.send(&record.Record{Body: body}, reason), true
}

func (k *LeaseKeeper) send(r *record.Record, reason string) LeaseAppend {
	k.inFlight = true
	return LeaseAppend{Record: r, Reason: reason}
}

// Release returns the record that releases the lease at shutdown, or nil if this
// instance has no claim.
func (k *LeaseKeeper) Release() *record.Record {
	if k.id == 0 {
		return nil
	}
	id := k.id
	k.id = 0
	return releaseRecord(id)
}

// AppendDone passes in the result of appending the record that Next returned: its
// offset, or 0 if the append failed or its outcome isn't known.
func (k *LeaseKeeper) AppendDone(now time.Time, offset infra.Offset) {
	k.inFlight = false
	k.retryAt = now.Add(k.o.RetryDelay)
	if claim := k.pendingClaim; claim != nil {
		k.pendingClaim = nil
		if offset != 0 {
			k.id, k.lastConfirmed, k.validFrom, k.unconfirmed = offset, offset, claim.at, nil
		}
	} else if n := len(k.unconfirmed); n > 0 && offsetUnknown(k.unconfirmed[n-1]) {
		k.unconfirmed[n-1].offset = offset
	}
	k.updateOwnLease()
}

func releaseRecord(id infra.Offset) *record.Record {
	return &record.Record{Body: &record.Record_LeaseRelease{LeaseRelease: &record.LeaseRelease{Lease: uint64(id)}}}
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
