package standin

import (
	"context"
	"sync"

	"greengageferry/infra"
)

// Engines is a infra.Engine over engines in the same process, each at the
// address that Add gave it.
type Engines struct {
	mu     sync.Mutex
	byAddr map[string]*Engine
}

var _ infra.Engine = (*Engines)(nil)

// NewEngines returns an Engines without any.
func NewEngines() *Engines { return &Engines{byAddr: map[string]*Engine{}} }

// Add puts an engine at an address; nil takes away what is there.
func (s *Engines) Add(addr string, e *Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byAddr[addr] = e
}

func (s *Engines) at(op, addr string) (*Engine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byAddr[addr]; e != nil {
		return e, nil
	}
	return nil, refusal(op, addr, infra.ReasonUnreachable)
}

// Generate implements infra.Engine.
func (s *Engines) Generate(ctx context.Context, addr string, req infra.GenerateRequest) (infra.Stream, error) {
	e, err := s.at("engine.generate", addr)
	if err != nil {
		return nil, err
	}
	return e.generate(ctx, req)
}

// Cancel implements infra.Engine.
func (s *Engines) Cancel(ctx context.Context, addr, attempt string) error {
	e, err := s.at("engine.cancel", addr)
	if err != nil {
		return err
	}
	return e.cancel(ctx, attempt)
}

// Order implements infra.Engine.
func (s *Engines) Order(ctx context.Context, addr string, order infra.Order) error {
	e, err := s.at("engine.order", addr)
	if err != nil {
		return err
	}
	return e.order(ctx, order)
}

// Status implements infra.Engine.
func (s *Engines) Status(ctx context.Context, addr string) (infra.ServerStatus, error) {
	e, err := s.at("engine.status", addr)
	if err != nil {
		return infra.ServerStatus{}, err
	}
	return e.status(ctx)
}

// CacheEvents implements infra.Engine.
func (s *Engines) CacheEvents(ctx context.Context, addr string, after uint64) ([]infra.CacheEvent, error) {
	e, err := s.at("engine.cache_events", addr)
	if err != nil {
		return nil, err
	}
	return e.cacheEvents(ctx, after)
}
