package decide

import (
	"time"
)

const (
	// poolSlowdownWeight is the weight of one answer in its pool's slowdown. The pool is
	// the reference for its servers, so it changes more slowly than they do.
	poolSlowdownWeight = 0.01
	// maxSlowdown bounds a server's slowdown, so that a few bad answers don't keep
	// the server from ever being tried again.
	maxSlowdown = 8
	// abandonedFactor multiplies the time after which an attempt was abandoned to
	// estimate its total time.
	abandonedFactor = 2
	// ownTimesTTL is how long a target's own service times are used with none of its
	// requests in flight. Without a bound an estimate that causes every request to be
	// refused would never be corrected.
	ownTimesTTL = 30 * time.Second
)

// serviceTimes holds averages of how long recent answers took.
type serviceTimes struct {
	firstToken average // seconds to the first token; for a plain service, to the answer
	perToken   average // seconds per further token
	length     average // tokens of an answer, divided by the most that it could have
	updatedAt  time.Time
}

// currentTimes returns the target's own service times, or the pool's if there are too
// few recent samples: one of many instances may get a request for a rare model only once
// in minutes.
func (t *targetState) currentTimes(now time.Time) *serviceTimes {
	if t.service.firstToken.warm() && (t.inFlight > 0 || now.Sub(t.service.updatedAt) < ownTimesTTL) || len(t.replicas) == 0 {
		return &t.service
	}
	return &t.replicas[0].server.pool.service
}

// expectedTime returns the seconds that a request takes on a server of the mean speed of the target's
// servers, or 0 if too little is known. spread is the number of mean deviations to add to each part.
func (t *targetState) expectedTime(now time.Time, f *requestState, spread float64) float64 {
	st := t.currentTimes(now)
	if !st.firstToken.warm() {
		return 0
	}
	sum := st.firstToken.mean + spread*st.firstToken.dev
	if t.Service {
		return sum
	}
	length := min(st.length.mean+spread*st.length.dev, 1)
	return sum + max(float64(t.allowed(&f.Request))*length-float64(f.deliveredTokens), 0)*st.perToken.mean
}

// expectedFirstToken returns the seconds to the first token on a server of the mean speed of the
// target's servers that has no other prompt to read, or 0 if too little is known.
func (t *targetState) expectedFirstToken(now time.Time, f *requestState) float64 {
	if t.pool != nil && f.PromptTokens > 0 {
		if reading := t.pool.engine.prefillTime(float64(f.PromptTokens)); reading > 0 {
			return reading / t.meanSpeed()
		}
	}
	st := t.currentTimes(now)
	if !st.firstToken.warm() {
		return 0
	}
	return st.firstToken.mean
}

// expectedReadWait returns the seconds that a queued request will wait at the server for
// other prompts to be read, or 0 if the engines' read rate isn't known.
func (t *targetState) expectedReadWait(f *requestState) float64 {
	if t.pool == nil || f.PromptTokens <= 0 || t.pool.engine.prefillRate() <= 0 {
		return 0
	}
	return maxPrefillWait
}

// allowed returns the most tokens that the answer may have.
func (t *targetState) allowed(r *Request) int {
	if r.MaxTokens > 0 && (t.MaxTokens <= 0 || r.MaxTokens < t.MaxTokens) {
		return r.MaxTokens
	}
	return t.MaxTokens
}

// learn updates the averages with a complete answer.
func (t *targetState) learn(now time.Time, f *requestState, o Outcome) {
	s, usual := f.dispatchedTo, *t.currentTimes(now)
	took := o.Total.Seconds()
	switch {
	case t.Service:
		s.learn(took, usual.firstToken.mean)
	case o.FirstToken <= 0 || o.Tokens <= 0:
		return
	case o.Tokens > 1:
		s.learn((o.Total-o.FirstToken).Seconds()/float64(o.Tokens-1), usual.perToken.mean)
		if o.Tokens >= minSpeedTokens {
			s.addSpeedSample(t.Model, (o.Total-o.FirstToken).Seconds()/float64(o.Tokens-1))
		}
		s.pool.engine.recordDecode(o.Tokens, (o.Total-o.FirstToken).Seconds()/float64(o.Tokens-1)*s.speed())
	}
	t.service.learn(now, t, f, o)
	s.pool.service.learn(now, t, f, o)
}

func (st *serviceTimes) learn(now time.Time, t *targetState, f *requestState, o Outcome) {
	st.updatedAt = now
	if t.Service {
		st.firstToken.add(o.Total.Seconds())
		return
	}
	if !f.queuedAtServer || !st.firstToken.warm() { // otherwise the time includes the wait in the server's queue
		st.firstToken.add(o.FirstToken.Seconds())
	}
	if allowed := t.allowed(&f.Request); allowed > 0 {
		st.length.add(min(float64(o.Tokens+f.deliveredTokens)/float64(allowed), 1))
	}
	if o.Tokens > 1 {
		st.perToken.add((o.Total - o.FirstToken).Seconds() / float64(o.Tokens-1))
	}
}

// learnAbandoned updates the server's slowdown with an attempt that was abandoned after it
// took longer than expected. Without it only the quick answers of an overloaded server
// would count, and the server would seem fast. The total time isn't known; twice the
// elapsed time is an estimate that soon exceeds it.
func (t *targetState) learnAbandoned(now time.Time, f *requestState) {
	usual := t.expectedTime(now, f, safeDeviations)
	took := now.Sub(f.dispatchedAt).Seconds()
	if usual <= 0 || took <= usual*f.dispatchedTo.slowdownAmong(t) {
		return
	}
	f.dispatchedTo.learn(abandonedFactor*took, usual)
	if !t.Service && !f.queuedAtServer && t.service.perToken.warm() && t.allowed(&f.Request) >= minSpeedTokens {
		f.dispatchedTo.addSpeedSample(t.Model, t.service.perToken.mean*min(abandonedFactor*took/usual, maxSlowdown))
	}
}

// learn updates the averages with the time that some work took, in seconds, and
// the time that it usually takes.
func (s *serverState) learn(took, usual float64) {
	if usual <= 0 || took <= 0 {
		return
	}
	ratio := min(took/usual, maxSlowdown)
	s.slowdown.add(ratio)
	s.pool.slowdown += poolSlowdownWeight * (ratio - s.pool.slowdown)
}

// relativeSlowdown returns how many times as long as its pool's average the server takes,
// or 1 if that isn't known. The shared speed is preferred if it is estimated from more
// answers than this instance's own. It lets one slow server among normal ones get fewer requests;
// only failures exclude a server.
func (s *serverState) relativeSlowdown() float64 {
	if s.usesSharedSpeed() {
		return 1 / s.shared.speed
	}
	if !s.slowdown.warm() || s.pool.slowdown <= 0 {
		return 1
	}
	return min(max(s.slowdown.mean/s.pool.slowdown, 1/float64(maxSlowdown)), maxSlowdown)
}
