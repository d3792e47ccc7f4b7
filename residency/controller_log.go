package residency

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
)

// logShortages logs each model that lacks replicas, once a second. The lock is held.
func (c *Controller) logShortages(now time.Time) {
	if now.Sub(c.shortagesLoggedAt) < shortageLogInterval {
		return
	}
	c.shortagesLoggedAt = now
	for _, l := range c.planner.Shortages() {
		c.o.Log.WithFields(logrus.Fields{
			"service": l.Service, "model": l.Model, "demand": int(l.Concurrency + 0.5), "waiting": l.Waiting,
			"wanted": l.Needed, "places": l.Desired, "gain": math.Round(100*l.Gain) / 100, "weight": math.Round(100*l.Weight) / 100,
			"replicas": l.Replicas, "coming": l.Pending, "loads_left": int(l.LoadBudget),
		}).Info("model lacks replicas")
	}
}

// logSpeedChanges logs the servers whose speed became known or changed, once a second. The lock
// is held.
func (c *Controller) logSpeedChanges(now time.Time) {
	if now.Sub(c.speedsLoggedAt) < speedLogInterval {
		return
	}
	c.speedsLoggedAt = now
	for _, s := range c.demand.TakeSpeedChanges() {
		c.o.Log.WithFields(logrus.Fields{
			"server": s.Server, "start": s.Start, "speed": math.Round(s.Speed*100) / 100, "before": math.Round(s.Before*100) / 100, "answers": int(s.Count),
		}).Info("server speed changed")
	}
}

// extensionState is what was last logged of a lease whose renewal has expired.
type extensionState struct{ expired, extended bool }

// logExtension logs when the lease's renewal has expired whether the lease is extended, or an
// instance that prevents that, and each change of it. The lock is held.
func (c *Controller) logExtension(expired bool, epoch int64) {
	state := extensionState{expired: expired, extended: expired && epoch != 0}
	if state == c.loggedExtension {
		return
	}
	c.loggedExtension = state
	now, renewedAt := c.o.Lease.Now(), c.o.Lease.newestRenewal()
	f := logrus.Fields{"renewed_ms": (now - renewedAt).Milliseconds()}
	switch {
	case state.extended:
		c.o.Log.WithFields(f).Info("lease extended")
	case expired:
		f["waits_for"], _ = c.contenders.mayReachStore(now, renewedAt)
		c.o.Log.WithFields(f).Warn("lease expired, no orders")
	}
}
