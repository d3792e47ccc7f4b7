package infra

import "context"

// Role is the function of an instance on the list.
type Role string

// The roles of instances.
const (
	RoleEntry   Role = "entry"   // an entry instance of this system
	RoleEngine  Role = "engine"  // a backend server: a model engine
	RoleService Role = "service" // a backend server: a plain service
)

// InstanceState is the state of an instance on the list.
type InstanceState string

// The states of instances. An instance that has ended is not on the list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving" // is draining and must get no new work
)

// Instance is one entry of the platform's list. The list lags: entries may be missing or
// out of date.
type Instance struct {
	ID            string        `json:"id"` // unique; a replacement instance has a new id
	Role          Role          `json:"role"`
	State         InstanceState `json:"state"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failure_domain"`
	Pool          string        `json:"pool,omitempty"` // name of a backend server's pool or plain service
	Addr          string        `json:"addr"`           // IP:port; for an entry instance, the address for its peers
	MemoryMiB     int64         `json:"memory_mib,omitempty"`
}

// Instances is the platform's list of instances.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}
