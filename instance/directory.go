package instance

import (
	"time"

	"greengageferry/residency"
)

const (
	// ownerEvery is the least time between two questions to the store who holds
	// the lease.
	ownerEvery = time.Second
	// candidatesSilent is for how long an instance that knows candidates asks only
	// them who holds the lease: as long as another takes to win it. Where one of 295
	// instances held it and was lost, all others asked the store each second.
	candidatesSilent = 5 * time.Second
	// ownerEveryMany is the least time between two questions to the store where the
	// candidates are silent, for each instance that there is.
	ownerEveryMany = 10 * time.Millisecond
	// mostSilent is how many words in a row a holder may leave unanswered until
	// another is looked for in the store: where many instances press upon a holder
	// that is busy for a moment, all their questions to the store gain nothing.
	mostSilent = 2
	// askFirst is how long after its start an instance with a whole core asks the
	// store who holds the lease; one with less of a core waits longer, to askMost at
	// most: where all start at once, most then find it held.
	askFirst = 150 * time.Millisecond
	askMost  = time.Second
	// standMost bounds how long after its start an instance may first stand for the
	// lease, if the store names no holder. One with a whole core does when it asks,
	// one with less waits longer by the square, so that those with much processor
	// have settled who gets it: each that joins may have the platform pass it on,
	// and where 295 instances stood within a second, the lease passed through four
	// hands in six seconds.
	standMost = 4 * time.Second
)

// askAfter is how long after its start an instance first asks who holds the lease.
func askAfter(cores float64) time.Duration {
	if cores <= 0 {
		return askFirst
	}
	return min(time.Duration(float64(askFirst)/cores), askMost)
}

// standAfter is how long after its start an instance may first stand for the lease.
func standAfter(cores float64) time.Duration {
	if cores <= 0 {
		return askFirst
	}
	return min(time.Duration(float64(askFirst)/(cores*cores)), standMost)
}

// directory decides whom an instance speaks to: the lease holder where it is
// known, else a candidate that may know it, else the store, to learn who it is.
// It does no I/O. It is not safe for concurrent use.
type directory struct {
	domain string
	begun  time.Time // the store isn't asked before
	stands time.Time // nor does the instance stand for the lease before

	holder     string    // the holder's address; empty: not known
	heardAt    time.Time // when the holder last answered
	ordered    time.Time // when the holder last said that it may order, or was found
	named      bool      // it is the store that named it, and it hasn't answered since
	silent     int       // words in a row that the holder didn't answer
	candidates []string  // their addresses, those of the own failure domain first
	next       int       // of candidates, to be asked
	answeredAt time.Time // when the holder or a candidate last answered
	askedAt    time.Time // when the store was last asked
}

// learn takes in the candidates.
func (d *directory) learn(candidates residency.Candidates) {
	d.candidates = d.candidates[:0]
	for _, near := range []bool{true, false} {
		for _, c := range candidates {
			if (c.Domain == d.domain) == near {
				d.candidates = append(d.candidates, c.Addr)
			}
		}
	}
	d.next = 0
}

// peer returns the instance to speak to, empty if none is known. A candidate
// itself, which stands, asks the store and no other.
func (d *directory) peer(stands bool) string {
	if d.holder != "" || stands || len(d.candidates) == 0 {
		return d.holder
	}
	addr := d.candidates[d.next%len(d.candidates)]
	d.next++
	return addr
}

// asksStore says whether the store should be asked now who holds the lease.
func (d *directory) asksStore(now time.Time, stands bool, instances int) bool {
	if d.holder != "" || now.Before(d.begun) {
		return false
	}
	every := ownerEvery
	if !stands && len(d.candidates) > 0 {
		if now.Sub(d.answeredAt) < candidatesSilent {
			return false
		}
		every = max(every, time.Duration(instances)*ownerEveryMany)
	}
	if now.Sub(d.askedAt) < every {
		return false
	}
	d.askedAt = now
	return true
}

// answered notes an answer of the holder.
func (d *directory) answered(now time.Time, addr string, ordering, storeDown bool) {
	d.holder, d.silent, d.named = addr, 0, false
	d.heardAt, d.answeredAt = now, now
	switch {
	case ordering:
		d.ordered = now
	case !storeDown && now.Sub(d.ordered) > idleHolder:
		d.holder = "" // it may have been cut off, and another have won the lease
	}
}

// found notes who holds the lease, as the store says; empty: nobody does.
func (d *directory) found(now time.Time, holder string) {
	d.holder, d.ordered, d.named = holder, now, holder != ""
}

// vacant says whether this instance should stand for the lease, after the store
// named nobody, or one that isn't the holder any more: where all were killed the
// store names the one of before for seconds, and those that waited for that to end
// joined one after the other, each time with the lease passed on.
func (d *directory) vacant(now time.Time) bool { return d.holder == "" && !now.Before(d.stands) }

// referred notes an answer of an instance that doesn't hold the lease, and whom
// it takes for the holder.
func (d *directory) referred(now time.Time, holder string) {
	d.answeredAt = now
	if holder != d.holder {
		d.holder, d.ordered, d.silent = holder, now, 0
	}
}

// failed notes that the instance at an address didn't answer, or refused, and says
// whether it was the holder and is given up. A candidate is asked at once for
// another holder, where one is known; the store only after some silence.
func (d *directory) failed(addr string, refused, stands bool) (lost bool) {
	if addr != d.holder {
		return false
	}
	d.silent++
	asksOthers := !stands && len(d.candidates) > 0
	if d.silent < mostSilent && !refused && !asksOthers {
		return false
	}
	d.holder, d.silent = "", 0
	return true
}
