package instance

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

const (
	// changeBound is the time within which a configuration must be in force after its
	// acknowledgement, and returnBound the same after the store answers again.
	changeBound = 2 * time.Second
	returnBound = 3 * time.Second
	// maxCalls bounds an instance's reads of the store in each test case, which lasts
	// about 15 seconds.
	maxCalls = 40
)

// lossySource is a store whose configuration changes once, at changedAt. It never answers
// a read that begins before lossEnd and whose answer is due at lossBegin or later.
type lossySource struct {
	topology.Source
	changedAt, lossBegin, lossEnd time.Time
	calls                         atomic.Int64
}

// NewestConfig implements topology.Source.
func (s *lossySource) NewestConfig(ctx context.Context) (*topology.Config, topology.Position, error) {
	if err := s.answer(ctx, time.Now()); err != nil {
		return nil, topology.Position{}, err
	}
	version := int64(1)
	if !time.Now().Before(s.changedAt) {
		version = 2
	}
	return &topology.Config{Version: version}, topology.Position{Offset: version}, nil
}

// NextConfig implements topology.Source.
func (s *lossySource) NextConfig(ctx context.Context, from topology.Position, wait time.Duration) (*topology.Config, topology.Position, error) {
	until := time.Now().Add(wait)
	changes := from.Offset < 2 && s.changedAt.Before(until)
	if changes {
		until = s.changedAt
	}
	if err := s.answer(ctx, until); err != nil {
		return nil, from, err
	}
	if !changes {
		return nil, from, nil
	}
	return &topology.Config{Version: 2}, topology.Position{Offset: 2}, nil
}

// answer blocks until the answer to a read is due. It returns an error if ctx ends
// first, and for a read that is never answered once ctx ends.
func (s *lossySource) answer(ctx context.Context, until time.Time) error {
	s.calls.Add(1)
	began := time.Now()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(time.Until(until) + time.Millisecond):
	}
	if began.Before(s.lossEnd) && !time.Now().Before(s.lossBegin) {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	return nil
}

type lostReadsCase struct {
	instances    int
	candidate    bool
	peerStatus   *peerStatus   // reported repeatedly by the lease holder or a candidate; nil: no answers
	lostAfter    time.Duration // from the start to the first lost read
	lostFor      time.Duration
	changedAfter time.Duration // from the end of the losses to the change; may be negative
}

// A read that is never answered must not delay a configuration beyond the bound on
// changes, even if other instances that have not read it report an older version.
func TestAChangeComesInForceInTimeThoughReadsAreLost(t *testing.T) {
	answers := map[string]*peerStatus{
		"no holder":                     nil,
		"a holder that has not read it": {version: 1},
		"a holder that is cut off":      {version: 1, storeDown: true},
		"a holder whose reads are lost": {version: 1, confirmedAt: time.Unix(1, 0)}, // run sets the actual time
	}
	for _, instances := range []int{9, 295} {
		for holder, answer := range answers {
			for _, candidate := range []bool{false, true} {
				for _, lostAfter := range []time.Duration{7000, 8500} {
					for _, lostFor := range []time.Duration{0, 300, 5000} {
						for _, changedAfter := range []time.Duration{-100, 100, 700, 1500} {
							c := lostReadsCase{instances, candidate, answer, lostAfter * time.Millisecond, lostFor * time.Millisecond, changedAfter * time.Millisecond}
							name := fmt.Sprintf("%d instances, %s, candidate=%v, after %s, lost for %s, changed %s later", instances, holder, candidate, c.lostAfter, c.lostFor, c.changedAfter)
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
	source := &lossySource{lossBegin: start.Add(c.lostAfter), lossEnd: start.Add(c.lostAfter + c.lostFor)}
	source.changedAt = source.lossEnd.Add(c.changedAfter)
	i := newTestInstance(source)
	i.view.InstancesByDomain = map[string]int{"d": c.instances}
	i.lease.ObserveHolder(c.candidate)
	ctx, cancel := context.WithCancel(t.Context())
	var duties sync.WaitGroup
	duties.Go(func() { _ = i.followConfig(ctx) }) // returns nil once ctx ends
	duties.Go(func() {
		for c.peerStatus != nil && ctx.Err() == nil {
			answer := *c.peerStatus
			answer.receivedAt = time.Now()
			if !answer.confirmedAt.IsZero() { // its age is 0 until reads are lost, and grows from then on
				answer.confirmedAt = answer.receivedAt
				if answer.receivedAt.After(source.lossBegin) {
					answer.confirmedAt = source.lossBegin
				}
			}
			i.setPeerStatus(answer)
			time.Sleep(maxSyncInterval)
		}
	})
	bound := max(c.changedAfter+changeBound, returnBound)
	time.Sleep(time.Until(source.lossEnd.Add(bound)))
	version, calls := i.configVersion(), source.calls.Load()
	cancel()
	duties.Wait()
	require.EqualValues(t, 2, version)
	require.Less(t, calls, int64(maxCalls))
}
