package instance

import (
	"time"

	"greengageferry/residency"
)

const (
	// minHolderQueryInterval is the minimum time between two queries of the store for the
	// lease holder.
	minHolderQueryInterval = time.Second
	// candidateSilenceTimeout is how long an instance that knows candidates asks only
	// them for the holder. It is the time that another instance takes to win the lease.
	candidateSilenceTimeout = 5 * time.Second
	// holderQueryIntervalPerInstance, times the number of instances, is the minimum time
	// between two queries of the store while the candidates are silent.
	holderQueryIntervalPerInstance = 10 * time.Millisecond
	// maxUnanswered is the number of consecutive syncs without an answer after which the
	// holder is given up: one may be due to a moment's load.
	maxUnanswered = 2
	// baseQueryDelay is the time from its start until an instance with one core first
	// queries the store for the lease holder. With less than a core the delay is longer,
	// up to maxQueryDelay: when all instances start at the same time, most then find the
	// lease held.
	baseQueryDelay = 150 * time.Millisecond
	maxQueryDelay  = time.Second
	// maxCompeteDelay bounds the time from its start until an instance may compete for
	// the lease if the store names no holder. With one core the instance competes after
	// baseQueryDelay; with less, the delay grows with the inverse square of the cores, so
	// that the instances with the most processor settle the lease first: each one that
	// joins may make the platform reassign the lease.
	maxCompeteDelay = 4 * time.Second
)

// queryDelay returns the time from its start until an instance first queries for the
// lease holder.
func queryDelay(cores float64) time.Duration {
	if cores <= 0 {
		return baseQueryDelay
	}
	return min(time.Duration(float64(baseQueryDelay)/cores), maxQueryDelay)
}

// competeDelay returns the time from its start until an instance may compete for the
// lease.
func competeDelay(cores float64) time.Duration {
	if cores <= 0 {
		return baseQueryDelay
	}
	return min(time.Duration(float64(baseQueryDelay)/(cores*cores)), maxCompeteDelay)
}

// holderLocator decides which instance to sync with: the lease holder if known, else a
// candidate that may know the holder, else none. It also decides when to query the store
// for the holder and when to compete for the lease. It does no I/O and is not safe for
// concurrent use.
type holderLocator struct {
	domain      string
	queryFrom   time.Time // the store isn't queried earlier
	competeFrom time.Time // the instance doesn't compete for the lease earlier

	holder           string    // the holder's address; empty: unknown
	token            int64     // the highest known fencing token
	holderAnsweredAt time.Time // when the holder last answered
	orderingAt       time.Time // when the holder last reported that it may order, or became known
	namedByStore     bool      // the store named the holder, and it hasn't answered since
	unanswered       int       // consecutive syncs that the holder didn't answer
	candidates       []string  // addresses, those of this instance's failure domain first
	nextCandidate    int       // index, modulo the number of candidates, of the next one to ask
	lastAnswerAt     time.Time // when the holder or a candidate last answered
	storeQueriedAt   time.Time // when the store was last queried
}

// update replaces the candidates.
func (l *holderLocator) update(candidates residency.Candidates) {
	l.candidates = l.candidates[:0]
	for _, sameDomain := range []bool{true, false} {
		for _, c := range candidates {
			if (c.Domain == l.domain) == sameDomain {
				l.candidates = append(l.candidates, c.Addr)
			}
		}
	}
	l.nextCandidate = 0
}

// nextPeer returns the address of the instance to sync with, empty if none is known. An
// instance that competes for the lease queries the store and asks no candidates.
func (l *holderLocator) nextPeer(competes bool) string {
	if l.holder != "" || competes || len(l.candidates) == 0 {
		return l.holder
	}
	addr := l.candidates[l.nextCandidate%len(l.candidates)]
	l.nextCandidate++
	return addr
}

// shouldQueryStore reports whether to query the store for the lease holder now, and if so
// records the query.
func (l *holderLocator) shouldQueryStore(now time.Time, competes bool, instances int) bool {
	if l.holder != "" || now.Before(l.queryFrom) {
		return false
	}
	interval := minHolderQueryInterval
	if !competes && len(l.candidates) > 0 {
		if now.Sub(l.lastAnswerAt) < candidateSilenceTimeout {
			return false
		}
		interval = max(interval, time.Duration(instances)*holderQueryIntervalPerInstance)
	}
	if now.Sub(l.storeQueriedAt) < interval {
		return false
	}
	l.storeQueriedAt = now
	return true
}

// onHolderAnswer records an answer of the lease holder. ordering reports whether it may order, or
// surely will once an earlier holder has stopped.
func (l *holderLocator) onHolderAnswer(now time.Time, addr string, ordering, storeDown bool) {
	l.holder, l.unanswered, l.namedByStore = addr, 0, false
	l.holderAnsweredAt, l.lastAnswerAt = now, now
	switch {
	case ordering:
		l.orderingAt = now
	case !storeDown && now.Sub(l.orderingAt) > holderIdleTimeout:
		l.holder = "" // it may have been cut off, and another instance may have won the lease
	}
}

// setStoreHolder records the holder that the store names; empty: there is none.
func (l *holderLocator) setStoreHolder(now time.Time, holder string) {
	l.holder, l.orderingAt, l.namedByStore = holder, now, holder != ""
}

// onToken records the highest fencing token that this instance has heard of and the address
// of the instance that won it. A new one means that the lease has passed on, whatever the
// previous holder says.
func (l *holderLocator) onToken(now time.Time, token int64, holder string) {
	if token <= l.token || holder == "" {
		return
	}
	l.token = token
	if holder != l.holder {
		l.holder, l.orderingAt, l.unanswered, l.namedByStore = holder, now, 0, false
	}
}

// shouldCompete reports whether this instance should compete for the lease, after the
// store named no holder or one that no longer holds the lease. After all instances were
// killed, the store names the previous holder for seconds. Instances that waited for the
// end of that joined one after the other, and each join reassigned the lease.
func (l *holderLocator) shouldCompete(now time.Time) bool {
	return l.holder == "" && !now.Before(l.competeFrom)
}

// onReferral records the answer of an instance that doesn't hold the lease. holder is the
// holder's address as far as that instance knows, else empty.
func (l *holderLocator) onReferral(now time.Time, holder string) {
	l.lastAnswerAt = now
	if holder != l.holder {
		l.holder, l.orderingAt, l.unanswered = holder, now, 0
	}
}

// onPeerFailure records that the instance at an address refused a Sync call or didn't
// answer. It returns whether that instance was the holder and is now given up. The holder
// is given up at once if it refused or if candidates can be asked for another holder, and
// otherwise, since then the store has to be queried, after maxUnanswered failures.
func (l *holderLocator) onPeerFailure(addr string, refused, competes bool) (lost bool) {
	if addr != l.holder {
		return false
	}
	l.unanswered++
	askCandidates := !competes && len(l.candidates) > 0
	if l.unanswered < maxUnanswered && !refused && !askCandidates {
		return false
	}
	l.holder, l.unanswered = "", 0
	return true
}
