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
	// lateFactor bounds what an answer that was cut off says about the time that
	// the whole would have taken.
	lateFactor = 3
)

// serviceTimes is how long a target's answers take, from what they lately took.
type serviceTimes struct {
	first  average // seconds to the first token; for a plain service to the answer
	token  average // seconds for each further token
	length average // tokens of an answer, as a part of what the caller allowed
	last   time.Time
}

// expected returns the time, in seconds, that a request takes at a server of
// ordinary speed, and 0 where too little is known. spread adds that many mean
// deviations.
func (t *targetState) expected(f *flight, spread float64) float64 {
	st := &t.service
	if !st.first.warm() {
		return 0
	}
	sum := st.first.mean + spread*st.first.dev
	if t.Service {
		return sum
	}
	return sum + t.expectedTokens(f)*(st.token.mean+spread*st.token.dev)
}

// expectedTokens returns how many tokens the request still has to get.
func (t *targetState) expectedTokens(f *flight) float64 {
	most := t.MaxTokens
	if f.MaxTokens > 0 && (most <= 0 || f.MaxTokens < most) {
		most = f.MaxTokens
	}
	return max(float64(most)*t.service.length.mean-float64(f.delivered), 0)
}

// learn takes in how a complete answer went.
func (t *targetState) learn(now time.Time, f *flight, o Outcome) {
	st := &t.service
	st.last = now
	s := f.at
	if t.Service {
		s.learn(o.Total.Seconds(), st.first.mean)
		st.first.add(o.Total.Seconds())
		return
	}
	if o.FirstToken <= 0 || o.Tokens <= 0 {
		return
	}
	st.first.add(o.FirstToken.Seconds())
	if allowed := min(nonZero(f.MaxTokens, t.MaxTokens), nonZero(t.MaxTokens, f.MaxTokens)); allowed > 0 {
		st.length.add(min(float64(o.Tokens+f.delivered)/float64(allowed), 1))
	}
	if o.Tokens > 1 {
		each := (o.Total - o.FirstToken).Seconds() / float64(o.Tokens-1)
		s.learn(each, st.token.mean)
		st.token.add(each)
	}
}

// learnLate takes in an attempt that was given up on after longer than it should
// have taken. Without it only the quick answers of an overloaded server would
// count, and it would seem fast.
func (t *targetState) learnLate(now time.Time, f *flight) {
	usual := t.expected(f, 0) * f.at.slowness()
	took := now.Sub(f.sentAt).Seconds()
	if usual <= 0 || took <= usual {
		return
	}
	late := min(took/usual, lateFactor)
	t.service.last = now
	t.service.first.add(t.service.first.mean * late)
	f.at.learn(late*f.at.slowness(), 1)
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

func nonZero(a, b int) int {
	if a > 0 {
		return a
	}
	return b
}
