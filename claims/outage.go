package claims

import (
	"context"
	"sync"
	"time"
)

// probeInterval is the time between two claims that are tried while the circuit
// breaker is open. The others fail within a millisecond instead of after seconds,
// so that their callers can soon retry.
const probeInterval = time.Second

// CircuitOpenError reports that a claim was not tried, because recent claims on its
// shard failed with every batcher. The request did not run. Since is the time of
// the first failure.
type CircuitOpenError struct{ Since time.Time }

// Error implements error.
func (e *CircuitOpenError) Error() string {
	return "claims have failed with every batcher since " + e.Since.Format(time.RFC3339Nano)
}

// circuitBreaker makes claims on a shard fail fast while the log is unavailable.
// Without it, under load, each keyed request would occupy its caller until all
// tries have timed out.
type circuitBreaker struct {
	mu        sync.Mutex
	openSince time.Time // time of the first failure; zero while the breaker is closed
	nextProbe time.Time // time from which the next claim is tried
}

// allow returns a *CircuitOpenError if the claim must not be tried. A claim that is
// tried while the breaker is open blocks the others for up to claimTimeout.
func (b *circuitBreaker) allow(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openSince.IsZero() {
		return nil
	}
	if now.Before(b.nextProbe) {
		return &CircuitOpenError{Since: b.openSince}
	}
	b.nextProbe = now.Add(claimTimeout)
	return nil
}

// callResult is the result of a claim that was tried.
type callResult int

const (
	callSucceeded callResult = iota // the claim got a standing, whoever holds the key
	callFailed                      // failed with every batcher
	callAborted                     // the caller's context ended first, which says nothing about the log
)

// classifyCall returns the result of a claim from its error.
func classifyCall(callerCtx context.Context, err error) callResult {
	switch {
	case err == nil:
		return callSucceeded
	case callerCtx.Err() != nil:
		return callAborted
	}
	return callFailed
}

// report records the result of a claim that was tried.
func (b *circuitBreaker) report(now time.Time, result callResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case result == callSucceeded:
		b.openSince = time.Time{}
	case result == callFailed && b.openSince.IsZero():
		b.openSince = now
	}
	b.nextProbe = now.Add(probeInterval)
}
