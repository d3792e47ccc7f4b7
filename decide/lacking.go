package decide

import "time"

// Requests for a model that no server holds wait for it to be loaded, which takes seconds. A caller
// that won't wait as long is refused at once, and told when the model will probably be there.

// untilLoaded returns in how many seconds the target will probably have its first replica, by what
// loads lately took. It returns 0 if the target has a replica, nothing is known, or ranks don't
// compete.
func (s *Scheduler) untilLoaded(now time.Time, t *targetState) float64 {
	loadTime := &s.fleet.loadTime
	if !s.roomByRank || len(t.replicas) > 0 || t.lackingSince.IsZero() || !loadTime.warm() {
		return 0
	}
	return max(loadTime.mean-now.Sub(t.lackingSince).Seconds(), 0)
}

// noteLacking notes that a request waits for want of a replica, here or at another instance.
func (t *targetState) noteLacking(now time.Time) {
	if len(t.replicas) == 0 && now.Sub(t.lackingSince) > maxRetryAfter {
		t.lackingSince = now
	}
}

// noteReplicas learns how long a target that is asked for lacked a replica, once it has one.
func (f *fleet) noteReplicas(now time.Time, t *targetState) {
	if len(t.replicas) == 0 || t.lackingSince.IsZero() {
		return
	}
	lacked := now.Sub(t.lackingSince)
	if lacked <= maxRetryAfter && (t.queue.len() > 0 || t.backlog.known(now)) {
		f.loadTime.add(lacked.Seconds())
	}
	t.lackingSince = time.Time{}
}
