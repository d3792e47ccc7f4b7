package soak

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"greengageferry/platform/standin"
)

const (
	// answerFaultShare is the share of the answers that each fault of servers' answers spoils,
	// answerFaultDuration for how long.
	answerFaultShare    = 0.3
	answerFaultDuration = 4 * time.Second
	// spoiledCutShare is the share of streams that are cut meanwhile, so that many go on elsewhere.
	spoiledCutShare = 0.4
	// minAnswerFaults and answerFaultsRange are how many kinds of such faults a run has at least,
	// and how many more it may have.
	minAnswerFaults   = 2
	answerFaultsRange = 3
	// endInterval is the time between two servers that end in good order, endDowntime the time
	// until such a server is back.
	endInterval = time.Second
	endDowntime = 500 * time.Millisecond
)

// answerFaultKinds are the ways in which servers answer wrongly.
var answerFaultKinds = []faultKind{
	streamFaultKind(standin.ResumesAtFirst),
	streamFaultKind(standin.ResumesAtLast),
	streamFaultKind(standin.ResumesTooLate),
	streamFaultKind(standin.ResumesNowhere),
	streamFaultKind(standin.ResumesWithText),
	streamFaultKind(standin.RunGoesBack),
	streamFaultKind(standin.RunRepeats),
	{"servers send extra copies of refusals", 1, copyRefusals},
}

// serversEnd is the kind of fault in which servers end in good order.
var serversEnd = faultKind{"servers end in good order", 1, endServers}

// answerFaults draws times in which servers answer wrongly. A separate random source keeps a seed's
// other faults unchanged.
func answerFaults(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 19
	rng := rand.New(rand.NewPCG(seed, stream))
	kinds := rng.Perm(len(answerFaultKinds))[:minAnswerFaults+rng.IntN(answerFaultsRange)]
	var faults []fault
	for n, kind := range kinds {
		f := drawFault(answerFaultKinds[kind], period, rng, rand.NewPCG(seed, stream+1+uint64(n)))
		f.duration = answerFaultDuration
		faults = append(faults, f)
	}
	if rng.IntN(2) == 0 {
		return faults
	}
	ends := drawFault(serversEnd, period, rng, rand.NewPCG(seed, stream-1))
	ends.duration = answerFaultDuration
	return append(faults, ends)
}

// streamFaultKind returns the kind of fault in which servers spoil a share of their streams.
func streamFaultKind(f standin.StreamFault) faultKind {
	return faultKind{string(f), 1, func(d *Deployment, _ *rand.Rand, duration time.Duration) error {
		end := d.streamFaults.begin(standin.StreamFaults{Fault: f, CutShare: spoiledCutShare}, answerFaultShare)
		defer end()
		time.Sleep(duration)
		return nil
	}}
}

// activeStreamFaults are the faults of streams that all servers have now. It is safe for concurrent
// use.
type activeStreamFaults struct {
	mu     sync.Mutex
	active []*activeStreamFault
}

// activeStreamFault is a fault of a share of the streams. The others only are cut as often.
type activeStreamFault struct {
	faults standin.StreamFaults
	share  float64
}

// begin begins a fault of a share of the streams. The result ends it.
func (a *activeStreamFaults) begin(f standin.StreamFaults, share float64) (end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	added := &activeStreamFault{f, share}
	a.active = append(a.active, added)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.active = slices.DeleteFunc(a.active, func(f *activeStreamFault) bool { return f == added })
	}
}

// draw draws the faults of one answer.
func (a *activeStreamFaults) draw() standin.StreamFaults {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.active) == 0 {
		return standin.StreamFaults{}
	}
	f := a.active[rand.IntN(len(a.active))]
	faults := f.faults
	if rand.Float64() >= f.share {
		faults.Fault = ""
	}
	return faults
}

// endServers ends servers of models one after the other while their streams have neither a length
// nor chunks, and starts each again under its id.
func endServers(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	end := d.streamFaults.begin(standin.StreamFaults{Unframed: true}, 1)
	defer end()
	for began := time.Now(); time.Since(began) < duration; time.Sleep(endInterval - endDowntime) {
		e := d.randomEndpoint(rng)
		if err := d.End(e); err != nil {
			return err
		}
		time.Sleep(endDowntime)
		d.Restart(e, false)
	}
	return nil
}
