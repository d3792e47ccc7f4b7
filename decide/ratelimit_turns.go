package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// unsharedFraction is the part of its equal share of a rate limit that an instance
	// uses while no lease holder distributes the limit. It is less than 1 because there
	// may be more instances than it knows of, and because a lease holder that other
	// instances still reach goes on distributing the whole limit.
	unsharedFraction = 0.7
	// turnWindow is how long a turn may be used. Requests arrive at arbitrary times, but
	// unused turns that stay open for longer add up.
	turnWindow = 3 * time.Second
)

// scheduleTurns sets the instance's own turns at a server, for when no lease holder
// distributes its rate limit. The turns restart with each message from the lease holder,
// which all instances receive within the same half second.
func (s *Scheduler) scheduleTurns(l *limitState) {
	r := &s.rateSharing
	every := time.Duration(0)
	if rate := l.PerSecond * unsharedFraction / r.instanceCount(); rate > 0 {
		every = time.Duration(min(float64(time.Second)/rate, float64(math.MaxInt64)/2))
	}
	from := r.updatedAt.Add(sharesTTL)
	position := r.position
	if r.updatedAt.IsZero() {
		from, position = l.namedSince, s.rateSharing.randomPosition(s.rng)
	}
	l.turnsStart, l.turnInterval = from.Add(time.Duration(position*float64(every))), every
}

// randomPosition returns the position of an instance that wasn't told one. It is drawn
// once and then stays the same.
func (r *rateSharing) randomPosition(rng *rand.Rand) float64 {
	if r.position == 0 {
		r.position = rng.Float64()
	}
	return r.position
}

// inUnusedTurn reports whether a turn is open in which no request was sent yet. Turns move
// when the limit changes, so two requests are at least half of the turn interval apart.
func (l *limitState) inUnusedTurn(now time.Time) bool {
	since := now.Sub(l.turnsStart)
	if l.turnInterval <= 0 || since < 0 || now.Sub(l.lastSentAt) < l.turnInterval/2 {
		return false
	}
	into := since % l.turnInterval
	return into < turnWindow && l.lastSentAt.Before(now.Add(-into))
}
