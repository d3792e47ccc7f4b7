// Package topology holds what an instance knows of the deployment that it
// serves: the operators' routes and services, the backend servers, and its own
// settings. It does no I/O and reads no clock.
package topology

import (
	"slices"
	"time"
)

// RepeatPolicy says what may be repeated of a route's requests.
type RetrySafety int

// The policies, strictest first.
const (
	AtMostOnce RetrySafety = iota // may run once at most
	Idempotent                    // may run again after any failure
	Resumable                     // a stream that may go on elsewhere after its last event
)

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Retry    RetrySafety
	Stream   bool // answers are event streams
	Timeout  time.Duration
	Goal     time.Duration // answers within it are worth most
	MaxGap   time.Duration // the longest pause between events that isn't late; 0: none declared
	Attempts int           // servers that one request may be sent to
	Rank     int           // 0 is the most urgent
	Choices  []Choice      // at least one
}

// Choice is one of the services that a route's requests may go to.
type Choice struct {
	Service string
	Weight  float64
}

// Service is a pool of backend servers.
type Service struct {
	Name   string
	Engine *Engine // nil: a plain service
}

// Engine describes the servers of a service that run models.
type Engine struct {
	Slots          int // requests in one batch
	TokensPerEvent int // tokens that one event of a stream holds
	MemoryMB       float64
	AdapterSlots   int
	LoadsPerSecond float64 // that the weight store allows, over all servers
	Models         []Model
}

// Model is a model that an engine may hold, with its adapters.
type Model struct {
	Name      string
	MemoryMB  float64
	LoadTime  time.Duration // from the weight store
	Adapters  int           // named a1, a2 and so on
	AdapterMB float64
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is a backend server as it last described itself.
type Server struct {
	ID       string
	Service  string
	Addr     string // IP:port
	Domain   string // its failure domain
	Slots    int
	Leaving  bool
	Born     time.Time // its start; tells a restarted server from the one before under the same id
	Sequence int64     // orders that it accepted since its start
	Models   []HeldModel
	OnDisk   []string // models that it can load without the weight store
}

// HeldModel is a model that a server holds, with those of its adapters that it holds.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// Holds says whether the server holds the model and, if one is named, its adapter.
func (s *Server) Holds(model, adapter string) bool {
	for _, m := range s.Models {
		if m.Name != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range m.Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}

// Equal says whether two descriptions differ in nothing that a decision rests on.
func (s *Server) Equal(o *Server) bool {
	if s.ID != o.ID || s.Service != o.Service || s.Addr != o.Addr || s.Domain != o.Domain || s.Slots != o.Slots ||
		s.Leaving != o.Leaving || !s.Born.Equal(o.Born) {
		return false
	}
	return slices.EqualFunc(s.Models, o.Models, HeldModel.equal) && slices.Equal(s.OnDisk, o.OnDisk)
}

func (m HeldModel) equal(o HeldModel) bool {
	return m.Name == o.Name && m.Version == o.Version && slices.Equal(m.Adapters, o.Adapters)
}

// Node is an instance's own settings, from the platform.
type Node struct {
	Name        string
	Domain      string // its failure domain
	IP          string
	CallersAddr string // IP:port where callers connect
	HealthAddr  string // IP:port of the readiness check
	PeerAddr    string // IP:port for other instances
	MetricsAddr string // IP:port of the metrics; empty: only beside the readiness check
	StoreAddr   string // IP:port of the platform's store
	MemoryMB    int
	Cores       float64  // of processor that it may use; 0: not said
	Domains     []string // all failure domains

	Grace        time.Duration // from SIGTERM to SIGKILL
	LeaseTTL     time.Duration // orders of two holders are at least this far apart
	RetryRatio   float64       // repeats allowed for each request, over all instances
	RetryWindow  time.Duration
	RetryReserve float64 // repeats allowed beyond the ratio in each window, over all instances
}
