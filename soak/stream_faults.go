package soak

import (
	"math"
	"math/rand/v2"
	"time"

	"greengageferry/platform/standin"
)

const (
	// cutShare is the share of streams that servers cut short, cutDuration for how long.
	cutShare    = 0.2
	cutDuration = 6 * time.Second
)

// streamFaults draws a time in which servers cut streams short and, for half of the seeds, a
// release of a software version. A separate random source keeps
// a seed's other faults unchanged.
func streamFaults(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 13
	rng := rand.New(rand.NewPCG(seed, stream))
	faults := []fault{{
		name: "servers cut streams", run: cutStreams, duration: cutDuration,
		at:  time.Duration(rng.Int64N(int64(period))),
		rng: rand.New(rand.NewPCG(seed, stream+1)),
	}}
	if rng.IntN(2) == 0 {
		return faults
	}
	return append(faults, fault{
		name: "release of a version", run: release, duration: releasePause,
		at:  time.Duration(rng.Int64N(int64(period))),
		rng: rand.New(rand.NewPCG(seed, stream+2)),
	})
}

// releasePause is how long a server that a release replaces goes on serving.
const releasePause = time.Second

// upgrade replaces a server of models of one version by one of another, and reports whether
// there was one at the endpoint.
func (d *Deployment) upgrade(e *endpoint, from, to string) bool {
	d.mu.Lock()
	if e.homeService != standin.ServiceEngines || e.version != from {
		d.mu.Unlock()
		return false
	}
	e.version = to
	d.mu.Unlock()
	d.Replace(e, releasePause)
	return true
}

// release replaces the servers of one version by those of a new one, one after the other.
func release(d *Deployment, _ *rand.Rand, _ time.Duration) error {
	for _, e := range d.endpoints {
		d.upgrade(e, "v1", "v3")
	}
	return nil
}

// cutStreams makes all servers that hold models cut a share of their streams short.
func cutStreams(d *Deployment, _ *rand.Rand, duration time.Duration) error {
	d.setCutShare(cutShare)
	time.Sleep(duration)
	d.setCutShare(0)
	return nil
}

// setCutShare sets the share of streams that each server of models cuts short.
func (d *Deployment) setCutShare(share float64) {
	for _, e := range d.endpoints {
		if e.homeService == standin.ServiceEngines {
			e.server.Load().CutStreams(share)
		}
	}
}
