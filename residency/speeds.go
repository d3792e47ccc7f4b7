package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengageferry/decide"
	"greengageferry/topology"
)

const (
	// speedFitInterval is the time between two fits of the servers' speeds.
	speedFitInterval = 250 * time.Millisecond
	// speedRepeatTime is how long a speed that changed is in every answer, so that three answers to
	// each instance hold it.
	speedRepeatTime = 1500 * time.Millisecond
	// speedRounds is the number of answers over which all speeds are sent to an instance: each
	// answer holds the next part of them. With two answers a second that takes 10 s.
	speedRounds = 20
	// minSpeedsSent is the least number of speeds in such a part.
	minSpeedsSent = 16
	// minSpeedChange is the ratio of the greater to the smaller speed from which a change is sent
	// in the next answers and logged.
	minSpeedChange = 4.0 / 3
	// maxChangesSent bounds the changes in one answer. Where more servers change at once, as
	// after a new lease holder's first fit, the others are sent with the parts of all speeds.
	maxChangesSent = 48
	// maxSpeedChanges bounds the changes kept for the log.
	maxSpeedChanges = 20
)

// SpeedChange is a server's speed that became known or changed by minSpeedChange or more.
type SpeedChange struct {
	decide.ServerSpeed
	Before float64 // earlier speed relative to the mean of its pool; 1 if none was known
}

// speedTracker estimates servers' speeds from the samples of all instances and chooses which speeds
// each instance is sent. A report holds the samples since the one before, so that none is counted
// twice and a lost report loses only its own.
type speedTracker struct {
	estimator *decide.SpeedEstimator
	fittedAt  time.Time
	sent      []sentSpeed    // of servers whose speed has ever differed from 1, by server and start
	next      map[string]int // index in sent at which an instance's next part begins, by instance
	changes   []SpeedChange  // since the last call of TakeSpeedChanges
}

// sentSpeed is a speed that instances are sent.
type sentSpeed struct {
	decide.ServerSpeed
	announced   float64 // the speed at the newest change by minSpeedChange or more
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
	before := make(map[topology.ServerStart]sentSpeed, len(t.sent))
	for _, s := range t.sent {
		before[topology.ServerStart{ID: s.Server, Start: s.Start}] = s
	}
	t.sent = t.sent[:0]
	for _, s := range t.estimator.Speeds() {
		key := topology.ServerStart{ID: s.Server, Start: s.Start}
		old, known := before[key]
		delete(before, key)
		if known || s.Speed != 1 {
			t.sent = append(t.sent, t.announce(now, old, s))
		}
	}
	t.keep(before)
}

// keep keeps the last speeds of servers that have too few recent answers for a new estimate.
func (t *speedTracker) keep(last map[topology.ServerStart]sentSpeed) {
	for key, s := range last {
		if t.estimator.Has(key.ID, key.Start) {
			t.sent = append(t.sent, s)
		}
	}
	slices.SortFunc(t.sent, func(a, b sentSpeed) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Start, b.Start))
	})
}

// announce returns the speed to send of a server, and records a change against the old one.
func (t *speedTracker) announce(now time.Time, old sentSpeed, s decide.ServerSpeed) sentSpeed {
	known := old.announced > 0
	if known && math.Abs(math.Log(s.Speed/old.announced)) < math.Log(minSpeedChange) {
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
	return sentSpeed{ServerSpeed: s, announced: s.Speed, announcedAt: now}
}

// forInstance returns the speeds to send to an instance: those that changed lately, and the next
// part of all.
func (t *speedTracker) forInstance(now time.Time, instance string) []decide.ServerSpeed {
	n := len(t.sent)
	if n == 0 {
		return nil
	}
	partSize := min(max(minSpeedsSent, n/speedRounds), n)
	first := t.next[instance] % n
	t.next[instance] = first + partSize
	var out []decide.ServerSpeed
	changes := 0
	for i, s := range t.sent {
		switch {
		case (i-first+n)%n < partSize:
			out = append(out, s.ServerSpeed)
		case changes < maxChangesSent && now.Sub(s.announcedAt) < speedRepeatTime:
			changes++
			out = append(out, s.ServerSpeed)
		}
	}
	return out
}

// Speeds returns the servers' speeds to send to an instance, as all instances together measured
// them. They are a part of all speeds, which the next calls complete.
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

// Speed returns a server's work per time relative to the mean of its pool, 1 if unknown.
func (d *DemandTracker) Speed(server, start string) float64 {
	return d.speeds.estimator.Speed(server, start)
}

// TakeSpeedChanges returns the changes of speed since the last call, at most maxSpeedChanges.
func (d *DemandTracker) TakeSpeedChanges() []SpeedChange {
	out := d.speeds.changes
	d.speeds.changes = nil
	return out
}
