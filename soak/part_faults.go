package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"greengageferry/platform/standin"
)

const (
	// partsLength is how long requests are sent of which one part crashes servers, partsInterval
	// apart, and partsRestart how long a server that they crashed takes to be back.
	partsLength   = 14 * time.Second
	partsInterval = 150 * time.Millisecond
	partsRestart  = time.Second
	// fewCrashes is how many servers such requests may crash, whatever comes after that; from
	// stableWindow after the last of these on only maxLateCrashes more.
	fewCrashes     = 5
	maxLateCrashes = 3
	// minSoundShare is the least share of the sound requests that is served from twice
	// stableWindow after these crashes, of the share before.
	minSoundShare = 0.9
)

// soundParts returns the parts of a sound request's prompt. All share the first.
func soundParts(id string) string { return "f1457:100,5e55:50," + id + ":7" }

// crashingParts returns the parts of the prompt of a request that crashes servers.
func crashingParts(id string) string { return "f1457:100," + standin.CrashPart + ":50," + id + ":7" }

// partFaults draws whether requests are sent of which one part crashes servers. A separate random
// source keeps a seed's other faults unchanged.
func partFaults(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 17
	rng := rand.New(rand.NewPCG(seed, stream))
	if rng.IntN(3) > 0 {
		return nil
	}
	return []fault{{
		name: "a part of prompts crashes servers", duration: partsLength / 2,
		at:  time.Duration(rng.Int64N(int64(period))),
		rng: rand.New(rand.NewPCG(seed, stream+1)),
		run: func(d *Deployment, rng *rand.Rand, duration time.Duration) error {
			d.sendCrashingParts(duration, func(int) *Process { return d.randomInstance(rng) })
			return nil
		},
	}}
}

// sendCrashingParts sends requests of which no two are alike and one part crashes servers, for so
// long, the nth through the instance that instance returns. It returns when they crashed servers.
func (d *Deployment) sendCrashingParts(length time.Duration, instance func(n int) *Process) []time.Time {
	d.restartDelay.Store(int64(partsRestart))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	var group errgroup.Group
	var crashes []time.Time
	before := d.crashes.Load()
	for end, n := time.Now().Add(length), 0; time.Now().Before(end); n++ {
		p := instance(n)
		group.Go(func() error {
			d.sendCrashingPart(transport, p)
			return nil
		})
		time.Sleep(partsInterval)
		for now := d.crashes.Load(); before < now; before++ {
			crashes = append(crashes, time.Now())
		}
	}
	_ = group.Wait() // no error is returned
	return crashes
}

// sendCrashingPart sends one such request through an instance.
func (d *Deployment) sendCrashingPart(transport *http.Transport, p *Process) {
	id := d.newProbeID()
	d.send(transport, p, KindStream, standin.Ask{ID: id, Path: standin.StreamPath + id, Model: standin.BusyModel, Body: id, Parts: crashingParts(id)})
}

// checkCrashingParts sends such requests without other faults, and checks how many servers they
// crash and what becomes of sound ones. It goes on until sound requests of at least stableWindow
// count, also if the first crash comes late: an earlier fault may have shown the part.
func (r *runner) checkCrashingParts() {
	start := time.Now()
	time.Sleep(stableWindow)
	before := r.soundShare(start, time.Now())
	crashes := r.deployment.sendCrashingParts(partsLength, r.nextInstance)
	for len(crashes) > 0 && time.Since(lastOfFew(crashes)) < 3*stableWindow {
		crashes = append(crashes, r.deployment.sendCrashingParts(partsInterval, r.nextInstance)...)
	}
	end := time.Now()
	r.reportParts(start, end, before, crashes)
	r.waitUntil(r.opts.Bounds.Recover, r.allServe)
}

// lastOfFew returns the last of the first fewCrashes crashes.
func lastOfFew(crashes []time.Time) time.Time { return crashes[min(len(crashes), fewCrashes)-1] }

// reportParts checks what checkCrashingParts saw.
func (r *runner) reportParts(start, end time.Time, before float64, crashes []time.Time) {
	if len(crashes) == 0 {
		return
	}
	last, late := lastOfFew(crashes), 0
	for _, at := range crashes {
		if at.Sub(last) > stableWindow {
			late++
		}
	}
	during := r.soundShare(last.Add(2*stableWindow), end)
	fmt.Fprintf(r.out, "seed=%d part_crashes=%d late=%d sound_before=%.3f sound_during=%.3f\n", r.opts.Seed, len(crashes), late, before, during)
	if late > maxLateCrashes {
		r.violated("a part of prompts crashes few servers", "%d of %d crashes later than %s after the fifth", late, len(crashes), stableWindow)
	}
	if during < minSoundShare*before {
		r.violated("sound requests are served beside a part that crashes servers", "%.3f of them, %.3f before", during, before)
	}
}

// soundShare returns which share of the sound streams of prompts with parts that were sent between
// two times was served. What their callers cancelled doesn't count.
func (r *runner) soundShare(from, to time.Time) float64 {
	sent, served := 0, 0
	for _, res := range r.deployment.History.resultsSince(from) {
		if res.Ask.Parts != soundParts(res.Ask.ID) || res.Sent.After(to) || res.Ended.Sub(res.Sent) < callerTimeout && res.Err != nil && res.Status != 0 {
			continue
		}
		sent++
		if res.Served() {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}
