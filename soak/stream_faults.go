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

// streamFaults draws a time in which servers cut streams short. A separate random source keeps
// a seed's other faults unchanged.
func streamFaults(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 13
	rng := rand.New(rand.NewPCG(seed, stream))
	return []fault{{
		name: "servers cut streams", run: cutStreams, duration: cutDuration,
		at:  time.Duration(rng.Int64N(int64(period))),
		rng: rand.New(rand.NewPCG(seed, stream+1)),
	}}
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
