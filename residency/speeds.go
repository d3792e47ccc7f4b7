package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengageferry/decide"
)

const (
	// speedFitInterval is the time between two fits of the servers' speeds.
	speedFitInterval = 250 * time.Millisecond
	// speedTellTime is how long a speed that changed is told in every answer: three reports
	// of each instance.
	speedTellTime = 1500 * time.Millisecond
	// minSpeedsTold and speedTurns set how many of the other speeds an answer tells in turn:
	// a speedTurns-th of all, or minSpeedsTold if that is more. Twice a second, that is all
	// speeds within 10 s.
	minSpeedsTold = 16
	speedTurns    = 20
	// speedStep is the ratio, either way, from which a change is told at once and logged.
	speedStep = 4.0 / 3
	// maxChangesTold bounds the changes in one answer. Where more servers change at once, as
	// after a new lease holder's first fit, the others are told in turn.
	maxChangesTold = 48
	// maxSpeedChanges bounds the changes kept for the log.
	maxSpeedChanges = 20
)

// SpeedChange is a server's speed that became known or changed by more than a third.
type SpeedChange struct {
	decide.ServerSpeed
	Before float64 // 1 if none was known
}

// speedTracker holds what all instances measured of servers' speeds, and whom it told what. A
// report holds sums since the one before, so none is counted twice and a lost one loses its
// own only.
type speedTracker struct {
	estimator *decide.SpeedEstimator
	fittedAt  time.Time
	told      []toldSpeed // servers whose speed has ever differed from 1
	next      map[string]int
	changes   []SpeedChange
}

// toldSpeed is a speed that instances are told.
type toldSpeed struct {
	decide.ServerSpeed
	announced   float64 // the speed at the newest change by more than speedStep
	announcedAt time.Time
}

func newSpeedTracker() *speedTracker {
	return &speedTracker{estimator: decide.NewSpeedEstimator(), next: map[string]int{}}
}

// update fits the speeds if that was last done speedFitInterval ago.
func (t *speedTracker) update(now time.Time) {
	if now.Sub(t.fittedAt) < speedFitInterval {
		return
	}
	t.fittedAt = now
	t.estimator.Fit(now)
	before := make(map[speedKey]toldSpeed, len(t.told))
	for _, s := range t.told {
		before[speedKey{s.Server, s.Start}] = s
	}
	t.told = t.told[:0]
	for _, s := range t.estimator.Speeds() {
		key := speedKey{s.Server, s.Start}
		old, known := before[key]
		delete(before, key)
		if known || s.Speed != 1 {
			t.told = append(t.told, t.announce(now, old, s))
		}
	}
	t.keep(before)
}

// keep goes on telling the last speeds of servers that have few answers now.
func (t *speedTracker) keep(last map[speedKey]toldSpeed) {
	for key, s := range last {
		if t.estimator.Has(key.server, key.start) {
			t.told = append(t.told, s)
		}
	}
	slices.SortFunc(t.told, func(a, b toldSpeed) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Start, b.Start))
	})
}

// speedKey identifies a start of a server.
type speedKey struct{ server, start string }

// announce returns what to tell of a server, given what was told before.
func (t *speedTracker) announce(now time.Time, old toldSpeed, s decide.ServerSpeed) toldSpeed {
	known := old.announced > 0
	if known && math.Abs(math.Log(s.Speed/old.announced)) < math.Log(speedStep) {
		old.ServerSpeed = s
		return old
	}
	change := SpeedChange{ServerSpeed: s, Before: 1}
	if known {
		change.Before = old.announced
	}
	if len(t.changes) < maxSpeedChanges {
		t.changes = append(t.changes, change)
	}
	return toldSpeed{ServerSpeed: s, announced: s.Speed, announcedAt: now}
}

// forInstance returns the speeds to tell an instance: those that changed lately, and the next
// of the others in turn.
func (t *speedTracker) forInstance(now time.Time, instance string) []decide.ServerSpeed {
	n := len(t.told)
	if n == 0 {
		return nil
	}
	inTurn := min(max(minSpeedsTold, n/speedTurns), n)
	first := t.next[instance] % n
	t.next[instance] = first + inTurn
	var out []decide.ServerSpeed
	changes := 0
	for i, s := range t.told {
		switch {
		case (i-first+n)%n < inTurn:
			out = append(out, s.ServerSpeed)
		case changes < maxChangesTold && now.Sub(s.announcedAt) < speedTellTime:
			changes++
			out = append(out, s.ServerSpeed)
		}
	}
	return out
}

// Speeds returns what an instance is told of the servers' speeds, as all instances together
// measured them.
func (d *DemandTracker) Speeds(now time.Time, instance string) []decide.ServerSpeed {
	d.speeds.update(now)
	if len(d.speeds.next) > 2*len(d.instances) {
		for name := range d.speeds.next {
			if d.instances[name] == nil {
				delete(d.speeds.next, name)
			}
		}
	}
	return d.speeds.forInstance(now, instance)
}

// Speed returns a server's work per time relative to the mean of its pool, 1 if not known.
func (d *DemandTracker) Speed(server, start string) float64 {
	return d.speeds.estimator.Speed(server, start)
}

// TakeSpeedChanges returns the changes of speed since the last call, at most maxSpeedChanges.
func (d *DemandTracker) TakeSpeedChanges() []SpeedChange {
	out := d.speeds.changes
	d.speeds.changes = nil
	return out
}
