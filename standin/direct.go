package standin

import (
	"context"
	"sync"

	"greengageferry/infra"
)

// LocalEngines implements infra.Engine by direct calls to engines in the same
// process. Add assigns each engine its address.
type LocalEngines struct {
	mu     sync.Mutex
	byAddr map[string]*Engine
}

var _ infra.Engine = (*LocalEngines)(nil)

// NewLocalEngines returns a LocalEngines without engines.
func NewLocalEngines() *LocalEngines { return &LocalEngines{byAddr: map[string]*Engine{}} }

// Add assigns the address to an engine. A nil engine removes the one at the address.
func (s *LocalEngines) Add(addr string, e *Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byAddr[addr] = e
}

// lookup returns the engine at the address, or an error with ReasonUnreachable.
func (s *LocalEngines) lookup(op, addr string) (*Engine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byAddr[addr]; e != nil {
		return e, nil
	}
	return nil, refusalError(op, addr, infra.ReasonUnreachable)
}

// Generate implements infra.Engine.
func (s *LocalEngines) Generate(ctx context.Context, addr string, req infra.GenerateRequest) (infra.Stream, error) {
	e, err := s.lookup("engine.generate", addr)
	if err != nil {
		return nil, err
	}
	return e.generate(ctx, req)
}

// Cancel implements infra.Engine.
func (s *LocalEngines) Cancel(ctx context.Context, addr, attempt string) error {
	e, err := s.lookup("engine.cancel", addr)
	if err != nil {
		return err
	}
	return e.cancel(ctx, attempt)
}

// Order implements infra.Engine.
func (s *LocalEngines) Order(ctx context.Context, addr string, order infra.Order) error {
	e, err := s.lookup("engine.order", addr)
	if err != nil {
		return err
	}
	return e.order(ctx, order)
}

// Status implements infra.Engine.
func (s *LocalEngines) Status(ctx context.Context, addr string) (infra.ServerStatus, error) {
	e, err := s.lookup("engine.status", addr)
	if err != nil {
		return infra.ServerStatus{}, err
	}
	return e.status(ctx)
}

// CacheEvents implements infra.Engine.
func (s *LocalEngines) CacheEvents(ctx context.Context, addr string, after uint64) ([]infra.CacheEvent, error) {
	e, err := s.lookup("engine.cache_events", addr)
	if err != nil {
		return nil, err
	}
	return e.cacheEvents(ctx, after)
}
