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

// Before reports whether p is an earlier place than o. An unknown era counts as the other's.
func (p Position) Before(o Position) bool {
	if p.Era != o.Era && p.Era != 0 && o.Era != 0 {
		return p.Era < o.Era
	}
	return p.Offset < o.Offset
}

// ServerChange is a change of a server's entry in the store.
type ServerChange struct {
	ID     string
	Server *Server // nil: the entry was removed or can't be used
	Err    error   // why the entry can't be used
}

// Source reads the deployment from the store. The Newest methods return the current
// state, the Next methods wait up to the given time for changes after a position. Errors
// are *infra.Error; after infra.ReasonOutOfRange the caller must start again from the
// newest state. The position that a read returns has the era of the store's response. If
// that differs from the era of the position read from, the changes returned don't continue
// from that position. Calls may overlap.
type Source interface {
	NewestConfig(ctx context.Context) (*Config, Position, error)
	NextConfig(ctx context.Context, from Position, wait time.Duration) (*Config, Position, error)
	// DecodeConfig decodes the Record of a Config that another instance has read.
	DecodeConfig(record []byte) (*Config, error)
	NewestServers(ctx context.Context) ([]ServerChange, Position, error)
	NextServers(ctx context.Context, from Position, wait time.Duration) ([]ServerChange, Position, error)
}
