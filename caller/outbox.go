package caller

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// outbox is a duty that sends queued messages concurrently. No request waits for
// them.
type outbox[T any] struct {
	queue         chan T // see put for a full queue
	maxConcurrent int    // limit of concurrent sends, so that one that hangs doesn't block the others
	send          func(context.Context, T)
	onPanic       func(panicked any) // called after a send panicked; other sends continue
	work          *workTracker       // if not nil, counts pending messages, so that Server.Idle waits for them
}

// put queues a message. If the queue is full it drops the message and returns false.
// The comment at each use of put says why a dropped message does no harm.
func (o *outbox[T]) put(message T) bool {
	if o.work != nil {
		o.work.add()
	}
	select {
	case o.queue <- message:
		return true
	default:
		o.release()
		return false
	}
}

func (o *outbox[T]) release() {
	if o.work != nil {
		o.work.done()
	}
}

// run sends messages until ctx ends, which also aborts the sends in progress. In a
// graceful shutdown ctx ends only after Server.Idle, so nothing important is lost.
func (o *outbox[T]) run(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(o.maxConcurrent)
	defer func() { _ = g.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-o.queue:
			g.Go(func() error {
				defer o.release()
				defer o.recover()
				o.send(ctx, message)
				return nil
			})
		}
	}
}

func (o *outbox[T]) recover() {
	if v := recover(); v != nil {
		o.onPanic(v)
	}
}
