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
	// A run has at least minFaults and less than minFaults+faultCountRange faults of
	// faultKinds.
	minFaults       = 8
	faultCountRange = 10
	// A fault lasts between minFaultDuration, short enough to go unnoticed, and
	// maxFaultDuration, longer than a lease.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// drainTime is how long a leaving server continues to run.
	drainTime = 3 * time.Second
	// limitDuration is how long a server states a rate limit: long enough to check that the
	// limit is respected while other faults occur.
	limitDuration = 8 * time.Second
	// maxLimits is the largest number of rate limits in a run.
	maxLimits = 2
	// refusalDuration is how long a server refuses all requests, with a Retry-After of
	// refusalRetryAfter. A drain while the store is down lasts drainTime longer.
	refusalDuration   = 6 * time.Second
	refusalRetryAfter = 4 * time.Second
	// maxDrainsAndRefusals bounds how many faults drainsAndRefusals draws for a run.
	maxDrainsAndRefusals = 2
)

// fault is one fault with its start and duration.
type fault struct {
	name     string
	at       time.Duration // since the injection of faults began
	duration time.Duration
	run      func(d *Deployment, rng *rand.Rand, duration time.Duration) error
	rng      *rand.Rand
}

// String implements fmt.Stringer.
func (f fault) String() string {
	return fmt.Sprintf("at=%s fault=%s lasts=%s", f.at.Round(time.Millisecond), f.name, f.duration.Round(time.Millisecond))
}

// faultKind is a kind of fault. weight is its relative frequency.
type faultKind struct {
	name   string
	weight int
	run    func(d *Deployment, rng *rand.Rand, duration time.Duration) error
}

// faultKinds are the faults that schedule draws, at any time and possibly several times.
var faultKinds = []faultKind{

	{"instance killed", 3, killInstance},
	{"instance suspended", 3, suspendInstance},
	{"instance terminated", 3, terminateInstance},
	{"instances restarted in turn", 1, rollingRestart},
	{"settings read again", 2, reloadSettings},
	{"callers' link", 2, callerLinkFault},
	{"store's link", 4, linkFault(func(d *Deployment, rng *rand.Rand) *Proxy { return d.randomInstance(rng).StoreLink })},
	{"peers' link", 3, linkFault(func(d *Deployment, rng *rand.Rand) *Proxy { return d.randomInstance(rng).PeerLink })},
	{"server's link", 5, serverLinkFault},
	{"server crashed", 4, crashServer},
	{"server's address reused", 2, reuseAddress},
	{"server replaced", 3, replaceServer},
	{"store down", 2, takeStoreDown},
	{"store loses answers", 2, makeStoreLossy},
	{"configuration changed", 4, changeConfig},
}

// schedule draws the faults of a run, which start within period.
func schedule(seed uint64, period time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	faults := make([]fault, minFaults+rng.IntN(faultCountRange))
	for n := range faults {
		at := rng.IntN(total)
		var kind faultKind
		for _, kind = range faultKinds {
			if at -= kind.weight; at < 0 {
				break
			}
		}
		faults[n] = drawFault(kind, period, rng, rand.NewPCG(seed, uint64(n)+1))
	}
	faults = append(faults, rateLimits(seed, period)...)
	faults = append(faults, drainsAndRefusals(seed, period)...)
	faults = append(faults, storeRestores(seed, period)...)
	faults = append(faults, budgetFaults(seed, period)...)
	faults = append(faults, streamFaults(seed, period)...)
	faults = append(faults, answerFaults(seed, period)...)
	faults = append(faults, brittleFaults(seed, period)...)
	faults = append(faults, partFaults(seed, period)...)
	faults = append(faults, contentionFaults(seed, period)...)
	return append(faults, slowStores(seed, period)...)
}

// drawFault draws a fault's start and duration from rng. own is the source of what it draws itself.
func drawFault(kind faultKind, period time.Duration, rng *rand.Rand, own rand.Source) fault {
	return fault{
		name: kind.name, run: kind.run,
		at:       time.Duration(rng.Int64N(int64(period))),
		duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
		rng:      rand.New(own),
	}
}

// drainsAndRefusals draws faults in which instances learn only from a server's answers
// that it is leaving or asks for a pause. Separate random sources keep a seed's other faults
// unchanged.
func drainsAndRefusals(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 2
	rng := rand.New(rand.NewPCG(seed, stream))
	faults := make([]fault, rng.IntN(maxDrainsAndRefusals+1))
	for n := range faults {
		faults[n] = fault{
			name: "server refuses with Retry-After", run: refuseWithRetryAfter, duration: refusalDuration,
			at:  time.Duration(rng.Int64N(int64(period))),
			rng: rand.New(rand.NewPCG(seed, stream+1+uint64(n))),
		}
		if rng.IntN(2) == 0 {
			faults[n].name, faults[n].run = "server drains while the store is down", drainWhileStoreDown
		}
	}
	return faults
}

// rateLimits draws faults in which a server states a rate limit. Separate random sources keep
// a seed's other faults unchanged.
func rateLimits(seed uint64, period time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, math.MaxUint64))
	faults := make([]fault, rng.IntN(maxLimits+1))
	for n := range faults {
		faults[n] = fault{
			name: "server names a rate limit", run: reportRateLimit, duration: limitDuration,
			at:  time.Duration(rng.Int64N(int64(period))),
			rng: rand.New(rand.NewPCG(seed, math.MaxUint64-1-uint64(n))),
		}
	}
	return faults
}

