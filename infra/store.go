package infra

import "context"

// StoreLimits holds the weight store's limits for one partner. Zero means that the store
// gave no limit.
type StoreLimits struct {
	LoadsPerSecond  float64 `json:"loads_per_second"`
	ConcurrentLoads int     `json:"concurrent_loads"` // loads that run at full speed at the same time
}

// WeightStore is the platform's rate-limited store of model weights. The engines fetch
// weights themselves; this system only keeps the loads that it orders within the limits.
type WeightStore interface {
	Limits(ctx context.Context, partner string) (StoreLimits, error)
}
