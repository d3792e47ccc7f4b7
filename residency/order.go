// Package residency decides which models and adapters the backend servers hold, and
// sends them orders to load and unload. Only one instance at a time does so: the holder
// of the Lease. Its Controller receives the reports of all instances, tracks demand
// with a DemandTracker, lets a Planner compute orders, and sends these through an
// Orderer.
package residency

import (
	"context"
	"time"

	"greengageferry/topology"
)

// Order tells a server to load or unload one model or adapter.
type Order struct {
	Server   string // server ID; a different server at the address refuses the order
	Addr     string
	Unload   bool // otherwise load
	Model    string
	Adapter  string // empty: the model itself
	Sequence int64  // number of orders that the server has accepted so far; the server refuses any other value
	Holder   string // the instance that sends the order
	Fence    int64  // the fencing token of its lease
}

// Result is a server's answer to an order.
type Result int

// The results of an order.
const (
	Accepted       Result = iota + 1 // the server is executing the order
	AlreadyApplied                   // the server is already in the requested state
)

// Orderer sends orders to servers. Its errors are *infra.Error, whose effect says
// whether the server may still execute the order.
type Orderer interface {
	Order(ctx context.Context, o Order) (Result, error)
	// State returns what a server holds. The answer is some hundred milliseconds old.
	State(ctx context.Context, id, addr string) (State, error)
}

// State is the state that a server reports.
type State struct {
	Sequence int64                // orders accepted since the server's start
	Busy     bool                 // an order for a model is being executed
	Models   []topology.HeldModel // including adapters that are still being transferred to the server
	Born     time.Time            // when the server started; zero: it doesn't say
}
