package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// faultsLeast and faultsMore bound how many faults a run has.
	faultsLeast = 8
	faultsMore  = 10
	// A fault lasts between shortestFault and longestFault: from what nothing
	// should notice to longer than the lease.
	shortestFault = 100 * time.Millisecond
	longestFault  = 4 * time.Second
	// drainTime is how long a server that leaves in order stays.
	drainTime = 3 * time.Second
	// limitLasts is how long a server names a rate limit: long enough to be judged,
	// beside other faults.
	limitLasts = 8 * time.Second
	// limitsMost bounds how many servers do so in a run.
	limitsMost = 2
	// refusalDuration is how long a server refuses all requests, with a Retry-After of
	// refusalRetryAfter. A drain while the store is down lasts drainTime longer.
	refusalDuration   = 6 * time.Second
	refusalRetryAfter = 4 * time.Second
	// maxDrainsAndRefusals bounds how many faults drainsAndRefusals draws for a run.
	maxDrainsAndRefusals = 2
	// minCopyAge and maxCopyAge bound the age of the copy from which the store is
	// restored, as of the start of the outage.
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 3500 * time.Millisecond
	// restoreDowntime is how long the store is down while it is restored.
	restoreDowntime = 300 * time.Millisecond
	// maxRewriteDelay bounds the time from the restore until the operator writes the
	// newest configuration again.
	maxRewriteDelay = time.Second
)

// fault is one fault from outside, at its time.
type fault struct {
	name string
	at   time.Duration // since the callers began
	last time.Duration
	run  func(w *World, rng *rand.Rand, last time.Duration) error
	rng  *rand.Rand
}

// String implements fmt.Stringer.
func (f fault) String() string {
	return fmt.Sprintf("at=%s fault=%s lasts=%s", f.at.Round(time.Millisecond), f.name, f.last.Round(time.Millisecond))
}

// faultKind is a kind of fault, with how often it is drawn.
type faultKind struct {
	name   string
	weight int
	run    func(w *World, rng *rand.Rand, last time.Duration) error
}

// kinds are the faults that may come, at any moment and more than once.
var kinds = []faultKind{
	{"instance killed", 3, killInstance},
	{"instance suspended", 3, suspendInstance},
	{"instance terminated", 3, terminateInstance},
	{"instances terminated in turn", 1, terminateInTurn},
	{"settings read again", 2, hangUp},
	{"callers' link", 2, linkFault(func(w *World, rng *rand.Rand) *Proxy { return w.anyInstance(rng).Callers })},
	{"store's link", 4, linkFault(func(w *World, rng *rand.Rand) *Proxy { return w.anyInstance(rng).Store })},
	{"peers' link", 3, linkFault(func(w *World, rng *rand.Rand) *Proxy { return w.anyInstance(rng).Peers })},
	{"server's link", 5, serverLinkFault},
	{"server crashed", 4, crashServer},
	{"server's address used again", 2, reuseAddress},
	{"server replaced", 3, replaceServer},
	{"store away", 2, storeAway},
	{"store loses answers", 2, storeLossy},
	{"configuration changed", 4, changeConfig},
}

// schedule draws a run's faults.
func schedule(seed uint64, length time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	faults := make([]fault, faultsLeast+rng.IntN(faultsMore))
	for n := range faults {
		at := rng.IntN(total)
		var kind faultKind
		for _, kind = range kinds {
			if at -= kind.weight; at < 0 {
				break
			}
		}
		faults[n] = fault{
			name: kind.name, run: kind.run,
			at:   time.Duration(rng.Int64N(int64(length))),
			last: shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault))),
			rng:  rand.New(rand.NewPCG(seed, uint64(n)+1)),
		}
	}
	faults = append(faults, limits(seed, length)...)
	faults = append(faults, drainsAndRefusals(seed, length)...)
	return append(faults, storeRestores(seed, length)...)
}

