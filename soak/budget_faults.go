package soak

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"greengageferry/platform/standin"
)

const (
	// maxBudgetFaults bounds how many faults budgetFaults draws for a run.
	maxBudgetFaults = 4
	// breakDuration is how long servers break connections, longer than the retry window.
	breakDuration = 12 * time.Second
	breakShare    = 0.5
	// resetInterval is the time between two resets of kept connections to a server.
	resetInterval = 100 * time.Millisecond
	// crashingCopies is how often a request that crashes servers is sent, copyInterval apart.
	crashingCopies = 24
	copyInterval   = 20 * time.Millisecond
)

// restartDelays are how long a crashed server's process takes to be back under its id.
var restartDelays = []time.Duration{5 * time.Millisecond, 300 * time.Millisecond, 4 * time.Second}

// budgetFaultKinds are the faults after which instances send requests once more.
var budgetFaultKinds = []faultKind{
	{"servers break connections", 1, breakConnections},
	{"kept connections reset", 1, resetKeptConnections},
	{"server back at once under its id", 1, crashAndReturn},
	{"request crashes servers", 1, sendCrashingFault},
	{"lease holder killed", 1, killLeaseHolder},
}

// budgetFaults draws faults after which instances send requests once more. Separate random
// sources keep a seed's other faults unchanged.
func budgetFaults(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 11
	rng := rand.New(rand.NewPCG(seed, stream))
	faults := make([]fault, 1+rng.IntN(maxBudgetFaults))
	for n := range faults {
		kind := budgetFaultKinds[rng.IntN(len(budgetFaultKinds))]
		faults[n] = drawFault(kind, period, rng, rand.NewPCG(seed, stream+1+uint64(n)))
	}
	return faults
}

// breakConnections has all plain servers break the connections of a share of their requests.
func breakConnections(d *Deployment, _ *rand.Rand, _ time.Duration) error {
	set := func(share float64) {
		for _, e := range d.endpoints {
			if e.homeService == standin.ServicePlain {
				e.server.Load().Break(share)
			}
		}
	}
	set(breakShare)
	time.Sleep(breakDuration)
	set(0)
	return nil
}

// resetKeptConnections resets all connections to a server again and again.
func resetKeptConnections(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	e := d.randomEndpoint(rng)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(resetInterval) {
		e.link.Reset()
	}
	return nil
}

// crashAndReturn crashes a server that is back under its id within milliseconds.
func crashAndReturn(d *Deployment, rng *rand.Rand, _ time.Duration) error {
	e := d.randomEndpoint(rng)
	d.Crash(e)
	time.Sleep(restartDelays[0])
	d.Restart(e, false)
	return nil
}

// killLeaseHolder kills the instance that last ordered a server, and starts it again.
func killLeaseHolder(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	p := d.leaseHolder()
	if p == nil {
		p = d.randomInstance(rng)
	}
	p.Signal(syscall.SIGKILL)
	p.AwaitExit()
	time.Sleep(duration)
	return p.Start()
}

// leaseHolder returns the instance that sent the newest order, nil if none did.
func (d *Deployment) leaseHolder() *Process {
	holder := d.History.newestHolder()
	for _, p := range d.Instances {
		if holder != "" && strings.HasPrefix(holder, p.Node.Name) {
			return p
		}
	}
	return nil
}

// crashingRequest is a request that crashes each server that runs it.
type crashingRequest struct {
	path    string
	restart time.Duration // until a server that it crashed is back
}

// sendCrashingFault sends a request that crashes servers, through random instances.
func sendCrashingFault(d *Deployment, rng *rand.Rand, _ time.Duration) error {
	path := standin.PlainPath
	if rng.IntN(2) == 0 {
		path = standin.VersionPath(d.ConfigVersion())
	}
	c := crashingRequest{path: path + standin.CrashPath + "-fault", restart: restartDelays[rng.IntN(len(restartDelays))]}
	d.sendCrashing(c, crashingCopies, func(int) *Process { return d.randomInstance(rng) })
	return nil
}

// sendCrashing sends copies of the request, one after the other, the nth through the instance
// that instance returns. It returns how many servers they crashed.
func (d *Deployment) sendCrashing(c crashingRequest, copies int, instance func(n int) *Process) int {
	d.restartDelay.Store(int64(c.restart))
	before := d.crashes.Load()
	kind := KindSafe
	if strings.HasPrefix(c.path, standin.PlainPath) {
		kind = KindUnsafe
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	for n := range copies {
		p := instance(n)
		r := Result{
			Ask:  standin.Ask{ID: d.newProbeID(), Method: http.MethodPost, Path: c.path, Body: "crash", Timeout: callerTimeout},
			Kind: kind, Instance: p.Node.Name, Boot: p.Boot(), Sent: time.Now(),
		}
		r.request(transport, p.CallerLink.Addr, callerTimeout)
		d.History.addResult(r)
		time.Sleep(copyInterval)
	}
	return int(d.crashes.Load() - before)
}

// crashAndRestart crashes the server at an endpoint as a request does, and starts it again.
func (d *Deployment) crashAndRestart(e *endpoint) {
	d.crashes.Add(1)
	d.Crash(e)
	time.AfterFunc(time.Duration(d.restartDelay.Load()), func() { d.Restart(e, false) })
}