// inject runs all faults, each at its start, and returns when all have ended.
func inject(ctx context.Context, d *Deployment, faults []fault) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range faults {
		group.Go(func() error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(f.at):
			}
			err := f.run(d, f.rng, f.duration)
			d.History.addHeal()
			return err
		})
	}
	return group.Wait()
}

// randomInstance returns an instance that rng picks.
func (d *Deployment) randomInstance(rng *rand.Rand) *Process {
	return d.Instances[rng.IntN(len(d.Instances))]
}

// killInstance kills an instance and starts it again after the duration.
func killInstance(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	p := d.randomInstance(rng)
	p.Signal(syscall.SIGKILL)
	p.AwaitExit()
	time.Sleep(duration)
	return p.Start()
}

// suspendInstance suspends an instance for the duration.
func suspendInstance(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	p := d.randomInstance(rng)
	start := time.Now()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.Signal(syscall.SIGCONT)
	d.History.addDisruption(p.Node.Name, start, time.Now())
	return nil
}

// terminateInstance terminates an instance gracefully and starts it again.
func terminateInstance(d *Deployment, rng *rand.Rand, _ time.Duration) error {
	return terminateAndStart(d.randomInstance(rng))
}

// terminateAndStart terminates an instance gracefully and starts it again when it has exited.
func terminateAndStart(p *Process) error {
	p.Signal(syscall.SIGTERM)
	p.AwaitExit()
	return p.Start()
}

// rollingRestart terminates the instances one after the other and starts each again.
func rollingRestart(d *Deployment, _ *rand.Rand, duration time.Duration) error {
	for _, p := range d.Instances {
		if err := terminateAndStart(p); err != nil {
			return err
		}
		time.Sleep(duration / time.Duration(len(d.Instances)))
	}
	return nil
}

// reloadSettings makes all instances read their settings again.
func reloadSettings(d *Deployment, _ *rand.Rand, _ time.Duration) error {
	for _, p := range d.Instances {
		p.Signal(syscall.SIGHUP)
	}
	return nil
}

// linkFault returns a fault that disrupts the link that pick returns.
func linkFault(pick func(*Deployment, *rand.Rand) *Proxy) func(*Deployment, *rand.Rand, time.Duration) error {
	return func(d *Deployment, rng *rand.Rand, duration time.Duration) error {
		disruptLink(pick(d, rng), rng, duration)
		return nil
	}
}

// callerLinkFault disrupts an instance's link from its callers and records the disruption.
func callerLinkFault(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	p := d.randomInstance(rng)
	start := time.Now()
	disruptLink(p.CallerLink, rng, duration)
	d.History.addDisruption(p.Node.Name, start, time.Now())
	return nil
}

// serverLinkFault disrupts a server's link and records the disruption for the servers
// at that link when it starts and when it ends.
func serverLinkFault(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	e := d.randomEndpoint(rng)
	before, start := d.serverIDAt(e), time.Now()
	disruptLink(e.link, rng, duration)
	d.History.addDisruption(before, start, time.Now())
	if after := d.serverIDAt(e); after != before {
		d.History.addDisruption(after, start, time.Now())
	}
	return nil
}

// disruptLink delays, holds back or refuses a link's traffic for a while, or resets it once.
func disruptLink(link *Proxy, rng *rand.Rand, duration time.Duration) {
	states := []LinkState{
		{Delay: 20*time.Millisecond + time.Duration(rng.Int64N(int64(300*time.Millisecond)))},
		{HoldToTarget: true},
		{HoldFromTarget: true},
		{HoldToTarget: true, HoldFromTarget: true},
		{Refuse: true},
	}
	kind := rng.IntN(len(states) + 1)
	if kind == len(states) {
		link.Reset()
		return
	}
	link.Set(states[kind])
	time.Sleep(duration)
	link.Set(LinkState{})
}

// crashServer crashes a server and starts it again, empty, after the duration.
func crashServer(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	e := d.randomEndpoint(rng)
	d.Crash(e)
	time.Sleep(duration)
	d.Restart(e, false)
	return nil
}

// reuseAddress crashes a server and starts a server of the other service at its address for a
// while.
func reuseAddress(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	e := d.randomEndpoint(rng)
	for range 2 { // the second time restores the service, so that neither keeps too few servers
		d.Crash(e)
		time.Sleep(duration / 2)
		d.Restart(e, true)
	}
	return nil
}

// replaceServer drains a server and replaces it by a new one of the same service.
func replaceServer(d *Deployment, rng *rand.Rand, _ time.Duration) error {
	d.Replace(d.randomEndpoint(rng), drainTime)
	return nil
}

// reportRateLimit makes a server state a rate limit, as an overloaded server does, between one
// and six requests per second.
func reportRateLimit(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	server := d.randomEndpoint(rng).server.Load()
	server.SetRateLimit(1 + 5*rng.Float64())
	time.Sleep(duration)
	server.SetRateLimit(0)
	return nil
}

// refuseWithRetryAfter makes a server refuse all requests with a Retry-After of
// refusalRetryAfter.
func refuseWithRetryAfter(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	server := d.randomEndpoint(rng).server.Load()
	server.Refuse(refusalRetryAfter)
	time.Sleep(duration)
	server.Refuse(0)
	return nil
}

// drainWhileStoreDown drains and replaces a server while the store is down, so that
// instances learn only from its answers that it is leaving.
func drainWhileStoreDown(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	d.Store.SetDown(true)
	d.Replace(d.randomEndpoint(rng), drainTime+duration)
	d.Store.SetDown(false)
	return nil
}

// changeConfig writes the next version of the configuration.
func changeConfig(d *Deployment, _ *rand.Rand, _ time.Duration) error { return d.WriteNextConfig() }
