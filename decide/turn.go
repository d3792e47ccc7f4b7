package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// ownPart is the part of its equal share that an instance takes for itself while
	// nobody shares the limit out: instances may be more than it was told of, and a
	// lease holder that others reach goes on sharing out the whole.
	ownPart = 0.7
	// turnOpen is how long an instance may use one of its turns: requests come when
	// they come, and turns that are kept open for longer add up.
	turnOpen = 3 * time.Second
)

// schedule sets the instance's own turns at a server, for when nobody shares the
// limit out. They begin anew with each word of the lease holder, which all
// instances hear within the same half second.
func (s *Scheduler) schedule(l *limitState) {
	r := &s.rationing
	every := time.Duration(0)
	if rate := l.PerSecond * ownPart / r.instanceCount(); rate > 0 {
		every = time.Duration(min(float64(time.Second)/rate, float64(math.MaxInt64)/2))
	}
	from := r.updatedAt.Add(sharesTTL)
	position := r.position
	if r.updatedAt.IsZero() {
		from, position = l.namedSince, s.rationing.drawn(s.rng)
	}
	l.turnsStart, l.turnInterval = from.Add(time.Duration(position*float64(every))), every
}

// drawn returns the position of an instance that was told none: it stays the same.
func (r *rationing) drawn(rng *rand.Rand) float64 {
	if r.position == 0 {
		r.position = rng.Float64()
	}
	return r.position
}

// turn says whether a turn is open that no request was sent in yet. Turns move when
// the limit does: two requests are half of the time between turns apart at least.
func (l *limitState) turn(now time.Time) bool {
	since := now.Sub(l.turnsStart)
	if l.turnInterval <= 0 || since < 0 || now.Sub(l.lastSentAt) < l.turnInterval/2 {
		return false
	}
	into := since % l.turnInterval
	return into < turnOpen && l.lastSentAt.Before(now.Add(-into))
}
