package residency

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overdueGoalShare is the share of a model's goal after which the model is overdue if its
	// requests wait without a replica. The rest of the goal is left for the load.
	overdueGoalShare = 0.25
	// overdueLoadShare is the share of the weight store's rate at which overdue models are loaded
	// before others.
	overdueLoadShare = 0.3
	// overdueBurst is how many loads of overdue models may precede others at once.
	overdueBurst = 2.0
	// minOverdueGoal is the shortest goal that overdueGain assumes, also for requests without one.
	minOverdueGoal = 200 * time.Millisecond
)

// overdueModels returns the models whose requests have waited without a replica for
// overdueGoalShare of their goal: first those that are being loaded, then by overdueGain, which
// grows with the wait, so that no model waits forever.
func (w *pool) overdueModels() []*model {
	var out []*model
	for _, m := range w.modelList {
		if m.unserved > 0 && m.unserved >= time.Duration(overdueGoalShare*float64(m.goal)) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.pending, a.pending), cmp.Compare(w.overdueGain(b), w.overdueGain(a)))
	})
	return out
}

// updateUnserved updates since when requests have waited for each model that no server serves.
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

// overdueGain returns the gain of a first replica, multiplied by the time that requests have waited
// for it relative to the time after which the model is overdue.
func (w *pool) overdueGain(m *model) float64 {
	return w.gain(m, 0) * m.unserved.Seconds() / (overdueGoalShare * max(m.goal, minOverdueGoal).Seconds())
}

// awaitsOverdueLoad reports whether the model is overdue and its load isn't ordered yet.
func (m *model) awaitsOverdueLoad() bool { return m.overdue && len(m.replicas) == 0 }
