package infra

import "context"

// Item is something that takes accelerator memory on a backend server: a
// version of a model, or a version of an adapter beside its model.
type Item struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"` // empty for the model itself
	Version string `json:"version"`
	MiB     int64  `json:"mib"` // accelerator memory that it takes, in MiB
}

// Key identifies an item apart from its size.
type Key struct {
	Model, Adapter, Version string
}

// Key returns the item's identity.
func (i Item) Key() Key { return Key{Model: i.Model, Adapter: i.Adapter, Version: i.Version} }

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"   // make the item resident; done if it already is
	OrderUnload OrderKind = "unload" // drop the item; done if it isn't there
	OrderFence  OrderKind = "fence"  // change nothing but the highest fencing number seen
)

// Order asks an engine to move toward its assignment. Repeating one is harmless.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Item  Item      `json:"item"`
	Fence uint64    `json:"fence"` // the assignment's offset in its control stream
}

// ItemState is how far an item is on a backend server. Each state takes the
// item's whole memory.
type ItemState string

// The states of items.
const (
	ItemLoading   ItemState = "loading"
	ItemReady     ItemState = "ready"
	ItemUnloading ItemState = "unloading"
)

// ResidentItem is an item that takes memory on a backend server now.
type ResidentItem struct {
	Item
	State ItemState `json:"state"`
}

// Load is a backend server's own report. It lags.
type Load struct {
	Running         int     `json:"running"`           // requests in the batch
	Waiting         int     `json:"waiting"`           // requests queued at the server
	Slots           int     `json:"slots"`             // requests that it batches at most
	TokensPerSecond float64 `json:"tokens_per_second"` // generated lately, all requests together
	UnreadTokens    int     `json:"unread_tokens"`     // of prompts whose first token hasn't come yet
	Contending      int     `json:"contending"`        // requests that wait at all instances for what the server serves, in equal parts at all that serve it
}

// ServerStatus is what an engine says of itself.
type ServerStatus struct {
	ID        string         `json:"id"`
	Boot      string         `json:"boot"` // another one after every restart
	Leaving   bool           `json:"leaving"`
	MemoryMiB int64          `json:"memory_mib"`
	Fence     uint64         `json:"fence"` // highest fencing number seen; 0 where the engine ignores it
	Items     []ResidentItem `json:"items"`
	Load      Load           `json:"load"`
}

// GenerateRequest asks an engine for tokens.
type GenerateRequest struct {
	Attempt   string `json:"attempt"` // unique to this dispatch; the answer must bear it
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Version   string `json:"version"` // of the adapter where one is named, else of the model
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"` // of the whole answer, Prefix included
	Priority  int    `json:"priority"`   // higher goes first
	// Prefix holds the tokens already delivered to the caller: the engine goes
	// on after them and does not send them again. Seed makes a stream the same
	// on every replica, so that it can be resumed elsewhere.
	Prefix []string `json:"prefix,omitempty"`
	Seed   uint64   `json:"seed"`
}

// Finish says why a stream ended.
type Finish string

// The ends of a stream. A stream without one was cut.
const (
	FinishStop   Finish = "stop"
	FinishLength Finish = "length"
)

// Event is one piece of a stream.
type Event struct {
	Attempt string `json:"attempt"` // the attempt that this piece answers
	Index   int    `json:"index"`   // the token's place in the whole answer, prefix included; on the last event, the number of its tokens
	Token   string `json:"token,omitempty"`
	Finish  Finish `json:"finish,omitempty"` // set on the last event, which bears no token
	Load    *Load  `json:"load,omitempty"`   // the server's report, riding on the answer
}

// Stream yields an answer's events. Recv returns io.EOF after the event that
// bears a Finish; any other end is an *Error. Close frees the stream and, where
// it has not ended, cancels the work at the server.
type Stream interface {
	Recv() (Event, error)
	Close() error
}

// CacheEvent says that an engine took in or dropped a prompt prefix. Events
// arrive late and with gaps: they are hints.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	Prefix   uint64 `json:"prefix"` // PrefixHash of the prompt's first PrefixBytes bytes
	Dropped  bool   `json:"dropped"`
}

// Engine talks to model engines, each named by its address (IP:port).
type Engine interface {
	// Generate starts a stream. An error with EffectNone means that the server
	// did not start the request.
	Generate(ctx context.Context, addr string, req GenerateRequest) (Stream, error)
	// Cancel ends an attempt. Canceling one that is not there succeeds.
	Cancel(ctx context.Context, addr, attempt string) error
	// Order has the server begin what the order asks; Status shows when it is done.
	Order(ctx context.Context, addr string, order Order) error
	// Status returns what the server holds.
	Status(ctx context.Context, addr string) (ServerStatus, error)
	// CacheEvents returns the events after the given sequence number that are
	// still kept.
	CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error)
}
