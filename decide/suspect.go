package decide

import (
	"time"

	"greengageferry/infra"
)

const (
	// refusalBackoff and refusalBackoffMax bound the backoff after a server refuses a
	// request. It starts at about the time in which one slot is released and doubles
	// with consecutive refusals. A server that refuses everything looks the emptiest
	// and would be chosen again by each instance.
	refusalBackoff    = 100 * time.Millisecond
	refusalBackoffMax = 800 * time.Millisecond
	// emptyTTL is how long a server that refused a connection is presumed to hold no
	// models, unless its entry shows a new start. A process that has ended loses its
	// models, and its entry is updated within two heartbeats. Requests that may be
	// sent to only one server are lost on one that restarted empty.
	emptyTTL = 2 * time.Second
	// emptyAfterMisses is the number of consecutive missing models after which a
	// server is presumed to have restarted unnoticed.
	emptyAfterMisses = 2
	// cutOffThreshold is the number of unreachable servers of a failure domain, with
	// no answer from any other there, at which the domain counts as cut off. A
	// connection timeout is longer than most callers wait.
	cutOffThreshold = 3
	// cutOffBackoff and cutOffBackoffMax bound the backoff between two attempts to
	// reach a domain that is cut off.
	cutOffBackoff    = 300 * time.Millisecond
	cutOffBackoffMax = 1500 * time.Millisecond
)

// domainState is an instance's state of its connectivity to a failure domain.
type domainState struct {
	unreachedServers   map[string]bool // servers that couldn't be reached since the domain's last answer
	consecutiveCutOffs int             // cutoffs without an answer in between
	cutOffUntil        time.Time       // until then its servers are used only if no others are usable
}

// recordUnreachable records that a server of the domain couldn't be reached.
func (d *domainState) recordUnreachable(now time.Time, server string) {
	d.unreachedServers[server] = true
	if len(d.unreachedServers) >= cutOffThreshold && !now.Before(d.cutOffUntil) {
		d.cutOffUntil = now.Add(backoff(cutOffBackoff, cutOffBackoffMax, d.consecutiveCutOffs))
		d.consecutiveCutOffs++
	}
}

// recordAnswer records an answer from the domain.
func (d *domainState) recordAnswer() {
	if len(d.unreachedServers) > 0 {
		d.unreachedServers = map[string]bool{}
	}
	d.consecutiveCutOffs, d.cutOffUntil = 0, time.Time{}
}

// domain returns the state of a failure domain, creating it if needed.
func (f *fleet) domain(name string) *domainState {
	d := f.domains[name]
	if d == nil {
		d = &domainState{unreachedServers: map[string]bool{}}
		f.domains[name] = d
	}
	return d
}

// gone records that the server's process has presumably ended and its models are lost.
func (s *serverState) gone(now time.Time) {
	s.emptyStart, s.emptyUntil = s.Start, now.Add(emptyTTL)
}

// recordMiss records that the server lacks a target that the table lists there.
func (s *serverState) recordMiss(now time.Time) {
	if s.consecutiveMisses++; s.consecutiveMisses >= emptyAfterMisses {
		s.gone(now)
	}
}

// recordRefusal records that the server refused a request.
func (s *serverState) recordRefusal(now time.Time) {
	s.backoffUntil = now.Add(backoff(refusalBackoff, refusalBackoffMax, s.consecutiveRefusals))
	s.consecutiveRefusals++
}

// recordSuccess records that the server completed a request.
func (s *serverState) recordSuccess() {
	s.consecutiveFailures, s.consecutiveRefusals, s.consecutiveMisses = 0, 0, 0
	s.emptyUntil = time.Time{}
}

// presumedEmpty reports whether the server is presumed to have lost its models.
func (s *serverState) presumedEmpty(now time.Time) bool {
	return now.Before(s.emptyUntil) && s.Start == s.emptyStart
}

// isResident reports whether the replica's server is taken to hold the target: it hasn't lost all it held,
// and hasn't recently answered that the target isn't resident.
func (r *replicaState) isResident(now time.Time, t *targetState) bool {
	if t.Model != "" && r.server.presumedEmpty(now) {
		return false
	}
	return !now.Before(r.unreadyUntil)
}

// connectFailure reports why no connection was made: refused means that no process
// listens there, timedOut that the network path failed. Both are false in other cases.
func connectFailure(f Failure) (refused, timedOut bool) {
	if !f.Unsent {
		return false, false
	}
	return f.Reason == infra.ReasonUnreachable, f.Reason == infra.ReasonTimeout
}
