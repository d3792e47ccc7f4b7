package residency

import (
	"cmp"
	"slices"
	"time"
)

const (
	// turnShare is the share of its goal after which a model whose requests wait without a
	// replica gets a turn. The rest of the goal is left to the load.
	turnShare = 0.25
	// turnLoadShare is the share of the weight store's rate that is kept for turns.
	turnLoadShare = 0.3
	// turnBurst is how many turns may begin at once.
	turnBurst = 2.0
	// minTurnGoal is the goal that requests without one, or with a shorter one, count as having.
	minTurnGoal = 200 * time.Millisecond
)

// dueModels returns the models whose requests have waited without a replica for a part of their
// goal: first those that are being loaded, then those whose wait weighs most. A wait counts the more
// the longer it lasts, so that each model comes to its turn.
func (w *pool) dueModels() []*model {
	var out []*model
	for _, m := range w.modelList {
		if m.unserved > 0 && m.unserved >= time.Duration(turnShare*float64(m.goal)) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.pending, a.pending), cmp.Compare(w.turnGain(b), w.turnGain(a)))
	})
	return out
}

// updateUnserved brings up to date since when requests for each model wait although no server
// serves it.
func (w *pool) updateUnserved() {
	for _, m := range w.modelList {
		key := w.targetName(m.Name, 0)
		if m.waiting == 0 || len(m.replicas) > m.pending {
			delete(w.p.unservedSince, key)
			continue
		}
		since, ok := w.p.unservedSince[key]
		if !ok {
			since = w.now
			w.p.unservedSince[key] = since
		}
		m.unserved = w.now.Sub(since)
	}
}

// turnGain returns the gain of a first replica, which counts the more the longer requests have
// waited for it.
func (w *pool) turnGain(m *model) float64 {
	return w.gain(m, 0) * m.unserved.Seconds() / (turnShare * max(m.goal, minTurnGoal).Seconds())
}

// awaitsTurn reports whether the model's turn has come and its load isn't ordered yet.
func (m *model) awaitsTurn() bool { return m.turn && len(m.replicas) == 0 }
