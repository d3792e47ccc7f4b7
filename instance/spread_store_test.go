package instance

import (
	"context"
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/residency"
	"greengageferry/topology"
)

// spreadStore is the store as one instance reaches it. It implements topology.Source and
// residency.Group.
type spreadStore struct {
	world *spreadWorld
	n     int // index of the instance
}

// call fails if the store doesn't serve the instance.
func (s spreadStore) call(ctx context.Context) error {
	s.world.mu.Lock()
	how := s.world.refusals[s.n]
	s.world.mu.Unlock()
	switch how {
	case refused:
		return &infra.Error{Op: "store", Reason: infra.ReasonUnavailable}
	case ignored:
		<-ctx.Done()
		return &infra.Error{Op: "store", Reason: infra.ReasonUnreachable, Err: context.Cause(ctx)}
	}
	time.Sleep(4 * time.Millisecond)
	return ctx.Err()
}

// wait waits until news reports true, at most for the given time.
func (s spreadStore) wait(ctx context.Context, d time.Duration, news func() bool) error {
	timeout := time.After(d)
	for {
		s.world.mu.Lock()
		found, changed := news(), s.world.changed
		s.world.mu.Unlock()
		if found {
			return s.call(ctx)
		}
		select {
		case <-changed:
		case <-timeout:
			return s.call(ctx)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// NewestConfig implements topology.Source.
func (s spreadStore) NewestConfig(ctx context.Context) (*topology.Config, topology.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, topology.Position{}, err
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return spreadConfig(s.world.version), topology.Position{Offset: s.world.version}, nil
}

// NextConfig implements topology.Source.
func (s spreadStore) NextConfig(ctx context.Context, from topology.Position, wait time.Duration) (*topology.Config, topology.Position, error) {
	if err := s.wait(ctx, wait, func() bool { return s.world.version > from.Offset }); err != nil {
		return nil, from, err
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.world.version == from.Offset {
		return nil, from, nil
	}
	return spreadConfig(s.world.version), topology.Position{Offset: s.world.version}, nil
}

func spreadConfig(version int64) *topology.Config {
	return &topology.Config{Version: version, Record: []byte{byte(version)}}
}

// DecodeConfig implements topology.Source.
func (s spreadStore) DecodeConfig(record []byte) (*topology.Config, error) {
	return spreadConfig(int64(record[0])), nil
}

// NewestServers implements topology.Source.
func (s spreadStore) NewestServers(ctx context.Context) ([]topology.ServerChange, topology.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, topology.Position{}, err
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.world.log.newest(), topology.Position{Offset: int64(len(s.world.log))}, nil
}

// NextServers implements topology.Source.
func (s spreadStore) NextServers(ctx context.Context, from topology.Position, wait time.Duration) ([]topology.ServerChange, topology.Position, error) {
	if err := s.wait(ctx, wait, func() bool { return int64(len(s.world.log)) > from.Offset }); err != nil {
		return nil, from, err
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return slices.Clone(s.world.log[from.Offset:]), topology.Position{Offset: int64(len(s.world.log))}, nil
}

// Join implements residency.Group.
func (s spreadStore) Join(ctx context.Context, _, _, member string, ttl time.Duration, _ int64) (residency.Membership, error) {
	if err := s.call(ctx); err != nil {
		return residency.Membership{}, err
	}
	w := s.world
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.owner == "" || w.owner != member && now.Sub(w.renewedAt) > ttl {
		w.owner = member
		w.generation++
	}
	m := residency.Membership{Generation: w.generation}
	if w.owner == member {
		w.renewedAt = now
		m.Partitions = []int{0}
	}
	return m, nil
}

// Leave implements residency.Group.
func (s spreadStore) Leave(ctx context.Context, _, member string) error {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.world.owner == member {
		s.world.owner = ""
	}
	return ctx.Err()
}

// Owner implements residency.Group.
func (s spreadStore) Owner(ctx context.Context, _ string, _ int) (string, error) {
	if err := s.call(ctx); err != nil {
		return "", err
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.world.owner, nil
}

// SaveHolder implements residency.Group.
func (s spreadStore) SaveHolder(ctx context.Context, holder residency.Token) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.world.holders[holder.Holder] = holder.Number
	return nil
}

// RemoveHolder implements residency.Group.
func (s spreadStore) RemoveHolder(ctx context.Context, member string) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	delete(s.world.holders, member)
	return nil
}

// Holders implements residency.Group.
func (s spreadStore) Holders(ctx context.Context) ([]residency.Token, error) {
	if err := s.call(ctx); err != nil {
		return nil, err
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	var out []residency.Token
	for member, number := range s.world.holders {
		out = append(out, residency.Token{Number: number, Holder: member})
	}
	return out, nil
}
