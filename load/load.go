package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// progressInterval is the time between two calls of Options.Progress.
const progressInterval = time.Second

// Run generates a load and returns its report. It returns a *UsageError for
// options that are out of bounds. When ctx ends, the load ends early and the
// requests in flight are canceled.
func Run(ctx context.Context, options Options) (*Report, error) {
	options = options.WithDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	client := &Client{HTTP: newHTTPClient(options.Concurrency), URL: options.URL, Key: options.Key}
	defer client.HTTP.CloseIdleConnections()

	// requests is unbuffered: when all workers are busy, the next request
	// waits. Its latencies still count from its scheduled time.
	requests := make(chan dueRequest)
	// Workers block when answers is full, which is rare: the collector is faster
	// than the workers.
	answers := make(chan Answer, options.Concurrency)

	go options.generateRequests(ctx, requests)
	var workers sync.WaitGroup
	for range options.Concurrency {
		workers.Go(func() { runWorker(ctx, client, requests, answers) })
	}
	go func() {
		workers.Wait()
		close(answers)
	}()
	report := newReport(options)
	report.collect(answers, options.Progress)
	return report, nil
}

// runWorker sends one request after the other until requests is closed.
func runWorker(ctx context.Context, client *Client, requests <-chan dueRequest, answers chan<- Answer) {
	for r := range requests {
		if r.due.IsZero() {
			r.due = time.Now()
		}
		answers <- client.Send(ctx, r.Request, r.due)
	}
}

// dueRequest is a request and its scheduled time. If due is zero, the scheduled
// time is when a worker receives the request.
type dueRequest struct {
	Request
	due time.Time
}

// generateRequests sends the requests of the load to the channel: at random
// times if a rate is set, else as fast as the workers take them.
func (o Options) generateRequests(ctx context.Context, requests chan<- dueRequest) {
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

// waitUntil waits until t, and returns false if ctx ended first.
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
