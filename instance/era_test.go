package instance

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// restoredSource is a store that is restored at restoredAt from a copy without the newest
// configuration. The next one, written at changedAt, gets the offset of the lost one.
type restoredSource struct {
	topology.Source
	restoredAt, changedAt time.Time
	servers               map[int64][]topology.ServerChange // newest entries, by era
}

// state returns the era, the end offset and the newest configuration version.
func (s *restoredSource) state() (era, end, version int64) {
	switch now := time.Now(); {
	case now.Before(s.restoredAt):
		return 1, 2, 2
	case now.Before(s.changedAt):
		return 2, 1, 1
	}
	return 2, 2, 3
}

// NewestConfig implements topology.Source.
func (s *restoredSource) NewestConfig(context.Context) (*topology.Config, topology.Position, error) {
	era, end, version := s.state()
	return &topology.Config{Version: version}, topology.Position{Era: era, Offset: end}, nil
}

// NextConfig implements topology.Source.
func (s *restoredSource) NextConfig(ctx context.Context, from topology.Position, wait time.Duration) (*topology.Config, topology.Position, error) {
	select {
	case <-ctx.Done():
		return nil, from, context.Cause(ctx)
	case <-time.After(wait):
	}
	era, end, version := s.state()
	if from.Offset < end {
		return &topology.Config{Version: version}, topology.Position{Era: era, Offset: end}, nil
	}
	return nil, topology.Position{Era: era, Offset: from.Offset}, nil
}

// NewestServers implements topology.Source.
func (s *restoredSource) NewestServers(context.Context) ([]topology.ServerChange, topology.Position, error) {
	era, _, _ := s.state()
	return s.servers[era], topology.Position{Era: era, Offset: 7}, nil
}

// NextServers implements topology.Source.
func (s *restoredSource) NextServers(ctx context.Context, from topology.Position, wait time.Duration) ([]topology.ServerChange, topology.Position, error) {
	time.Sleep(wait)
	era, _, _ := s.state()
	return nil, topology.Position{Era: era, Offset: from.Offset}, nil
}

// Offsets are reused after the store is restored from an older copy, so a follower that
// continues from its old position misses changes. The configuration in force must not go
// back, nor may a leaving server be listed as staying.
func TestChangesAfterTheStoreIsRestoredFromAnOlderCopyAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		server := func(id string, leaving bool) topology.ServerChange {
			return topology.ServerChange{ID: id, Server: &topology.Server{ID: id, Leaving: leaving}}
		}
		source := &restoredSource{
			restoredAt: start.Add(5 * time.Second), changedAt: start.Add(6 * time.Second),
			servers: map[int64][]topology.ServerChange{
				1: {server("leaves", true), server("new", false)},
				2: {server("leaves", false), server("old", false)},
			},
		}
		i := newTestInstance(source)
		ctx, cancel := context.WithCancel(t.Context())
		var duties sync.WaitGroup
		duties.Go(func() { _ = i.followConfig(ctx) })
		duties.Go(func() { _ = i.followServers(ctx) })
		time.Sleep(time.Until(source.restoredAt) - time.Millisecond)
		require.EqualValues(t, 2, i.configVersion())
		for time.Now().Before(source.changedAt) {
			require.EqualValues(t, 2, i.configVersion(), "the configuration must not go back")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond)
		listed := map[string]bool{}
		for _, s := range i.currentView().Servers {
			listed[s.ID] = s.Leaving
		}
		require.Equal(t, map[string]bool{"leaves": true, "new": false, "old": false}, listed, "servers without an entry are kept for now")
		time.Sleep(time.Until(source.changedAt.Add(changeBound)))
		require.EqualValues(t, 3, i.configVersion())
		require.EqualValues(t, 2, i.storeEra())
		require.Equal(t, eraStale, i.observeEra(1, "store"))
		require.Equal(t, eraCurrent, i.observeEra(0, "store"), "an answer without an era is accepted")
		cancel()
		duties.Wait()
	})
}

// A newer era reported by another instance invalidates positions and confirmations; an
// older one is stale and doesn't replace it.
func TestAnEraIsLearnedFromOtherInstances(t *testing.T) {
	i := newInformedInstance(time.Now())
	i.log, i.metrics = quietLog(), newMetrics()
	require.Equal(t, eraCurrent, i.observeEra(4, "store"), "the first era")
	require.Equal(t, eraAdvanced, i.observeEra(5, "instance"))
	require.Equal(t, noPosition, i.servers.position())
	require.False(t, i.configConfirmedByPeer(time.Now()), "confirmations from an earlier era are invalid")
	require.Equal(t, eraStale, i.observeEra(4, "instance"))
	require.EqualValues(t, 5, i.storeEra())
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// newTestInstance returns an instance of failure domain d that runs no duties.
func newTestInstance(source topology.Source) *Instance {
	started := time.Now()
	return New(Options{
		Node: &topology.Node{Domain: "d"}, Source: source, Log: quietLog(), Rand: rand.New(rand.NewPCG(1, 1)),
		Clock: func() time.Duration { return time.Since(started) },
	})
}