// drainsAndRefusals draws faults in which instances learn only from a server's answers
// that it is leaving or asks for a pause. Separate random sources keep a seed's other faults
// unchanged.
func drainsAndRefusals(seed uint64, length time.Duration) []fault {
	const stream = math.MaxUint64 / 2
	rng := rand.New(rand.NewPCG(seed, stream))
	faults := make([]fault, rng.IntN(maxDrainsAndRefusals+1))
	for n := range faults {
		faults[n] = fault{
			name: "server refuses with Retry-After", run: refuseWithRetryAfter, last: refusalDuration,
			at:  time.Duration(rng.Int64N(int64(length))),
			rng: rand.New(rand.NewPCG(seed, stream+1+uint64(n))),
		}
		if rng.IntN(2) == 0 {
			faults[n].name, faults[n].run = "server drains while the store is down", drainWhileStoreDown
		}
	}
	return faults
}

// limits draws the servers that name a rate limit. They are drawn for themselves, so
// that a seed's other faults stay what they were.
func limits(seed uint64, length time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, math.MaxUint64))
	faults := make([]fault, rng.IntN(limitsMost+1))
	for n := range faults {
		faults[n] = fault{
			name: "server names a rate limit", run: nameLimit, last: limitLasts,
			at:  time.Duration(rng.Int64N(int64(length))),
			rng: rand.New(rand.NewPCG(seed, math.MaxUint64-1-uint64(n))),
		}
	}
	return faults
}

// storeRestores draws one restore of the store from an older copy for half of the seeds.
// Separate random sources keep a seed's other faults unchanged.
func storeRestores(seed uint64, length time.Duration) []fault {
	const stream = math.MaxUint64 / 3
	rng := rand.New(rand.NewPCG(seed, stream))
	if rng.IntN(2) == 0 {
		return nil
	}
	return []fault{{
		name: "store restored from an older copy", run: restoreStore,
		at:   time.Duration(rng.Int64N(int64(length))),
		last: minCopyAge + time.Duration(rng.Int64N(int64(maxCopyAge-minCopyAge))),
		rng:  rand.New(rand.NewPCG(seed, stream+1)),
	}}
}

// inject plays the faults, each at its time, and returns when all have ended.
func inject(ctx context.Context, w *World, faults []fault) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range faults {
		group.Go(func() error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(f.at):
			}
			err := f.run(w, f.rng, f.last)
			w.History.healed()
			return err
		})
	}
	return group.Wait()
}

func (w *World) anyInstance(rng *rand.Rand) *Process { return w.Instances[rng.IntN(len(w.Instances))] }

func killInstance(w *World, rng *rand.Rand, last time.Duration) error {
	p := w.anyInstance(rng)
	p.Signal(syscall.SIGKILL)
	p.AwaitEnd()
	time.Sleep(last)
	return p.Start()
}

func suspendInstance(w *World, rng *rand.Rand, last time.Duration) error {
	p := w.anyInstance(rng)
	start := time.Now()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(last)
	p.Signal(syscall.SIGCONT)
	w.History.disrupted(p.Node.Name, start, time.Now())
	return nil
}

func terminateInstance(w *World, rng *rand.Rand, _ time.Duration) error {
	return terminate(w.anyInstance(rng))
}

func terminate(p *Process) error {
	p.Signal(syscall.SIGTERM)
	p.AwaitEnd()
	return p.Start()
}

func terminateInTurn(w *World, _ *rand.Rand, last time.Duration) error {
	for _, p := range w.Instances {
		if err := terminate(p); err != nil {
			return err
		}
		time.Sleep(last / time.Duration(len(w.Instances)))
	}
	return nil
}

func hangUp(w *World, _ *rand.Rand, _ time.Duration) error {
	for _, p := range w.Instances {
		p.Signal(syscall.SIGHUP)
	}
	return nil
}

// linkFault disturbs a link: delayed, cut one way or both, reset once or refusing.
func linkFault(pick func(*World, *rand.Rand) *Proxy) func(*World, *rand.Rand, time.Duration) error {
	return func(w *World, rng *rand.Rand, last time.Duration) error {
		disruptLink(pick(w, rng), rng, last)
		return nil
	}
}

