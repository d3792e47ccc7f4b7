package instance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

const (
	// changeBound is the time from a configuration's acknowledgement until it must be
	// in force, and returnBound the same from when the store answers again.
	changeBound = 2 * time.Second
	returnBound = 3 * time.Second
	// mostCalls bounds the reads of an instance in each test case, of some 15 seconds.
	mostCalls = 40
)

// lossySource is a store whose configuration changes once. It never answers reads
// that wait at lostFrom, nor those that begin until lostTo.
type lossySource struct {
	topology.Source
	changedAt, lostFrom, lostTo time.Time
	calls                       atomic.Int64
}

// NewestConfig implements topology.Source.
func (s *lossySource) NewestConfig(ctx context.Context) (*topology.Config, topology.Position, error) {
	if err := s.answer(ctx, time.Now()); err != nil {
		return nil, 0, err
	}
	version := int64(1)
	if !time.Now().Before(s.changedAt) {
		version = 2
	}
	return &topology.Config{Version: version}, topology.Position(version), nil
}

// NextConfig implements topology.Source.
func (s *lossySource) NextConfig(ctx context.Context, from topology.Position, wait time.Duration) (*topology.Config, topology.Position, error) {
	until := time.Now().Add(wait)
	news := from < 2 && s.changedAt.Before(until)
	if news {
		until = s.changedAt
	}
	if err := s.answer(ctx, until); err != nil {
		return nil, from, err
	}
	if !news {
		return nil, from, nil
	}
	return &topology.Config{Version: 2}, 2, nil
}

// answer waits until a time, or until ctx ends for a read that is lost.
func (s *lossySource) answer(ctx context.Context, until time.Time) error {
	s.calls.Add(1)
	began := time.Now()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(time.Until(until) + time.Millisecond):
	}
	if began.Before(s.lostTo) && !time.Now().Before(s.lostFrom) {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	return nil
}

type lostReadsCase struct {
	instances int
	candidate bool
	word      *told // repeated by the lease holder or a candidate; nil: none is heard
	calm      time.Duration
	lost      time.Duration
	changed   time.Duration // after reads are no longer lost
}

// A read that is never answered must not hide a configuration for longer than a
// change may take, whatever is heard from other instances that have not read it either.
func TestAChangeComesInForceInTimeThoughReadsAreLost(t *testing.T) {
	words := map[string]*told{
		"no holder":                     nil,
		"a holder that has not read it": {version: 1},
		"a holder that is cut off":      {version: 1, storeDown: true},
	}
	for _, instances := range []int{9, 295} {
		for holder, word := range words {
			for _, candidate := range []bool{false, true} {
				for _, calm := range []time.Duration{7000, 8500} {
					for _, lost := range []time.Duration{0, 300, 5000} {
						for _, changed := range []time.Duration{-100, 100, 700, 1500} {
							c := lostReadsCase{instances, candidate, word, calm * time.Millisecond, lost * time.Millisecond, changed * time.Millisecond}
							name := fmt.Sprintf("%d instances, %s, candidate=%v, after %s, lost for %s, changed %s later", instances, holder, candidate, c.calm, c.lost, c.changed)
							t.Run(name, func(t *testing.T) { synctest.Test(t, c.run) })
						}
					}
				}
			}
		}
	}
}

func (c lostReadsCase) run(t *testing.T) {
	start := time.Now()
	source := &lossySource{lostFrom: start.Add(c.calm), lostTo: start.Add(c.calm + c.lost)}
	source.changedAt = source.lostTo.Add(c.changed)
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := New(Options{
		Node: &topology.Node{Domain: "d"}, Source: source, Log: log, Rand: rand.New(rand.NewPCG(1, 1)),
		Clock: func() time.Duration { return time.Since(start) },
	})
	i.view.Nodes = map[string]int{"d": c.instances}
	i.lease.Heard(c.candidate)
	ctx, cancel := context.WithCancel(t.Context())
	var duties sync.WaitGroup
	duties.Go(func() { _ = i.followConfig(ctx) }) // ends with ctx
	duties.Go(func() {
		for c.word != nil && ctx.Err() == nil {
			word := *c.word
			word.at = time.Now()
			i.heard(word)
			time.Sleep(syncMost)
		}
	})
	bound := max(c.changed+changeBound, returnBound)
	time.Sleep(time.Until(source.lostTo.Add(bound)))
	version, calls := i.configVersion(), source.calls.Load()
	cancel()
	duties.Wait()
	require.EqualValues(t, 2, version)
	require.Less(t, calls, int64(mostCalls))
}
