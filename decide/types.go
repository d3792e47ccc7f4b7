// Package decide makes the request and placement decisions under load.
//
// A Scheduler runs in each instance and admits, queues, refuses, routes and retries
// requests by the routing Table that it was last given. A Planner decides which models and
// adapters are placed on which backend servers. The package does no I/O, starts no
// goroutines and reads no clock: time and the random source are arguments, so that
// decisions can be tested without sockets.
package decide

import (
	"time"

	"greengageferry/infra"
)

// Server is a backend server in the routing table.
type Server struct {
	ID            string
	Addr          string // IP:port
	Pool          string // name of its pool or plain service
	FailureDomain string
	Slots         int       // maximum batch size; for a plain service its maximum concurrency
	Leaving       bool      // it is draining and gets no new requests
	Start         string    // identifies this start of the server process; differs after a restart; may be empty
	Started       time.Time // when that was, by the server's clock; zero: not known

	SoftwareVersion string // of this start; empty: not known
}

// Replica is a server that is ready to serve a target.
type Replica struct {
	Server  int // index into Table.Servers
	Version string
}

// Target is what callers request by name: a model, an adapter or a plain service.
type Target struct {
	Name             string
	Partner          string // owner
	Pool             string // pool of the servers that can serve the target; empty: not known
	Model            string // model name in requests to the engine; empty for a plain service
	Adapter          string
	Service          bool
	MaxTokens        int           // limit for one answer
	ServerMemory     int           // tokens that a server holds of its requests' prompts and answers; 0: not known
	FirstTokenTarget time.Duration // latency objective from arrival to the first token
	PerTokenTarget   time.Duration // latency objective between tokens
	Timeout          time.Duration // deadline of requests whose caller sets none; 0: defaultTimeout
	Replicas         []Replica     // ready replicas, newest version first
	// ReplicaPending is set while the first replica is being loaded. Requests then wait
	// for it until their deadline instead of being refused.
	ReplicaPending bool
}

// Table is an immutable snapshot of the fleet for routing. A new one replaces it when the
// configuration, the assignments or the list of instances changes.
type Table struct {
	OwnDomain string
	Servers   []Server
	Targets   map[string]*Target
	Weights   map[string]float64 // by partner: relative share of contended capacity
	Entries   map[string]int     // by failure domain: number of instances, from the platform's list
	Retry     RetryPolicy        // zero value: defaults
	// NoServerQueue disables queueing at servers whose slots are all taken. It is for
	// servers that assign slots in an order of their own.
	NoServerQueue bool
	// RoomByRank is set if requests of several ranks compete for the servers of a pool.
	RoomByRank bool
	// AccountWeights holds the client accounts' relative shares of a full pool; nil: accounts
	// have no shares of their own.
	AccountWeights map[string]float64
	LocalFillLimit float64 // slot utilization, 0 to 1, up to which servers of the own domain are preferred; 0: lowFillFraction
}

// CountInstances returns the number of instances in all failure domains.
func CountInstances(byDomain map[string]int) int {
	n := 0
	for _, count := range byDomain {
		n += count
	}
	return n
}

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	ID           string
	Partner      string
	Target       string
	Priority     int    // 0 is normal; higher is served first
	Rank         int    // 0 is the most urgent; see RankIndex
	Account      string // client account; empty: none
	Arrived      time.Time
	Deadline     time.Time
	PromptBytes  int
	PromptTokens int // 0: not known
	MaxTokens    int
	LengthHint   int    // answer length in tokens that the caller expects; 0: not known
	Prefix       uint64 // infra.PrefixHash of the prompt; 0: none
	Idempotent   bool   // may be retried after an attempt with unknown outcome
	Suspect      bool   // servers crashed while running the request; it shares no server with other suspects
	Affinity     uint64 // not 0: see affinityFilter
	// CrashedServers are the ids of servers that crashed while running the request, as far as
	// all instances know. With an affinity key, others are preferred.
	CrashedServers []string
	MaxAttempts    int // limit of attempts that reach a server; 0: maxAttempts
	// Goal is the target time from Arrived to the first token. At FirstTokenDeadline the
	// caller gives up if no token has come. Zero: not known.
	Goal               time.Duration
	FirstTokenDeadline time.Time
}

// Action is what the owner of the scheduler has to do with a request.
type Action int

// The actions.
const (
	ActionDispatch Action = iota + 1 // send the request to Decision.Server
	ActionQueue                      // keep the request waiting; a later decision follows
	ActionRefuse                     // answer now: not run, or outcome unknown if an attempt may have run
)

// Decision is what the scheduler decided about one request.
type Decision struct {
	Request    string
	Action     Action
	Server     Server        // with ActionDispatch
	Version    string        // with ActionDispatch: model version on the server
	Reason     Reason        // for the log and the caller
	RetryAfter time.Duration // with ActionRefuse: delay until the caller should retry
	Inputs     Inputs        // for the log
}

