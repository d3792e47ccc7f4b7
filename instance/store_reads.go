package instance

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxReadTime is how long the store may take to answer a read, waited for or not.
	maxReadTime = 6 * time.Second
	// maxLateReads bounds a duty's reads that are no longer waited for.
	maxLateReads = 4
)

// idleCloser is implemented by sources that keep connections.
type idleCloser interface{ CloseIdleConnections() }

// storeReads are a duty's reads of the store that are under way, among them those whose
// answers the duty no longer waits for. A read that isn't answered in time may be lost, so
// another one begins; but a store that is only slow would never be read if the first one
// ended then. An answer that comes late is as valid as any: it is applied by its position
// and era.
type storeReads struct {
	group errgroup.Group
	open  atomic.Int32
}

// wait waits until all reads have ended.
func (r *storeReads) wait() { _ = r.group.Wait() } // no error is returned

// storeAnswer is the result of a read.
type storeAnswer[T any] struct {
	value T
	err   error
}

// readUntil makes a read and waits for its answer until waitCtx ends, whose cause is the
// error then. The read goes on until ctx ends or maxReadTime has passed, and onLate gets
// its answer, unless too many reads are under way already.
func readUntil[T any](ctx, waitCtx context.Context, i *Instance, reads *storeReads, read func(context.Context) (T, error), onLate func(T)) (T, error) {
	readCtx, cancel := context.WithTimeout(ctx, maxReadTime)
	answers := make(chan storeAnswer[T]) // received from only until waitCtx ends
	reads.open.Add(1)
	reads.group.Go(func() error {
		defer reads.open.Add(-1)
		defer cancel()
		value, err := read(readCtx)
		select {
		case answers <- storeAnswer[T]{value, err}:
		case <-waitCtx.Done():
			if err == nil {
				i.metrics.lateAnswers.Inc()
				onLate(value)
			}
		}
		return nil
	})
	select {
	case a := <-answers:
		return a.value, a.err
	case <-waitCtx.Done():
	}
	// Connections from the same pool may be as silent as this read's.
	if c, ok := i.opts.Source.(idleCloser); ok {
		c.CloseIdleConnections()
	}
	if reads.open.Load() > maxLateReads {
		cancel()
	}
	var none T
	return none, context.Cause(waitCtx)
}
