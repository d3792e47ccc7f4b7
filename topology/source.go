package topology

import (
	"context"
	"time"
)

// Position is a place in one of the store's sequences of changes. It is only
// valid within one era of the store: offsets are reused after the store is restored from
// an older copy.
type Position struct {
	Era    int64 // increases each time the store is restored from an older copy; 0: unknown
	Offset int64
}

// ServerChange is one change of a server's entry.
type ServerChange struct {
	ID     string
	Server *Server // nil: the entry is gone, or can't be used
	Err    error   // why it can't be used
}

// Source is where the deployment is read from. Errors are *infra.Error;
// infra.ReasonOutOfRange asks to begin with the newest again. The position that a read
// returns has the era of the store's answer. If that differs from the era of the position
// read from, the changes returned don't continue from that position.
type Source interface {
	NewestConfig(ctx context.Context) (*Config, Position, error)
	NextConfig(ctx context.Context, from Position, wait time.Duration) (*Config, Position, error)
	NewestServers(ctx context.Context) ([]ServerChange, Position, error)
	NextServers(ctx context.Context, from Position, wait time.Duration) ([]ServerChange, Position, error)
}
