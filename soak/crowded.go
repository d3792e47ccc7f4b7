package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"greengageferry/platform/standin"
)

const (
	// crowdRate is how many requests per second come over new connections, and crowdShare the
	// fraction of them that comes to one instance.
	crowdRate  = 1500
	crowdShare = 0.9
	// crowdLength is how long that lasts, and crowdBefore how long connections come evenly before.
	crowdLength = 8 * time.Second
	crowdBefore = 3 * time.Second
	// crowdedRuns and crowdedStops are for how long the crowded instance gets a processor, and
	// then gets none, in turn.
	crowdedRuns  = 2 * time.Millisecond
	crowdedStops = 58 * time.Millisecond
	// crowdTimeout is how long these callers wait, and crowdTries how often they connect.
	crowdTimeout = 2 * time.Second
	crowdTries   = 3
	// minCrowdServed is the least share of the requests that an instance has read which is served
	// from stableWindow on, of the share before.
	minCrowdServed = 0.75
)

// crowdCount counts requests of new connections that an instance has read.
type crowdCount struct {
	mu                    sync.Mutex
	read, served, refused int
	unread                int // connections that were refused or closed without an answer
}

func (c *crowdCount) share() float64 { return float64(c.served) / float64(max(c.read, 1)) }

func (c *crowdCount) String() string {
	return fmt.Sprintf("read=%d served=%d refused=%d unread_connections=%d", c.read, c.served, c.refused, c.unread)
}

// checkCrowdedInstance has most new connections come to one instance that gets little processor
// time, and checks that requests are served at the first attempt that an instance reads nearly as
// often as before.
func (r *runner) checkCrowdedInstance() {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 1))
	crowded := int(r.opts.Seed) % len(r.deployment.Instances)
	evenly := func() int { return r.load.pickInstance(rng) }
	before := r.sendNewConnections(crowdBefore, evenly)
	ctx, cancel := context.WithCancel(context.Background())
	var throttling sync.WaitGroup
	throttling.Go(func() { r.deployment.throttle(ctx, r.deployment.Instances[crowded]) })
	pick := func() int {
		if rng.Float64() < crowdShare && r.load.ready[crowded].Load() {
			return crowded
		}
		return evenly()
	}
	first := r.sendNewConnections(stableWindow, pick)
	during := r.sendNewConnections(crowdLength-stableWindow, pick)
	cancel()
	throttling.Wait()
	fmt.Fprintf(r.out, "seed=%d crowded_instance before: %s; first: %s; during: %s\n", r.opts.Seed, before, first, during)
	if during.share() < minCrowdServed*before.share() {
		r.violated("requests are served while most connections come to one instance", "%.3f of those read, %.3f before", during.share(), before.share())
	}
	r.waitUntil(r.opts.Bounds.Recover, r.allServe)
}

// throttle lets an instance run for crowdedRuns at a time until ctx ends, and records that as a
// disruption: it may stop between two statements.
func (d *Deployment) throttle(ctx context.Context, p *Process) {
	start := time.Now()
	for ctx.Err() == nil {
		p.Signal(syscall.SIGSTOP)
		time.Sleep(crowdedStops)
		p.Signal(syscall.SIGCONT)
		time.Sleep(crowdedRuns)
	}
	d.History.addDisruption(p.Node.Name, start, time.Now())
}

// sendNewConnections sends requests at crowdRate, each over a connection of its own to the instance
// that pick returns, and waits until all have ended.
func (r *runner) sendNewConnections(length time.Duration, pick func() int) *crowdCount {
	count := &crowdCount{}
	var callers sync.WaitGroup
	var mu sync.Mutex // pick isn't safe for concurrent use
	picked := func() int {
		mu.Lock()
		defer mu.Unlock()
		return pick()
	}
	ticker := time.NewTicker(time.Second / crowdRate)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		callers.Go(func() { r.connectAndAsk(picked, count) })
	}
	callers.Wait()
	return count
}

// connectAndAsk sends one request, at most crowdTries times until an instance answers it.
func (r *runner) connectAndAsk(pick func() int, count *crowdCount) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	for range crowdTries {
		n := pick()
		if n < 0 {
			return
		}
		p, id := r.deployment.Instances[n], r.deployment.newProbeID()
		res := Result{
			Ask:  standin.Ask{ID: id, Method: http.MethodPost, Path: standin.PlainPath + id, Body: id, Timeout: crowdTimeout},
			Kind: KindUnsafe, Instance: p.Node.Name, Boot: p.Boot(), InstanceStarted: p.StartedAt(), Sent: time.Now(),
		}
		res.request(transport, p.CallerLink.Addr, crowdTimeout)
		r.deployment.History.addResult(res)
		if count.add(res) {
			return
		}
	}
}

// add counts a result, and reports whether an instance has read the request. One that waited for
// crowdTimeout without an answer counts as read.
func (c *crowdCount) add(r Result) (read bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Status == 0 && r.Ended.Sub(r.Sent) < crowdTimeout {
		c.unread++
		return false
	}
	c.read++
	switch {
	case r.Served():
		c.served++
	case r.Status != 0:
		c.refused++
	}
	return true
}
