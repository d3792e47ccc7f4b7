package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/residency"
	"greengageferry/supervise"
)

// CountStore keeps the number of instances and the candidates for the lease beyond the end of all
// of them. Until a lease holder has answered, an instance that starts anew knows by them its part of
// what all instances share, and whom it may ask.
type CountStore interface {
	SaveInstances(ctx context.Context, n int) error
	SaveCandidates(ctx context.Context, candidates residency.Candidates) error
	LoadInstances(ctx context.Context) (residency.SavedInstances, error)
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
	savedCandidates, candidatesSavedAt := uint64(0), time.Time{}
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
		candidates := i.candidatesToSave()
		if digest := candidates.Digest(); len(candidates) > 0 && digest != savedCandidates && now.Sub(candidatesSavedAt) >= saveInterval {
			candidatesSavedAt = now
			if i.saveCandidates(ctx, candidates) {
				savedCandidates = digest
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
	saved, err := i.opts.Counts.LoadInstances(ctx)
	i.metrics.observeStoreCall("count", began, err)
	if err != nil {
		i.log.WithField("error", err).Warn("number of instances not loaded")
		return
	}
	i.usePeersUntilTold(saved.Candidates)
	if n := saved.Count; n > 0 {
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

// candidatesToSave returns the candidates for the lease while this instance holds it.
func (i *Instance) candidatesToSave() residency.Candidates {
	if !i.lease.Holds() {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.candidates
}

func (i *Instance) saveCandidates(ctx context.Context, candidates residency.Candidates) bool {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	if err := i.opts.Counts.SaveCandidates(ctx, candidates); err != nil {
		i.log.WithField("error", err).Warn("lease candidates not saved")
		return false
	}
	i.log.WithField("candidates", len(candidates)).Info("lease candidates saved")
	return true
}

// usePeersUntilTold takes over candidates that an earlier lease holder saved, unless one has told
// this instance of others.
func (i *Instance) usePeersUntilTold(candidates residency.Candidates) {
	i.mu.Lock()
	told := len(i.candidates) > 0
	i.mu.Unlock()
	if told || len(candidates) == 0 {
		return
	}
	i.log.WithField("candidates", len(candidates)).Info("lease candidates loaded")
	i.setPeers(candidates)
}
