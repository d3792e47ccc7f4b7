package soak

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minCopyAge and maxCopyAge bound the age of the copy from which the store is
	// restored, as of the start of the outage.
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 3500 * time.Millisecond
	// restoreDowntime is how long the store is down while it is restored.
	restoreDowntime = 300 * time.Millisecond
	// The store's answers take between minSlowAnswer and maxSlowAnswer longer while it is
	// slow, which lasts for slowStoreDuration.
	minSlowAnswer     = 500 * time.Millisecond
	maxSlowAnswer     = 4 * time.Second
	slowStoreDuration = 8 * time.Second
	// maxRewriteDelay bounds the time from the restore until the operator writes the
	// newest configuration again.
	maxRewriteDelay = time.Second
)

// slowStores draws, for half of the seeds, a time in which the store answers everything,
// only late. Separate random sources keep a seed's other faults unchanged.
func slowStores(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 5
	rng := rand.New(rand.NewPCG(seed, stream))
	if rng.IntN(2) == 0 {
		return nil
	}
	return []fault{{
		name: "store answers slowly", run: slowDownStore, duration: slowStoreDuration,
		at:  time.Duration(rng.Int64N(int64(period))),
		rng: rand.New(rand.NewPCG(seed, stream+1)),
	}}
}

// storeRestores draws one restore of the store from an older copy for half of the seeds.
// Separate random sources keep a seed's other faults unchanged.
func storeRestores(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 3
	rng := rand.New(rand.NewPCG(seed, stream))
	if rng.IntN(2) == 0 {
		return nil
	}
	return []fault{{
		name: "store restored from an older copy", run: restoreStore,
		at:       time.Duration(rng.Int64N(int64(period))),
		duration: minCopyAge + time.Duration(rng.Int64N(int64(maxCopyAge-minCopyAge))),
		rng:      rand.New(rand.NewPCG(seed, stream+1)),
	}}
}

// restoreStore takes the store down and restores it from a copy taken at the start of the
// fault. The operator writes the newest configuration again after a random delay, and
// servers write their entries again with their next heartbeats.
func restoreStore(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	snapshot := d.Store.Snapshot()
	time.Sleep(duration)
	d.Store.SetDown(true)
	time.Sleep(restoreDowntime)
	d.Store.Restore(snapshot)
	d.Store.SetDown(false)
	time.Sleep(time.Duration(rng.Int64N(int64(maxRewriteDelay))))
	return d.RewriteConfig()
}

// slowDownStore delays the store's answers, to all instances or to one of them.
func slowDownStore(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	slow := d.Instances
	if rng.IntN(2) == 0 {
		slow = []*Process{d.randomInstance(rng)}
	}
	delay := (minSlowAnswer + time.Duration(rng.Int64N(int64(maxSlowAnswer-minSlowAnswer)))) / 2 // each way
	for _, p := range slow {
		p.StoreLink.Set(LinkState{Delay: delay})
	}
	time.Sleep(duration)
	for _, p := range slow {
		p.StoreLink.Set(LinkState{})
	}
	return nil
}

// takeStoreDown makes the store refuse all calls for the duration.
func takeStoreDown(d *Deployment, _ *rand.Rand, duration time.Duration) error {
	d.Store.SetDown(true)
	time.Sleep(duration)
	d.Store.SetDown(false)
	return nil
}

// makeStoreLossy makes the store lose answers to calls of the group membership for the duration.
func makeStoreLossy(d *Deployment, _ *rand.Rand, duration time.Duration) error {
	d.Store.SetLoseJoinResponses(true)
	time.Sleep(duration)
	d.Store.SetLoseJoinResponses(false)
	return nil
}
