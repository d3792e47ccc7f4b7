package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// progressEvery is how often progress is told.
const progressEvery = time.Second

// Run carries out a load and returns what its callers got. It returns a
// *UsageError for options out of bounds. When ctx ends the load ends early, and
// requests in flight are given up.
func Run(ctx context.Context, options Options) (*Report, error) {
	options = options.WithDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	client := &Client{HTTP: newClient(options.Concurrency), URL: options.URL, Key: options.Key}
	defer client.HTTP.CloseIdleConnections()

	// requests is unbuffered: when all callers are busy, the next request
	// waits, and its times count from when it was due.
	requests := make(chan dueRequest)
	// samples waits when full: the collector is faster than the callers.
	samples := make(chan Answer, options.Concurrency)

	go options.arrive(ctx, requests)
	var callers sync.WaitGroup
	for range options.Concurrency {
		callers.Go(func() { call(ctx, client, requests, samples) })
	}
	go func() {
		callers.Wait()
		close(samples)
	}()
	report := newReport(options)
	report.collect(samples, options.Progress)
	return report, nil
}

// call is one caller: it sends one request after the other.
func call(ctx context.Context, client *Client, requests <-chan dueRequest, samples chan<- Answer) {
	for r := range requests {
		if r.due.IsZero() {
			r.due = time.Now()
		}
		samples <- client.Send(ctx, r.Request, r.due)
	}
}

// dueRequest is a request and when it was due; zero: when a caller takes it.
type dueRequest struct {
	Request
	due time.Time
}

// arrive makes the requests: at random times where a rate is given, else as
// fast as callers take them.
func (o Options) arrive(ctx context.Context, requests chan<- dueRequest) {
	defer close(requests)
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	due := time.Now()
	for n := range o.Requests {
		r := dueRequest{Request: o.newRequest(n + 1)}
		if o.Rate > 0 {
			due = due.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
			r.due = due
			if !waitUntil(ctx, due) {
				return
			}
		}
		select {
		case requests <- r:
		case <-ctx.Done():
			return
		}
	}
}

// waitUntil waits for a time, and says whether it came before ctx ended.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
