package infra

import "context"

// Role says what an instance on the list does.
type Role string

// The roles of instances.
const (
	RoleEntry   Role = "entry"   // an entry instance of this system
	RoleEngine  Role = "engine"  // a backend server: a model engine
	RoleService Role = "service" // a backend server: a plain service
)

// InstanceState is what the list says of an instance.
type InstanceState string

// The states of instances. An instance that is gone is absent from the list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving" // gets no new work
)

// Instance is one line of the platform's list. The list lags: a line may be
// missing or out of date.
type Instance struct {
	ID            string        `json:"id"` // unique; a replaced instance has another one
	Role          Role          `json:"role"`
	State         InstanceState `json:"state"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failure_domain"`
	Pool          string        `json:"pool,omitempty"` // a backend server's pool or service name
	Addr          string        `json:"addr"`           // IP:port; for an entry instance the peers' listener
	MemoryMiB     int64         `json:"memory_mib,omitempty"`
}

// Instances is the platform's list of instances.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}
