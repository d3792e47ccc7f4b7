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

// MaxStatePeers is the number of peers that an instance asks for the state of a
// stream. It is high enough that one of them is up to date, and low enough that a
// failure domain of 41 instances that start together doesn't send each state 1,600
// times.
const MaxStatePeers = 3

// StateFetcher fetches a stream's state from several peers and selects the newest. It
// implements logsync.StateSource.
type StateFetcher struct {
	client *Client
	// addrs returns the addresses of the peers to choose from, in a new slice.
	addrs func() []string
}

// NewStateFetcher returns a fetcher that calls addrs for each fetch.
func NewStateFetcher(client *Client, addrs func() []string) *StateFetcher {
	return &StateFetcher{client: client, addrs: addrs}
}

// NoPeerError reports that no peer provided a state.
type NoPeerError struct {
	Stream string
	Asked  int   // number of peers that were asked
	Err    error // the error of one of the peers; nil if none was asked
}

// Error implements error.
func (e *NoPeerError) Error() string {
	return fmt.Sprintf("none of %d peers provided the state of stream %s: %v", e.Asked, e.Stream, e.Err)
}

// Unwrap returns the error of one of the peers.
func (e *NoPeerError) Unwrap() error { return e.Err }

// State implements logsync.StateSource. Its errors are of type *NoPeerError.
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
	_ = group.Wait() // errors are stored in failure
	if newest == nil {
		return nil, failure
	}
	return newest, nil
}
