package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"greengageferry/netconn"
	"greengageferry/platform/standin"
)

const (
	// callerCount is the number of concurrent callers. Each sends one request at a time over
	// its own connection.
	callerCount      = 24
	lightCallerCount = 36 // in runs with lightCallerPause
	// callerPause is the time between two requests of a caller, lightCallerPause that of runs
	// with few requests, in which the retries allowed are nearly all of the reserve.
	callerPause      = 20 * time.Millisecond
	lightCallerPause = 900 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 4 * time.Second
	// cancelShare is the share of requests that callers cancel, cancelDelay after sending.
	cancelShare = 0.04
	cancelDelay = 40 * time.Millisecond
	// onceStreamShare is the share of streams that can't be resumed.
	onceStreamShare = 0.5
	// http10Share is the share of requests sent in HTTP/1.0, whose callers have nothing but the
	// connection's end to tell that an answer without a length is complete.
	http10Share = 0.2
	// healthCheckInterval is the time between the load balancer's health checks of an instance.
	healthCheckInterval = 250 * time.Millisecond
	// unhealthyThreshold is the number of consecutive failed health checks after which an
	// instance gets no new connections.
	unhealthyThreshold = 2
)

// loadGenerator simulates the callers and the load balancer in front of the instances.
type loadGenerator struct {
	deployment   *Deployment
	requestCount atomic.Int64
	callers      int
	ready        []atomic.Bool // by index of the instance: the load balancer considers it ready
	light        atomic.Bool   // few requests, most of them GET
	streamsOnly  bool          // only streams that may be resumed
	group        sync.WaitGroup
}

func newLoadGenerator(d *Deployment, light bool) *loadGenerator {
	g := &loadGenerator{deployment: d, callers: callerCount, ready: make([]atomic.Bool, len(d.Instances))}
	if light {
		g.callers = lightCallerCount
		g.light.Store(true)
	}
	return g
}

// hasLightLoad reports whether a seed's run has few requests.
func hasLightLoad(seed uint64) bool {
	const stream = math.MaxUint64 / 7
	return rand.New(rand.NewPCG(seed, stream)).IntN(2) == 0
}

// run starts the callers and the load balancer's health checks, which run until ctx ends.
func (g *loadGenerator) run(ctx context.Context, seed uint64) {
	for n := range g.deployment.Instances {
		g.group.Go(func() { g.checkHealth(ctx, n) })
	}
	for n := range g.callers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+1))
		g.group.Go(func() { g.runCaller(ctx, rng) })
	}
}

// checkHealth checks the health of instance n periodically until ctx ends.
func (g *loadGenerator) checkHealth(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	failed := 0
	for ctx.Err() == nil {
		if g.deployment.Instances[n].Ready(ctx, client) {
			failed = 0
			g.ready[n].Store(true)
		} else if failed++; failed >= unhealthyThreshold {
			g.ready[n].Store(false)
		}
		time.Sleep(healthCheckInterval)
	}
}

// pickInstance returns the index of an instance that the load balancer considers ready, or -1
// if there is none.
func (g *loadGenerator) pickInstance(rng *rand.Rand) int {
	from := rng.IntN(len(g.ready))
	for n := range g.ready {
		if index := (from + n) % len(g.ready); g.ready[index].Load() {
			return index
		}
	}
	return -1
}

// runCaller runs one caller until ctx ends. It keeps its connection to an instance until a
// request fails.
func (g *loadGenerator) runCaller(ctx context.Context, rng *rand.Rand) {
	transport := newCallerTransport()
	defer transport.CloseIdleConnections()
	instance := -1
	for ctx.Err() == nil {
		if instance < 0 {
			if instance = g.pickInstance(rng); instance < 0 {
				time.Sleep(healthCheckInterval)
				continue
			}
		}
		r := g.send(transport, rng, instance)
		g.deployment.History.addResult(r)
		g.resume(rng, r)
		if r.Err != nil || r.Status/100 != 2 {
			instance = -1
			transport.CloseIdleConnections()
		}
		time.Sleep(g.pause())
	}
}

// newCallerTransport returns the transport of one caller. It sends each request once, as callers do:
// http.Transport sends one again that looks idempotent if its kept connection breaks.
func newCallerTransport() *netconn.Transport {
	return netconn.SendOnce(&http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true})
}

// pause returns the time between two requests of a caller.
func (g *loadGenerator) pause() time.Duration {
	if g.light.Load() {
		return lightCallerPause
	}
	return callerPause
}

