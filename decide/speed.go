package decide

import (
	"time"
)

const (
	// poolMemory is the weight of one answer in its pool's speed: a pool is the
	// yardstick for its servers, so it moves slower than any of them.
	poolMemory = 0.01
	// slowest bounds how slow a server is taken to be, so that a few bad answers
	// can't keep it from ever being tried again.
	slowest = 8
	// lateFactor is how much longer than the time that an attempt was given the
	// whole is taken to need.
	lateFactor = 2
	// ownTimesKept is how long a target's own times are believed with none of it
	// in flight: longer, and an estimate that refuses everything could never
	// learn that it is wrong.
	ownTimesKept = 30 * time.Second
)

// serviceTimes is how long a target's answers take, from what they lately took.
type serviceTimes struct {
	first  average // seconds to the first token; for a plain service to the answer
	token  average // seconds for each further token
	length average // tokens of an answer, as a part of what the caller allowed
	last   time.Time
}

// times returns the target's own times of service, or the pool's where too
// little is known of the target: an instance among many sees a rare model once
// in minutes.
func (t *targetState) times(now time.Time) *serviceTimes {
	if t.service.first.warm() && (t.inFlight > 0 || now.Sub(t.service.last) < ownTimesKept) || len(t.replicas) == 0 {
		return &t.service
	}
	return &t.replicas[0].server.pool.service
}

// expected returns the time, in seconds, that a request takes at a server of
// ordinary speed, and 0 where too little is known. spread adds that many mean
// deviations of each part.
func (t *targetState) expected(now time.Time, f *requestState, spread float64) float64 {
	st := t.times(now)
	if !st.first.warm() {
		return 0
	}
	sum := st.first.mean + spread*st.first.dev
	if t.Service {
		return sum
	}
	length := min(st.length.mean+spread*st.length.dev, 1)
	return sum + max(float64(t.allowed(&f.Request))*length-float64(f.deliveredTokens), 0)*st.token.mean
}

// firstToken returns the time, in seconds, to the first token at a server of
// ordinary speed that has nothing else to read, 0 where too little is known.
func (t *targetState) firstToken(now time.Time, f *requestState) float64 {
	if t.pool != nil && f.PromptTokens > 0 {
		if reading := t.pool.engine.prefillTime(float64(f.PromptTokens)); reading > 0 {
			return reading
		}
	}
	st := t.times(now)
	if !st.first.warm() {
		return 0
	}
	return st.first.mean
}

// readAhead returns the seconds for which a request that waited has to wait at the
// server for others' prompts, 0 where reading isn't known to take the time there.
func (t *targetState) readAhead(f *requestState) float64 {
	if t.pool == nil || f.PromptTokens <= 0 || t.pool.engine.prefillRate() <= 0 {
		return 0
	}
	return maxPrefillWait
}

// allowed returns how many tokens the answer may have.
func (t *targetState) allowed(r *Request) int {
	if r.MaxTokens > 0 && (t.MaxTokens <= 0 || r.MaxTokens < t.MaxTokens) {
		return r.MaxTokens
	}
	return t.MaxTokens
}

// learn takes in how a complete answer went.
func (t *targetState) learn(now time.Time, f *requestState, o Outcome) {
	s, usual := f.dispatchedTo, *t.times(now)
	took := o.Total.Seconds()
	switch {
	case t.Service:
		s.learn(took, usual.first.mean)
	case o.FirstToken <= 0 || o.Tokens <= 0:
		return
	case o.Tokens > 1:
		s.learn((o.Total-o.FirstToken).Seconds()/float64(o.Tokens-1), usual.token.mean)
		s.pool.engine.recordDecode(o.Tokens, (o.Total-o.FirstToken).Seconds()/float64(o.Tokens-1))
	}
	t.service.learn(now, t, f, o)
	s.pool.service.learn(now, t, f, o)
}

func (st *serviceTimes) learn(now time.Time, t *targetState, f *requestState, o Outcome) {
	st.last = now
	if t.Service {
		st.first.add(o.Total.Seconds())
		return
	}
	if !f.queuedAtServer || !st.first.warm() { // else it holds the wait in the server's queue
		st.first.add(o.FirstToken.Seconds())
	}
	if allowed := t.allowed(&f.Request); allowed > 0 {
		st.length.add(min(float64(o.Tokens+f.deliveredTokens)/float64(allowed), 1))
	}
	if o.Tokens > 1 {
		st.token.add((o.Total - o.FirstToken).Seconds() / float64(o.Tokens-1))
	}
}

// learnLate takes in an attempt that was given up on after longer than it should
// have taken. Without it only the quick answers of an overloaded server would
// count, and it would seem fast. How long the whole would have taken isn't
// known: twice as long is a guess that soon gets beyond the truth.
func (t *targetState) learnLate(now time.Time, f *requestState) {
	usual := t.expected(now, f, safeDeviations)
	took := now.Sub(f.dispatchedAt).Seconds()
	if usual <= 0 || took <= usual*f.dispatchedTo.slowness() {
		return
	}
	f.dispatchedTo.learn(lateFactor*took, usual)
}

// learn takes in the time for a piece of work against what it usually takes.
func (s *serverState) learn(took, usual float64) {
	if usual <= 0 || took <= 0 {
		return
	}
	ratio := min(took/usual, slowest)
	s.speed.add(ratio)
	s.pool.speed += poolMemory * (ratio - s.pool.speed)
}

// slowness returns how much longer than its pool the server takes, 1 where
// nothing is known. It is for one slow server among good ones: it gets less,
// and only a failure takes it out.
func (s *serverState) slowness() float64 {
	if !s.speed.warm() || s.pool.speed <= 0 {
		return 1
	}
	return min(max(s.speed.mean/s.pool.speed, 1/float64(slowest)), slowest)
}
