package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"greengageferry/platform/standin"
)

const (
	// callersCount is how many callers ask at once, each for one request at a
	// time over a connection of its own.
	callersCount = 24
	// callerPause is between two requests of a caller.
	callerPause = 20 * time.Millisecond
	// callerTimeout is how long a caller waits for its answer.
	callerTimeout = 4 * time.Second
	// callerLeaves is the share of the requests whose caller leaves early, after
	// leavesAfter.
	callerLeaves = 0.04
	leavesAfter  = 40 * time.Millisecond
	// balancerEvery is how often the balancer asks an instance for its health.
	balancerEvery = 250 * time.Millisecond
	// balancerFails is how many failed checks in a row take an instance out.
	balancerFails = 2
)

// crowd is the callers, and the balancer before the instances.
type crowd struct {
	world  *World
	serial atomic.Int64
	ready  []atomic.Bool // by instance
	group  sync.WaitGroup
}

func newCrowd(w *World) *crowd { return &crowd{world: w, ready: make([]atomic.Bool, len(w.Instances))} }

// run starts the callers and the balancer, which go on until ctx ends.
func (c *crowd) run(ctx context.Context, seed uint64) {
	for n := range c.world.Instances {
		c.group.Go(func() { c.balance(ctx, n) })
	}
	for n := range callersCount {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+1))
		c.group.Go(func() { c.ask(ctx, rng) })
	}
}

// balance checks one instance's health.
func (c *crowd) balance(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	failed := 0
	for ctx.Err() == nil {
		if c.world.Instances[n].Ready(ctx, client) {
			failed = 0
			c.ready[n].Store(true)
		} else if failed++; failed >= balancerFails {
			c.ready[n].Store(false)
		}
		time.Sleep(balancerEvery)
	}
}

// pick returns an instance that the balancer thinks ready, -1 if there is none.
func (c *crowd) pick(rng *rand.Rand) int {
	from := rng.IntN(len(c.ready))
	for n := range c.ready {
		if at := (from + n) % len(c.ready); c.ready[at].Load() {
			return at
		}
	}
	return -1
}

// ask is one caller: it keeps its connection as long as that lasts.
func (c *crowd) ask(ctx context.Context, rng *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	at := -1
	for ctx.Err() == nil {
		if at < 0 {
			if at = c.pick(rng); at < 0 {
				time.Sleep(balancerEvery)
				continue
			}
		}
		r := c.send(transport, rng, at)
		c.world.History.ended(r)
		if r.Err != nil || r.Status/100 != 2 {
			at = -1
			transport.CloseIdleConnections()
		}
		time.Sleep(callerPause)
	}
}

// next returns what a caller asks for next.
func (c *crowd) next(rng *rand.Rand) (standin.Ask, Kind) {
	id := fmt.Sprint("r", c.serial.Add(1))
	ask := standin.Ask{ID: id, Method: http.MethodPost, Body: "body of " + id, Timeout: callerTimeout}
	switch p := rng.Float64(); {
	case p < 0.4:
		ask.Path = standin.PlainPath + id
		return ask, KindUnsafe
	case p < 0.5:
		ask.Path = standin.VersionPath(c.world.Version()) + id
		return ask, KindSafe
	case p < 0.6:
		ask.Model = standin.RareModel
	default:
		ask.Model = standin.BusyModel
	}
	ask.Path = standin.StreamPath + id
	return ask, KindStream
}

// send sends one request and reads its answer.
func (c *crowd) send(transport http.RoundTripper, rng *rand.Rand, at int) Result {
	p := c.world.Instances[at]
	timeout := callerTimeout
	if rng.Float64() < callerLeaves {
		timeout = leavesAfter
	}
	ask, kind := c.next(rng)
	r := Result{Ask: ask, Kind: kind, Instance: p.Node.Name, Boot: p.Boot(), Sent: time.Now()}
	r.ask(transport, p.Callers.Addr, timeout)
	return r
}

// read takes in an answer.
func (r *Result) read(res *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer res.Body.Close()
	r.Status = res.StatusCode
	r.Answers, r.Server = standin.ResponseOrigin(res)
	r.Limited, r.Leaving = standin.ReportsRateLimit(res), standin.ReportsLeaving(res)
	body, err := io.ReadAll(res.Body)
	r.Body = string(body)
	return err
}

// probe sends one request over a connection of its own.
func (w *World) probe(p *Process, path, model string) Result {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	id := fmt.Sprint("probe", w.probes.Add(1))
	r := Result{
		Ask:  standin.Ask{ID: id, Method: http.MethodPost, Path: path + id, Model: model, Body: id, Timeout: callerTimeout},
		Kind: KindSafe, Instance: p.Node.Name, Boot: p.Boot(), Sent: time.Now(),
	}
	switch path {
	case standin.PlainPath:
		r.Kind = KindUnsafe
	case standin.StreamPath:
		r.Kind = KindStream
	}
	r.ask(transport, p.Callers.Addr, callerTimeout)
	w.History.ended(r)
	return r
}

// ask sends the request and takes in its answer.
func (r *Result) ask(transport http.RoundTripper, addr string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := r.Ask.HTTPRequest(ctx, addr)
	if err == nil {
		req.GetBody = nil // net/http must not send it again by itself
		err = r.read(transport.RoundTrip(req))
	}
	r.Err = err
	r.Ended = time.Now()
}
