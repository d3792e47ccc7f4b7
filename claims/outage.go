package claims

import (
	"context"
	"sync"
	"time"
)

// outageProbe is the time between two claims that are tried during an outage.
// The others are refused at once: their callers learn in a millisecond what
// they would otherwise learn in seconds, and can come back.
const outageProbe = time.Second

// OutageError says that a claim was not tried, since one just failed with every
// batcher: it did not run.
type OutageError struct{ Since time.Time }

// Error implements error.
func (e *OutageError) Error() string {
	return "claims have failed with every batcher since " + e.Since.Format(time.RFC3339Nano)
}

// outage remembers that a shard's claims fail. It is for outages of the log under load:
// without it each keyed request would hold its caller for all its tries.
type outage struct {
	mu    sync.Mutex
	since time.Time // the first failure; zero: claims are taken
	probe time.Time // when the next claim is tried
}

// enter returns an *OutageError if the claim is not to be tried. One that is
// tried during an outage keeps the others out for as long as it may take.
func (o *outage) enter(now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return nil
	}
	if now.Before(o.probe) {
		return &OutageError{Since: o.since}
	}
	o.probe = now.Add(claimTimeout)
	return nil
}

// end says how a claim that was tried ended.
type end int

const (
	endTaken   end = iota // the log took it, whoever holds the key
	endFailed             // with every batcher
	endUnknown            // its caller's own deadline came first, which says nothing
)

// tryEnd returns how a claim ended.
func tryEnd(callerCtx context.Context, err error) end {
	switch {
	case err == nil:
		return endTaken
	case callerCtx.Err() != nil:
		return endUnknown
	}
	return endFailed
}

// leave takes in how a claim that was tried ended.
func (o *outage) leave(now time.Time, e end) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case e == endTaken:
		o.since = time.Time{}
	case e == endFailed && o.since.IsZero():
		o.since = now
	}
	o.probe = now.Add(outageProbe)
}
