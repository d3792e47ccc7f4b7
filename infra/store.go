package infra

import "context"

// StoreLimits is what the weight store allows one partner. Values of zero mean
// that the store gave none.
type StoreLimits struct {
	LoadsPerSecond  float64 `json:"loads_per_second"`
	ConcurrentLoads int     `json:"concurrent_loads"` // at full speed
}

// WeightStore is the platform's rate-limited store of model weights. Engines
// fetch from it themselves; this system only keeps within its limits.
type WeightStore interface {
	Limits(ctx context.Context, partner string) (StoreLimits, error)
}
