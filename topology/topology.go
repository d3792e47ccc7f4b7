// Package topology models the deployment that an instance serves. A Config holds the
// operators' routes and services, a Fleet follows the entries of backend servers, and a
// Node holds the instance's own settings. A View combines what an instance knows at a
// moment, and BuildTable derives the routing table from it. The package does no I/O and
// reads no clock.
package topology

import (
	"slices"
	"time"
)

// RetrySafety says whether a route's requests may be retried after an attempt that may
// have run.
type RetrySafety int

// The retry safeties, strictest first.
const (
	AtMostOnce RetrySafety = iota // never retried: the request may run at most once
	Idempotent                    // may be retried after any failure
	Resumable                     // a stream that another server can resume after its last event
)

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts *Accounts // nil: requests need no API key
	Limits   Limits
	Record   []byte // as read from the store, with digests in place of API keys; instances pass it on to each other
}

// LongestResumable returns the longest timeout of a route whose streams may be resumed, 0 if
// there is none.
func (c *Config) LongestResumable() time.Duration {
	longest := time.Duration(0)
	for i := range c.Routes {
		if c.Routes[i].Retry == Resumable {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	return longest
}

// hasContendingRanks reports whether routes of several ranks lead to one service that runs models.
func (c *Config) hasContendingRanks() bool {
	if c == nil {
		return false
	}
	ranks := map[string]int{} // by service
	for i := range c.Routes {
		for _, choice := range c.Routes[i].Choices {
			rank, found := ranks[choice.Service]
			if found && rank != c.Routes[i].Rank && c.Services[choice.Service].Engine != nil {
				return true
			}
			ranks[choice.Service] = c.Routes[i].Rank
		}
	}
	return false
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Retry    RetrySafety
	Stream   bool          // responses are event streams
	Timeout  time.Duration // 0: the relay's default
	Goal     time.Duration // latency goal: responses within it are worth most
	MaxGap   time.Duration // the longest pause between events that counts as on time; 0: none declared
	Attempts int           // maximum number of attempts of one request
	Rank     int           // priority; 0 is the most urgent
	Public   bool          // requests need no API key
	Choices  []Choice      // at least one
}

// Choice is one of the services that a route's requests are divided among.
type Choice struct {
	Service string
	Weight  float64 // the service's share is its weight divided by the sum of weights
}

// Service is a pool of backend servers.
type Service struct {
	Name   string
	Engine *Engine // nil: a plain service, whose servers run no models
}

// Engine describes the servers of a service that runs models.
type Engine struct {
	Slots          int     // requests in one batch of a server
	TokensPerEvent int     // tokens that one event of a stream holds
	MemoryMB       float64 // accelerator memory of a server
	KVTokens       int     // tokens of prompts and answers that a server's KV cache holds; 0: unknown
	AdapterSlots   int     // adapters that a server holds at most
	LoadsPerSecond float64 // rate limit of the weight store, for all servers together
	Models         []Model
}

// Model is a model that an engine may load, with its adapters.
type Model struct {
	Name      string
	MemoryMB  float64
	LoadTime  time.Duration // time to load it from the weight store
	Adapters  int           // number of adapters; AdapterName returns their names
	AdapterMB float64
}

// Limits bounds the size of callers' requests and the time to receive them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is a backend server, as described by its newest entry in the store.
type Server struct {
	ID      string
	Service string
	Addr    string // IP:port
	Domain  string // its failure domain
	Slots   int
	Leaving bool
	Born    time.Time // time of its start, which differs between restarts under one id
	// SoftwareVersion is the version of the software of this start, not of any model's
	// weights; empty: not known, which is never the same as another unknown one.
	SoftwareVersion string
	Sequence        int64 // number of orders accepted since its start
	Models          []HeldModel
	OnDisk          []string // models that it can load without the weight store
	// NoEntry says that the server's entry was removed just after a store outage, in which
	// it may only have expired. See Fleet.
	NoEntry bool
}

// HeldModel is a model that a server has loaded, with the loaded ones of its adapters.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// Holds reports whether the server has loaded the model and, if adapter is not empty,
// the adapter.
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

// Equal reports whether two descriptions are the same in all that decisions depend on.
// It ignores Sequence.
func (s *Server) Equal(o *Server) bool {
	if s.ID != o.ID || s.Service != o.Service || s.Addr != o.Addr || s.Domain != o.Domain || s.Slots != o.Slots ||
		s.Leaving != o.Leaving || !s.Born.Equal(o.Born) || s.NoEntry != o.NoEntry || s.SoftwareVersion != o.SoftwareVersion {
		return false
	}
	return slices.EqualFunc(s.Models, o.Models, HeldModel.equal) && slices.Equal(s.OnDisk, o.OnDisk)
}

func (m HeldModel) equal(o HeldModel) bool {
	return m.Name == o.Name && m.Version == o.Version && slices.Equal(m.Adapters, o.Adapters)
}

// Node holds an instance's own settings, which the platform provides.
type Node struct {
	Name        string
	Domain      string // its failure domain
	IP          string
	CallersAddr string // IP:port that callers connect to
	HealthAddr  string // IP:port of the readiness check
	PeerAddr    string // IP:port for other instances
	MetricsAddr string // IP:port of the metrics; empty: only beside the readiness check
	StoreAddr   string // IP:port of the platform's store
	MemoryMB    int
	Descriptors int      // file descriptors that the process may use; 0: not set
	Cores       float64  // CPU cores that it may use; 0: not set
	Domains     []string // all failure domains

	Grace        time.Duration // time from SIGTERM to SIGKILL
	LeaseTTL     time.Duration // the minimum time between orders of two successive lease holders
	RetryRatio   float64       // retries allowed per request, over all instances
	RetryWindow  time.Duration // period that the retry limits are counted in
	RetryReserve float64       // retries allowed beyond the ratio in each window, over all instances

	ConfigBound time.Duration // time within which a configuration must be in force; 0: not set
	// RevocationBound is how long API keys may be accepted without the store's confirmation
	// that the configuration is the newest; 0: without a bound.
	RevocationBound time.Duration
	Allowances      AllowanceBounds
	// QuarantineLifts ends quarantines: a server's crash until that time no longer counts
	// against the request with that fingerprint, in hexadecimal.
	QuarantineLifts map[string]time.Time
}

// AllowanceBounds is how exactly the allowances of client accounts have to be kept: in no
// Window may an account use more than (PerSecond x Window + Burst) x (1 + Overage) + Slack.
type AllowanceBounds struct {
	Window  time.Duration // 0: not set
	Overage float64       // fraction
	Slack   float64       // units
}
