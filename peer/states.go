package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"golang.org/x/sync/errgroup"

	"greengageferry/infra"
	"greengageferry/record"
)

// AskedForState is how many peers a newcomer asks for their state: enough that
// one of them is not behind, few enough that a failure domain of 41 instances
// which starts together doesn't send each state 1,600 times.
const MaxStatePeers = 3

// States asks several peers for a stream's state and takes the newest. It
// implements logsync.StateSource.
type StateFetcher struct {
	client *Client
	// addrs returns the addresses of the peers to choose from.
	addrs func() []string
}

// NewStates returns a source over the peers that addrs names at the time.
func NewStateFetcher(client *Client, addrs func() []string) *StateFetcher {
	return &StateFetcher{client: client, addrs: addrs}
}

// NoPeerError says that no peer gave a state.
type NoPeerError struct {
	Stream string
	Asked  int
	Err    error // of one of them; nil where none was asked
}

// Error implements error.
func (e *NoPeerError) Error() string {
	return fmt.Sprintf("none of %d peers gave the state of %s: %v", e.Asked, e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *NoPeerError) Unwrap() error { return e.Err }

// State implements logsync.StateSource. The error is a *NoPeerError.
func (s *StateFetcher) State(ctx context.Context, stream string, atLeast infra.Offset) (*record.Checkpoint, error) {
	addrs := s.addrs()
	rand.Shuffle(len(addrs), func(a, b int) { addrs[a], addrs[b] = addrs[b], addrs[a] })
	addrs = addrs[:min(len(addrs), MaxStatePeers)]
	var mu sync.Mutex
	var newest *record.Checkpoint
	failure := &NoPeerError{Stream: stream, Asked: len(addrs)}
	var group errgroup.Group
	for _, addr := range addrs {
		group.Go(func() error {
			got, err := s.client.State(ctx, addr, stream, atLeast)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure.Err = err
				return nil
			}
			if newest == nil || got.GetCovers() > newest.GetCovers() {
				newest = got
			}
			return nil
		})
	}
	_ = group.Wait() // the failures are in failure
	if newest == nil {
		return nil, failure
	}
	return newest, nil
}
