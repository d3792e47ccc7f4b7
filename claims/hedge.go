package claims

import (
	"context"
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/peer"
)

// batcherAnswer is the result of one call to a batcher.
type batcherAnswer struct {
	batcher  string // its instance's id
	standing *peer.ClaimStanding
	err      error
}

// hedgedCalls are the calls to a shard's batchers with one record. Calls are safe to
// overlap: the order of the log decides on the record, however often it is there. It
// is used by one goroutine.
type hedgedCalls struct {
	ctx     context.Context
	cancel  context.CancelFunc
	call    func(ctx context.Context, batcher infra.Instance) (*peer.ClaimStanding, error)
	waiting []infra.Instance // not called yet, in order
	open    []string         // called and not answered
	answers chan batcherAnswer
}

// startCalls returns the calls with an encoded record to the shard's batchers. The
// caller must call cancel.
func (c *Client) startCalls(ctx context.Context, shard uint32, data []byte) *hedgedCalls {
	candidates := c.batcherCandidates(shard)
	h := &hedgedCalls{
		call: func(ctx context.Context, batcher infra.Instance) (*peer.ClaimStanding, error) {
			return c.callBatcher(ctx, batcher, shard, data)
		},
		waiting: candidates,
		answers: make(chan batcherAnswer, len(candidates)),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	return h
}

// next returns the next answer, or false once no batcher is left to answer. It calls
// the next batcher if none is being called or none has answered for hedgeDelay.
func (h *hedgedCalls) next() (batcherAnswer, bool) {
	for {
		if len(h.open) == 0 && !h.callNext() {
			return batcherAnswer{}, false
		}
		hedge := time.NewTimer(hedgeDelay)
		select {
		case a := <-h.answers:
			hedge.Stop()
			h.open = slices.DeleteFunc(h.open, func(id string) bool { return id == a.batcher })
			return a, true
		case <-hedge.C:
			h.callNext()
		}
	}
}

// callNext calls the first batcher that wasn't called yet. It returns false if there is
// none, or no time is left.
func (h *hedgedCalls) callNext() bool {
	if len(h.waiting) == 0 || h.ctx.Err() != nil {
		return false
	}
	batcher := h.waiting[0]
	h.waiting = h.waiting[1:]
	h.open = append(h.open, batcher.ID)
	go func() {
		standing, err := h.call(h.ctx, batcher)
		h.answers <- batcherAnswer{batcher: batcher.ID, standing: standing, err: err}
	}()
	return true
}

// unanswered returns the batchers that were called and haven't answered.
func (h *hedgedCalls) unanswered() []string { return h.open }

// callBatcher sends the encoded record to one batcher. On an error the standing is
// nil, which decodeStanding decodes as Uncertain.
func (c *Client) callBatcher(ctx context.Context, batcher infra.Instance, shard uint32, data []byte) (*peer.ClaimStanding, error) {
	var standings []*peer.ClaimStanding
	var err error
	if batcher.ID == c.opts.Self.ID {
		standings, err = c.opts.Local.Claim(ctx, shard, [][]byte{data})
	} else {
		standings, err = c.opts.Remote.Claim(ctx, batcher.Addr, shard, [][]byte{data})
	}
	switch {
	case err != nil:
		return nil, err
	case len(standings) != 1:
		return nil, &infra.Error{Op: "peer.claim", Addr: batcher.Addr, Reason: infra.ReasonProtocol}
	}
	return standings[0], nil
}
