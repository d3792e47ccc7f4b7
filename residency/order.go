// Package residency decides which models and adapters the backend servers hold,
// and orders the servers toward it. One instance at a time does so: the one that
// holds the lease.
package residency

import (
	"context"

	"greengageferry/topology"
)

// Order asks a server for one change of what it holds.
type Order struct {
	Server   string // its id; another server at the address refuses
	Addr     string
	Unload   bool // else load
	Model    string
	Adapter  string // empty: the model itself
	Sequence int64  // the orders that the server has accepted so far; else it refuses
	Holder   string // the instance that orders
	Fence    int64  // the fencing token of its lease
}

// Result is a server's answer to an order.
type Result int

// The results.
const (
	Accepted  Result = iota + 1 // it is being carried out
	AlreadySo                   // the server already is so
)

// Orderer sends orders. Its errors are *infra.Error; the effect says whether the
// order may yet be carried out.
type Orderer interface {
	Order(ctx context.Context, o Order) (Result, error)
	// State asks a server what it holds. The answer is some hundred
	// milliseconds old.
	State(ctx context.Context, id, addr string) (State, error)
}

// State is what a server says of itself.
type State struct {
	Sequence int64                // orders that it accepted since its start
	Busy     bool                 // an order for a model is under way
	Models   []topology.HeldModel // with the adapters that are on their way to it
}
