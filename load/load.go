package load

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
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
	client := newClient(options.Concurrency)
	defer client.CloseIdleConnections()

	// requests is unbuffered: when all callers are busy, the next request
	// waits, and its times count from when it was due.
	requests := make(chan request)
	// samples waits when full: the collector is faster than the callers.
	samples := make(chan sample, options.Concurrency)

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return options.arrive(ctx, requests) })
	callers := errgroup.Group{}
	for range options.Concurrency {
		callers.Go(func() error {
			for r := range requests {
				if r.due.IsZero() {
					r.due = time.Now()
				}
				samples <- options.send(ctx, client, r)
			}
			return nil
		})
	}
	group.Go(func() error {
		defer close(samples)
		return callers.Wait()
	})
	report := newReport(options)
	report.collect(samples, options.Progress)
	return report, group.Wait()
}

// arrive makes the requests: at random times where a rate is given, else as
// fast as callers take them.
func (o Options) arrive(ctx context.Context, requests chan<- request) error {
	defer close(requests)
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	due := time.Now()
	for n := range o.Requests {
		r, err := o.newRequest(n + 1)
		if err != nil {
			return err
		}
		if o.Rate > 0 {
			due = due.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
			r.due = due
			if !waitUntil(ctx, due) {
				return nil
			}
		}
		select {
		case requests <- r:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
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