// vary makes half of a plain service's requests ones that HTTP libraries take for idempotent:
// without a body, and with an idempotency key or, if their route allows it, as GET.
func vary(rng *rand.Rand, req standin.Ask, kind Kind) standin.Ask {
	if rng.IntN(2) == 0 {
		return req
	}
	req.Body = ""
	switch {
	case kind == KindSafe:
		req.Method = http.MethodGet
	case rng.IntN(2) == 0:
		req.Method, req.Key = http.MethodDelete, req.ID
	default:
		req.Key = req.ID
	}
	return req
}

// nextRequest returns a random request with a new id.
func (g *loadGenerator) nextRequest(rng *rand.Rand) (standin.Ask, Kind) {
	id := fmt.Sprint("r", g.requestCount.Add(1))
	req := standin.Ask{ID: id, Method: http.MethodPost, Body: "body of " + id, Timeout: callerTimeout}
	unsafe, safe := 0.4, 0.1
	switch {
	case g.light.Load():
		unsafe, safe = 0.1, 0.8
	case g.streamsOnly:
		unsafe, safe = 0, 0
	}
	switch p := rng.Float64(); {
	case p < unsafe:
		req.Path = standin.PlainPath + id
		return vary(rng, req, KindUnsafe), KindUnsafe
	case p < unsafe+safe:
		req.Path = standin.VersionPath(g.deployment.ConfigVersion()) + id
		if g.light.Load() {
			req.Method, req.Body = http.MethodGet, ""
			return req, KindSafe
		}
		return vary(rng, req, KindSafe), KindSafe
	case p < unsafe+safe+0.1:
		req.Model = standin.RareModel
	default:
		req.Model = standin.BusyModel
	}
	req.Parts = soundParts(id)
	if !g.streamsOnly && rng.Float64() < onceStreamShare {
		req.Path = standin.OnceStreamPath + id
		return req, KindOnceStream
	}
	req.Path = standin.StreamPath + id
	return req, KindStream
}

// send sends a random request to the instance at an index and returns the result.
func (g *loadGenerator) send(transport http.RoundTripper, rng *rand.Rand, instance int) Result {
	p := g.deployment.Instances[instance]
	timeout := callerTimeout
	if rng.Float64() < cancelShare {
		timeout = cancelDelay
	}
	request, kind := g.nextRequest(rng)
	r := Result{Ask: g.deployment.withAccount(request), Kind: kind, Instance: p.Node.Name, Boot: p.Boot(), InstanceStarted: p.StartedAt(), Sent: time.Now()}
	if rng.Float64() < http10Share {
		transport = http10Transport{}
	}
	r.request(transport, p.CallerLink.Addr, timeout)
	return r
}

// readResponse records a response. It returns the error of sending the request or of reading
// the body.
func (r *Result) readResponse(res *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer res.Body.Close()
	r.Status = res.StatusCode
	r.EchoedID, r.Server = standin.ResponseOrigin(res)
	r.RateLimited, r.Leaving = standin.ReportsRateLimit(res), standin.ReportsLeaving(res)
	body, err := io.ReadAll(res.Body)
	r.Body = string(body)
	return err
}

// newProbeID returns a new id of a request that no caller sends.
func (d *Deployment) newProbeID() string { return fmt.Sprint("probe", d.probeCount.Add(1)) }

// probe sends one request to an instance over a new connection and records the result.
func (d *Deployment) probe(p *Process, path, model string) Result {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	id, kind := d.newProbeID(), KindSafe
	switch path {
	case standin.PlainPath:
		kind = KindUnsafe
	case standin.StreamPath:
		kind = KindStream
	}
	return d.send(transport, p, kind, standin.Ask{ID: id, Path: path + id, Model: model, Body: id})
}

// send sends a POST request to an instance and records the result.
func (d *Deployment) send(transport http.RoundTripper, p *Process, kind Kind, ask standin.Ask) Result {
	ask.Method, ask.Timeout = http.MethodPost, callerTimeout
	r := Result{
		Ask: d.withAccount(ask), Kind: kind, Instance: p.Node.Name, Boot: p.Boot(), InstanceStarted: p.StartedAt(), Sent: time.Now(),
	}
	r.request(transport, p.CallerLink.Addr, callerTimeout)
	d.History.addResult(r)
	return r
}

// request sends the request to addr and records the answer, or the error.
func (r *Result) request(transport http.RoundTripper, addr string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := r.Ask.HTTPRequest(ctx, addr)
	if err == nil {
		req.GetBody = nil // keeps net/http from repeating the request
		err = r.readResponse(transport.RoundTrip(req))
	}
	r.Err = err
	r.Ended = time.Now()
}
