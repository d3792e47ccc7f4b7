package residency

import "time"

// leaveDelay is how long an instance that is no longer a candidate keeps renewing, so that a single
// wrong report doesn't make it leave. Each member that joins or leaves may cause the platform to
// reassign the lease.
const leaveDelay = time.Second

// Competes reports whether the instance competes for the lease: as a candidate, because
// it found no holder, or because it is the holder.
func (l *Lease) Competes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.barred && (l.candidate || l.vacant || l.epoch != 0 || l.clock() < l.competeUntil)
}

// SetBarred sets whether the instance must not hold the lease: it reaches too few servers to
// send them orders. A holder that is barred gives the lease up, and stops ordering at once.
func (l *Lease) SetBarred(barred bool) {
	l.mu.Lock()
	changed := l.barred != barred
	l.barred = barred
	if changed {
		l.signalJoin()
	}
	l.mu.Unlock()
	if barred {
		l.lose("servers out of reach")
	}
}

// ObserveHolder records that the lease holder answered and whether it counts this
// instance as a candidate. If the holder stops answering, the last value stays in
// effect.
func (l *Lease) ObserveHolder(candidate bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if (l.candidate || l.vacant) && !candidate {
		l.competeUntil = l.clock() + leaveDelay
	}
	if candidate && !l.candidate {
		l.signalJoin()
	}
	l.candidate, l.vacant = candidate, false
}

// ObserveVacancy records that the store names no lease holder. Each instance that
// observes this competes for the lease.
func (l *Lease) ObserveVacancy() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.vacant {
		l.signalJoin()
	}
	l.vacant = true
}

// signalJoin makes Run renew at once. The lock is held.
func (l *Lease) signalJoin() {
	select {
	case l.joinSignal <- struct{}{}:
	default: // already signaled
	}
}
