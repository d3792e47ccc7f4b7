package caller

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// outbox is a duty that sends messages which no request waits for.
type outbox[T any] struct {
	ring   chan T // full: see put
	atOnce int    // sends under way at once: one that hangs mustn't hold up the others
	send   func(context.Context, T)
	failed func(panicked any) // told of a send that panicked; the others go on
	books  *inHand            // not nil: what waits here is counted in, so that Idle waits for it
}

// put adds a message. Ring full: it says false, and the message is dropped;
// each user of an outbox says why that does no harm.
func (o *outbox[T]) put(message T) bool {
	if o.books != nil {
		o.books.hold()
	}
	select {
	case o.ring <- message:
		return true
	default:
		o.release()
		return false
	}
}

func (o *outbox[T]) release() {
	if o.books != nil {
		o.books.leave()
	}
}

// run sends until ctx ends. What is under way then is cut off; in a graceful
// shutdown nothing that matters is, since Idle was waited for.
func (o *outbox[T]) run(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(o.atOnce)
	defer func() { _ = g.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-o.ring:
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
		o.failed(v)
	}
}
