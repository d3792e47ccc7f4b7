package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/supervise"
)

// CountStore keeps the number of instances beyond the end of all of them: each one that
// starts anew needs it to know its part of what all instances share until a lease holder has
// counted them.
type CountStore interface {
	SaveInstances(ctx context.Context, n int) error
	LoadInstances(ctx context.Context) (int, error) // 0: none was saved
}

const (
	// countInterval is how often an instance checks whether to load or save the number.
	countInterval = 200 * time.Millisecond
	// saveInterval is the minimum time between two writes of the number.
	saveInterval = 3 * time.Second
	// minCountChange is the relative change from which on the number is written again.
	minCountChange = 0.1
	// countTimeout bounds one read or write of the number.
	countTimeout = 400 * time.Millisecond
	// loadDelay is how long, at random up to it, an instance waits before it loads the
	// number: a lease holder that answers meanwhile says it.
	loadDelay = 600 * time.Millisecond
	// loadRetryDelay is the pause after a load that failed or found no number.
	loadRetryDelay = 2 * time.Second
)

// keepCount is the duty that loads the number of instances if no lease holder has sent it,
// and saves it while this instance holds the lease.
func (i *Instance) keepCount(ctx context.Context) error {
	saved, savedAt := 0, time.Time{}
	loadAt := time.Now().Add(rand.N(loadDelay))
	for supervise.Pause(ctx, countInterval) {
		now := time.Now()
		n := i.countedInstances()
		switch {
		case n == 0 && i.savedInstances.Load() == 0 && now.After(loadAt):
			loadAt = now.Add(loadRetryDelay)
			i.loadCount(ctx)
		case n > 0 && i.lease.Holds() && countChanged(saved, n) && now.Sub(savedAt) >= saveInterval:
			savedAt = now
			if i.saveCount(ctx, n) {
				saved = n
			}
		}
	}
	return nil
}

// countedInstances returns the number of instances that a lease holder has counted, 0 if none
// has sent it.
func (i *Instance) countedInstances() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.view.InstancesKnown {
		return 0
	}
	return i.view.Instances()
}

// countChanged reports whether the number of instances differs enough from the saved one.
func countChanged(saved, n int) bool {
	difference := max(saved-n, n-saved)
	return float64(difference) > minCountChange*float64(saved)
}

func (i *Instance) loadCount(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	began := time.Now()
	n, err := i.opts.Counts.LoadInstances(ctx)
	i.metrics.observeStoreCall("count", began, err)
	if err != nil {
		i.log.WithField("error", err).Warn("number of instances not loaded")
		return
	}
	if n > 0 {
		i.savedInstances.Store(int64(n))
		i.allowances.meter.SetInstances(n)
		i.signalViewChanged()
		i.log.WithField("instances", n).Info("number of instances loaded")
	}
}

func (i *Instance) saveCount(ctx context.Context, n int) bool {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	if err := i.opts.Counts.SaveInstances(ctx, n); err != nil {
		i.log.WithFields(logrus.Fields{"instances": n, "error": err}).Warn("number of instances not saved")
		return false
	}
	i.log.WithField("instances", n).Info("number of instances saved")
	return true
}
