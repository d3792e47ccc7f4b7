// Package residency decides which models and adapters the backend servers hold,
// and orders the servers toward it. One instance at a time does so: the one that
// holds the lease.
package residency

import (
	"context"
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
}