// Reason is the cause of a decision. Its values are part of the interface to callers and
// operators.
type Reason string

// The reasons of decisions.
const (
	ReasonBestScore     Reason = "best_score"     // dispatched to the replica with the best score
	ReasonOnlyReplica   Reason = "only_replica"   // dispatched to the only eligible replica
	ReasonNoFreeSlot    Reason = "no_free_slot"   // queued until a slot is free
	ReasonDeadline      Reason = "deadline"       // can't complete before its deadline
	ReasonQueueFull     Reason = "queue_full"     // the queue is full
	ReasonPartnerShare  Reason = "partner_share"  // evicted from a full queue: its partner queues the most for its weight
	ReasonNoReplica     Reason = "no_replica"     // no replica is ready and reachable
	ReasonAccountShare  Reason = "account_share"  // its client account has more than its share of a full pool
	ReasonTooLarge      Reason = "too_large"      // larger than a whole server's memory
	ReasonUnknownTarget Reason = "unknown_target" // no target has that name
	ReasonRetryBudget   Reason = "retry_budget"   // retry budget or attempt limit exhausted
	ReasonMayHaveRun    Reason = "may_have_run"   // not idempotent, and an earlier attempt may have run
	ReasonShuttingDown  Reason = "shutting_down"  // the instance is shutting down
	ReasonQuarantined   Reason = "quarantined"    // the request crashes backend servers
	ReasonOtherVersion  Reason = "other_version"  // no server has the software version at which the stream began
	ReasonOtherWeights  Reason = "other_weights"  // no server holds a version of the model's weights at which the stream may go on
	ReasonCallerLeft    Reason = "caller_left"    // the caller disconnected
)

// Inputs are the values behind a decision, for its log line.
type Inputs struct {
	Candidates       int           // number of replicas considered
	InFlight         int           // requests of this instance at the chosen server
	Queued           int           // requests queued at this instance for the same target
	QueueWait        time.Duration // expected wait in this instance's queue
	ServiceTime      time.Duration // expected service time
	Score            float64
	Unread           int           // estimated prompt tokens of all instances not yet prefilled at the chosen server
	TimeToFirstToken time.Duration // expected from now; 0: not known
	LoadAge          time.Duration // age of the server's newest load report; 0: none
	ServerLimit      RateLimit     // of the chosen server
	Granted          bool          // the lease holder granted this request under ServerLimit; false: sent in this instance's own turn
	RoomByRank       bool          // the request gets room by its rank; see Table.RoomByRank
	Late             bool          // with RoomByRank: it can't meet its goal any more
	RankRoom         float64       // with RoomByRank: number of requests of its rank that the chosen server can take until its next load report
	Contending       int           // requests of all instances that compete for the server's slots; 0: this instance has no quota there
	Shared           SharedInputs  // with ActionRefuse
}

// SharedInputs are the inputs of a decision that come from the backlog of the target at all instances.
type SharedInputs struct {
	Known        bool          // false: the decision rests on this instance's own queue
	Waiting      float64       // requests queued
	Arrivals     float64       // requests per second
	Starts       float64       // requests per second sent to servers
	Age          time.Duration // of the counts above
	RoomOnReturn bool          // a slot is expected to be free at the time of the caller's retry
}

// RateLimit is the request rate, over all instances, that an overloaded server accepts.
type RateLimit struct {
	Named     bool    // the server announced a limit; false: only its slots limit it
	PerSecond float64 // requests per second; 0: the server accepts none
}

// Failure describes how an attempt failed.
type Failure struct {
	Reason infra.Reason
	Effect infra.Effect
	Tokens int  // tokens already delivered to the caller
	Crash  bool // the server crashed while running the attempt
	// Quarantined is set if the request must not run again. Suspect, Affinity and
	// CrashedServers are as in Request.
	Quarantined    bool
	Suspect        bool
	Affinity       uint64
	CrashedServers []string
	// RetryAfter is how long the server asked this instance to send it no requests; 0: not
	// given.
	RetryAfter time.Duration
	// Target replaces the request's target from now on; empty: it stays. A stream that goes on
	// is restricted to servers of the software version that began it and of the version of the
	// model's weights that wrote its newest event.
	Target string
	// TargetMissing is the reason of the refusal if no target has that name; empty:
	// ReasonOtherVersion.
	TargetMissing Reason
	// OtherVersion says that a server which reported the target missing may hold it at another
	// version than the attempt expected. Nothing follows for the server's other targets.
	OtherVersion bool
	// Unsent is set if no connection was made. The attempt reached no server and counts
	// neither against the attempt limit nor as a retry.
	Unsent bool
}

// Outcome describes how a dispatched attempt went.
type Outcome struct {
	Complete   bool
	FirstToken time.Duration // from dispatch to the first token; 0: there was none
	Total      time.Duration // from dispatch to the end
	Tokens     int
}
