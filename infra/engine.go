package infra

import "context"

// Item is a version of a model or of an adapter that can be loaded into a backend server's
// accelerator memory. An adapter is loaded in addition to its model.
type Item struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"` // empty for the model itself
	Version string `json:"version"`
	MiB     int64  `json:"mib"` // size in accelerator memory
}

// Key identifies an item, independent of its size.
type Key struct {
	Model, Adapter, Version string
}

// Key returns the item's identity.
func (i Item) Key() Key { return Key{Model: i.Model, Adapter: i.Adapter, Version: i.Version} }

// OrderKind is the operation that an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"   // load the item; a no-op if it is already loaded
	OrderUnload OrderKind = "unload" // unload the item; a no-op if it is not loaded
	OrderFence  OrderKind = "fence"  // only raise the highest fencing token seen
)

// Order asks an engine for one step toward its assignment. Orders are idempotent.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Item  Item      `json:"item"`
	Fence uint64    `json:"fence"` // fencing token: the assignment's offset in its control stream
}

// ItemState is the loading state of an item on a backend server. In each state the item
// takes its whole memory.
type ItemState string

// The states of items.
const (
	ItemLoading   ItemState = "loading"
	ItemReady     ItemState = "ready"
	ItemUnloading ItemState = "unloading"
)

// ResidentItem is an item that currently takes memory on a backend server.
type ResidentItem struct {
	Item
	State ItemState `json:"state"`
}

// Load is a backend server's report of its own load. The report lags behind the real load.
type Load struct {
	Running         int     `json:"running"`           // requests in the current batch
	Waiting         int     `json:"waiting"`           // requests queued at the server
	Slots           int     `json:"slots"`             // maximum number of requests in the batch
	TokensPerSecond float64 `json:"tokens_per_second"` // recent total rate of generated tokens
	UnreadTokens    int     `json:"unread_tokens"`     // prompt tokens of requests without a first output token
	// Contending is the server's equal share of the requests that wait at all instances for
	// what the server serves.
	Contending int `json:"contending"`
}

// ServerStatus is an engine's report of its own state.
type ServerStatus struct {
	ID        string         `json:"id"`
	Boot      string         `json:"boot"` // boot id; changes at every restart
	Leaving   bool           `json:"leaving"`
	MemoryMiB int64          `json:"memory_mib"`
	Fence     uint64         `json:"fence"` // highest fencing token seen; 0 if the engine does not support fencing
	Items     []ResidentItem `json:"items"`
	Load      Load           `json:"load"`
}

// GenerateRequest asks an engine to generate tokens for a prompt.
type GenerateRequest struct {
	Attempt   string `json:"attempt"` // id, unique to this dispatch; each event of the stream must carry it
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Version   string `json:"version"` // version of the adapter if one is set, else of the model
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"` // maximum length of the answer, including Prefix
	Priority  int    `json:"priority"`   // a higher priority is served first
	// Prefix holds the tokens already delivered to the caller: the engine continues
	// after them and does not send them again. Seed makes generation deterministic across
	// replicas, so that a stream can be resumed on another one.
	Prefix []string `json:"prefix,omitempty"`
	Seed   uint64   `json:"seed"`
}

// Finish is the reason why a stream ended.
type Finish string

// The finish reasons. A stream that ends without one was interrupted.
const (
	FinishStop   Finish = "stop"
	FinishLength Finish = "length"
)

// Event is one event of a stream.
type Event struct {
	Attempt string `json:"attempt"` // id of the attempt that the event belongs to
	// Index is the position of the token in the answer, including the prefix. On the last
	// event it is the number of the answer's tokens.
	Index  int    `json:"index"`
	Token  string `json:"token,omitempty"`
	Finish Finish `json:"finish,omitempty"` // set on the last event only, which has no token
	Load   *Load  `json:"load,omitempty"`   // the server's load report, piggybacked on the stream
}

// Stream yields the events of an answer. Recv returns io.EOF after the event with a Finish,
// and an *Error if the stream ends in any other way. Close releases the stream and, if it
// has not ended, cancels the work at the server.
type Stream interface {
	Recv() (Event, error)
	Close() error
}

// CacheEvent reports that an engine cached or evicted a prompt prefix. Events arrive late
// and with gaps, so they are only hints.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	Prefix   uint64 `json:"prefix"` // the prompt's PrefixHash
	Dropped  bool   `json:"dropped"`
}

// Engine sends requests to model engines. Each call names the engine by its address
// (IP:port).
type Engine interface {
	// Generate starts a stream. An error with EffectNone means that the server did not
	// start the request.
	Generate(ctx context.Context, addr string, req GenerateRequest) (Stream, error)
	// Cancel cancels an attempt. Canceling an unknown attempt succeeds.
	Cancel(ctx context.Context, addr, attempt string) error
	// Order starts the operation that the order asks for; Status shows when it is done.
	Order(ctx context.Context, addr string, order Order) error
	// Status returns the server's state.
	Status(ctx context.Context, addr string) (ServerStatus, error)
	// CacheEvents returns the retained events with a sequence number above after.
	CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error)
}
