package decide

import "time"

// timeToFirstReplica returns the seconds until the target is expected to have its first replica, by
// the mean of recent load times. Requests for a model that no server holds wait while it is loaded; one
// whose deadline is before that is refused at once, with this time as its retry delay. It returns 0 if the target has a replica, no load time is known, or
// Table.RoomByRank isn't set.
func (s *Scheduler) timeToFirstReplica(now time.Time, t *targetState) float64 {
	loadTime := &s.fleet.modelLoadTime
	if !s.roomByRank || len(t.replicas) > 0 || t.replicaMissingSince.IsZero() || !loadTime.warm() {
		return 0
	}
	return max(loadTime.mean-now.Sub(t.replicaMissingSince).Seconds(), 0)
}

// recordMissingReplica records that a request waits for the target's first replica, at this instance
// or at another one.
func (t *targetState) recordMissingReplica(now time.Time) {
	if len(t.replicas) == 0 && now.Sub(t.replicaMissingSince) > maxRetryAfter {
		t.replicaMissingSince = now
	}
}

// recordFirstReplica adds a sample of the model load time once a target that was waited for has a
// replica.
func (f *fleet) recordFirstReplica(now time.Time, t *targetState) {
	if len(t.replicas) == 0 || t.replicaMissingSince.IsZero() {
		return
	}
	missing := now.Sub(t.replicaMissingSince)
	if missing <= maxRetryAfter && (t.queue.len() > 0 || t.backlog.known(now)) {
		f.modelLoadTime.add(missing.Seconds())
	}
	t.replicaMissingSince = time.Time{}
}