// serverLinkFault disrupts a server's link and records the disruption for the servers
// at that link when it starts and when it ends.
func serverLinkFault(w *World, rng *rand.Rand, last time.Duration) error {
	p := w.anyPlace(rng)
	before, start := w.serverIDAt(p), time.Now()
	disruptLink(p.link, rng, last)
	w.History.disrupted(before, start, time.Now())
	if after := w.serverIDAt(p); after != before {
		w.History.disrupted(after, start, time.Now())
	}
	return nil
}

// disruptLink delays, holds back or refuses a link's traffic for a while, or resets it once.
func disruptLink(link *Proxy, rng *rand.Rand, last time.Duration) {
	states := []LinkState{
		{Delay: 20*time.Millisecond + time.Duration(rng.Int64N(int64(300*time.Millisecond)))},
		{HoldOut: true},
		{HoldIn: true},
		{HoldOut: true, HoldIn: true},
		{Refuse: true},
	}
	kind := rng.IntN(len(states) + 1)
	if kind == len(states) {
		link.Reset()
		return
	}
	link.Set(states[kind])
	time.Sleep(last)
	link.Set(LinkState{})
}

func crashServer(w *World, rng *rand.Rand, last time.Duration) error {
	p := w.anyPlace(rng)
	w.Crash(p)
	time.Sleep(last)
	w.Revive(p, false)
	return nil
}

// reuseAddress crashes a server, and gives its address to one of the other
// service for a while.
func reuseAddress(w *World, rng *rand.Rand, last time.Duration) error {
	p := w.anyPlace(rng)
	for range 2 { // there and back, so that neither service runs short for good
		w.Crash(p)
		time.Sleep(last / 2)
		w.Revive(p, true)
	}
	return nil
}

func replaceServer(w *World, rng *rand.Rand, _ time.Duration) error {
	w.Replace(w.anyPlace(rng), drainTime)
	return nil
}

// nameLimit has a server in need name a rate limit of one to six requests a second.
func nameLimit(w *World, rng *rand.Rand, last time.Duration) error {
	server := w.anyPlace(rng).server.Load()
	server.SetRateLimit(1 + 5*rng.Float64())
	time.Sleep(last)
	server.SetRateLimit(0)
	return nil
}

// refuseWithRetryAfter makes a server refuse all requests with a Retry-After of
// refusalRetryAfter.
func refuseWithRetryAfter(w *World, rng *rand.Rand, last time.Duration) error {
	server := w.anyPlace(rng).server.Load()
	server.Refuse(refusalRetryAfter)
	time.Sleep(last)
	server.Refuse(0)
	return nil
}

// drainWhileStoreDown drains and replaces a server while the store is down, so that
// instances learn only from its answers that it is leaving.
func drainWhileStoreDown(w *World, rng *rand.Rand, last time.Duration) error {
	w.Store.SetDown(true)
	w.Replace(w.anyPlace(rng), drainTime+last)
	w.Store.SetDown(false)
	return nil
}

// restoreStore takes the store down and restores it from a copy taken at the start of the
// fault. The operator writes the newest configuration again after a random delay, and
// servers write their entries again with their next heartbeats.
func restoreStore(w *World, rng *rand.Rand, last time.Duration) error {
	snapshot := w.Store.Snapshot()
	time.Sleep(last)
	w.Store.SetDown(true)
	time.Sleep(restoreDowntime)
	w.Store.Restore(snapshot)
	w.Store.SetDown(false)
	time.Sleep(time.Duration(rng.Int64N(int64(maxRewriteDelay))))
	return w.RewriteConfig()
}

func storeAway(w *World, _ *rand.Rand, last time.Duration) error {
	w.Store.SetDown(true)
	time.Sleep(last)
	w.Store.SetDown(false)
	return nil
}

func storeLossy(w *World, _ *rand.Rand, last time.Duration) error {
	w.Store.SetLoseJoinResponses(true)
	time.Sleep(last)
	w.Store.SetLoseJoinResponses(false)
	return nil
}

func changeConfig(w *World, _ *rand.Rand, _ time.Duration) error { return w.Configure() }
