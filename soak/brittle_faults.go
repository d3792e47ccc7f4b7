package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"greengageferry/platform/standin"
)

const (
	// maxBrittleFaults bounds how often the plain servers become brittle in a run.
	maxBrittleFaults = 1
	brittleDuration  = 10 * time.Second
	// brittleDowntime is how long a server that failed by refusing takes to be back.
	brittleDowntime = 3 * time.Second
	// brittleOverload is the load during that time, as a multiple of what the servers can take.
	brittleOverload = 1.5
)

// brittle is what plain servers survive during the fault.
var brittle = standin.Brittle{RefusalLimit: 5, Waiting: 1, ServiceTime: 200 * time.Millisecond}

// fall is a server's failure by refusing.
type fall struct {
	server string
	at     time.Time
}

// brittlePeriod is a period in which the plain servers are brittle.
type brittlePeriod struct {
	from, to time.Time
	servers  int
}

// brittleFaults draws whether the plain servers become brittle in a run. A separate random source
// keeps a seed's other faults unchanged.
func brittleFaults(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 13
	rng := rand.New(rand.NewPCG(seed, stream))
	faults := make([]fault, rng.IntN(maxBrittleFaults+1))
	for n := range faults {
		faults[n] = fault{
			name: "plain servers fail by refusing", run: makeBrittle, duration: brittleDuration,
			at:  time.Duration(rng.Int64N(int64(period))),
			rng: rand.New(rand.NewPCG(seed, stream+1+uint64(n))),
		}
	}
	return faults
}

// makeBrittle makes the plain servers brittle for a while and has them asked for more than they can
// take.
func makeBrittle(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	servers := d.setBrittle(brittle)
	from := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	perSecond := brittleOverload * float64(servers*serverSlots) / brittle.ServiceTime.Seconds()
	d.overload(ctx, rng, perSecond, func(id string) (standin.Ask, Kind) {
		return standin.Ask{ID: id, Path: standin.PlainPath + id, Body: id}, KindUnsafe
	})
	d.setBrittle(standin.Brittle{})
	d.History.addBrittlePeriod(brittlePeriod{from, time.Now(), servers})
	return nil
}

// setBrittle sets what all plain servers survive, and returns how many there are.
func (d *Deployment) setBrittle(b standin.Brittle) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.brittle = b
	n := 0
	for _, e := range d.endpoints {
		if e.homeService != standin.ServicePlain {
			continue
		}
		n++
		if e.opts.Service == standin.ServicePlain {
			e.opts.Brittle = b
			e.server.Load().SetBrittle(b)
		}
	}
	return n
}

// overload sends the requests that next returns, so many per second through random instances, until
// ctx ends.
func (d *Deployment) overload(ctx context.Context, rng *rand.Rand, perSecond float64, next func(id string) (standin.Ask, Kind)) {
	var group sync.WaitGroup
	defer group.Wait()
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}
	defer transport.CloseIdleConnections()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p := d.randomInstance(rng)
		ask, kind := next(d.newProbeID())
		group.Go(func() { d.send(transport, p, kind, ask) })
	}
}

// fall crashes the server at an endpoint after too many refusals, and starts it again.
func (d *Deployment) fall(e *endpoint) {
	d.History.addFall(fall{d.serverIDAt(e), time.Now()})
	d.Crash(e)
	time.AfterFunc(brittleDowntime, func() { d.Restart(e, false) })
}

func (h *History) addFall(f fall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.falls = append(h.falls, f)
}

func (h *History) addBrittlePeriod(p brittlePeriod) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brittlePeriods = append(h.brittlePeriods, p)
}
