// Package decide holds the decisions under load: admit, queue, refuse, route,
// retry, place and shift. It does no I/O, starts no goroutine and reads no
// clock: time and the random source are arguments, so that each decision can
// be tested without sockets.
package decide

import (
	"time"

	"greengageferry/infra"
)

// Server is a backend server as the routing sees it.
type Server struct {
	ID            string
	Addr          string // IP:port
	Pool          string // a pool's or a plain service's name
	FailureDomain string
	Slots         int    // requests that it batches at most; for a plain service its concurrency
	Leaving       bool   // gets no new work
	Start         string // tells a server that started again from the one before; may be empty
}

// Replica is a place where a target can be served.
type Replica struct {
	Server  int // index into Table.Servers
	Version string
}

// Target is something that callers ask for by name: a model, an adapter or a
// plain service.
type Target struct {
	Name       string
	Partner    string // its owner
	Pool       string // of the servers that it can be served by
	Model      string // the model to name to the engine; empty for a plain service
	Adapter    string
	Service    bool
	MaxTokens  int           // the most that one answer may have
	FirstToken time.Duration // target for the first token
	PerToken   time.Duration // target between tokens
	Timeout    time.Duration // the deadline where the caller sets none
	Replicas   []Replica     // ready ones, newest version first
	// Expected says that a replica is being made where there is none, so that
	// requests wait for it until their deadline instead of being refused.
	Expected bool
}

// Table is what routing knows of the fleet. It is immutable; a new one takes
// its place when configuration, assignments or the instance list change.
type Table struct {
	OwnDomain string
	Servers   []Server
	Targets   map[string]*Target
	Weights   map[string]float64 // by partner: parts of contended capacity
	Entries   map[string]int     // by failure domain: entry instances there, from the platform's list
	Retry     RetryPolicy        // the zero value takes the defaults
	// NoServerQueue keeps requests from servers whose slots are all taken: for
	// servers that give a request its slot by an order of their own.
	NoServerQueue bool
	NearFill      float64 // the part of its slots up to which a server of the own domain goes before others; 0: roomyPart
}

// CountInstances returns how many instances there are in all failure domains.
func CountInstances(byDomain map[string]int) int {
	n := 0
	for _, count := range byDomain {
		n += count
	}
	return n
}

// Request is what the decisions need to know of a caller's request.
type Request struct {
	ID           string
	Partner      string
	Target       string
	Priority     int // 0 is ordinary; higher goes first
	Arrived      time.Time
	Deadline     time.Time
	PromptBytes  int
	PromptTokens int // 0: not said
	MaxTokens    int
	LengthHint   int    // the tokens that the caller expects of the answer; 0: not said
	Prefix       uint64 // infra.PrefixHash of the prompt; 0: none
	Idempotent   bool   // may be dispatched again after an unknown outcome
	Suspect      bool   // a backend server died while it ran it: kept apart from other suspects
	MaxAttempts  int    // servers that it may be sent to; 0: maxAttempts
	// Goal is the time from Arrived within which the first token is worth most,
	// and StartBy when its caller leaves if none has come; zero: not known.
	Goal    time.Duration
	StartBy time.Time
}

// Action is what a decision asks for.
type Action int

// The actions.
const (
	ActionDispatch Action = iota + 1 // send it to Decision.Server
	ActionQueue                      // wait: a later decision follows
	ActionRefuse                     // answer now: not run, or unknown if an attempt may have run
)

// Decision is the verdict on one request.
type Decision struct {
	Request    string
	Action     Action
	Server     Server        // with ActionDispatch
	Version    string        // the model's version there
	Reason     Reason        // why, for the log and for the caller
	RetryAfter time.Duration // with ActionRefuse: when to come back
	Inputs     Inputs        // what it rested on, for the log
}

// Reason names why a decision went as it did. It is part of the callers' and
// the operators' interface.
type Reason string

// The reasons of decisions.
const (
	ReasonBest          Reason = "best_score"     // dispatched to the best replica
	ReasonOnly          Reason = "only_replica"   // dispatched to the one that is left
	ReasonQueued        Reason = "no_free_slot"   // waits for a slot
	ReasonDeadline      Reason = "deadline"       // can't be done before its deadline
	ReasonQueueFull     Reason = "queue_full"     // the queue's memory bound
	ReasonShare         Reason = "partner_share"  // the partner is over its part while others wait
	ReasonNoReplica     Reason = "no_replica"     // no ready replica that can be reached now
	ReasonUnknownTarget Reason = "unknown_target" // nothing of that name is in force
	ReasonRetryBudget   Reason = "retry_budget"   // retries would make an overload worse
	ReasonMayHaveRun    Reason = "may_have_run"   // non-idempotent, and a byte may have left
	ReasonShuttingDown  Reason = "shutting_down"  // the instance is ending
	ReasonQuarantined   Reason = "quarantined"    // it crashes backend servers
	ReasonCanceled      Reason = "caller_left"    // its caller has gone
)

// Inputs are the figures behind a decision, for its log line.
type Inputs struct {
	Candidates int           // replicas considered
	InFlight   int           // this instance's requests at the chosen server
	Queued     int           // requests waiting here for the same target
	Wait       time.Duration // expected wait for a slot
	Service    time.Duration // expected time of service
	Score      float64
	Unread     int           // prompt tokens that the chosen server has yet to read, of all instances
	First      time.Duration // expected time to the first token from now; 0: too little is known
	LoadAge    time.Duration // of what was known of other instances' requests at the server; 0: nothing was
	Limit      RateLimit     // that the chosen server names
	Granted    bool          // under it, the lease holder granted this request; false: it was this instance's turn
	Contending int           // requests of all instances that want what the server serves, where this instance has a quota of its slots; 0: it has none
}

// RateLimit is how many requests a server takes, of all instances together, while
// it is in need.
type RateLimit struct {
	Named     bool    // false: the server takes what its slots hold
	PerSecond float64 // requests; 0: none
}

// Failure says how an attempt failed.
type Failure struct {
	Reason infra.Reason
	Effect infra.Effect
	Tokens int  // tokens that the caller already has
	Crash  bool // the server died while it ran the attempt
	// RetryAfter is how long the server asked this instance to send it no requests;
	// 0: not said.
	RetryAfter time.Duration
	// Unsent says that no connection was made: the attempt reached no server and
	// counts neither against the request's servers nor as a repeat.
	Unsent bool
}

// Outcome says how an attempt that was dispatched went.
type Outcome struct {
	Complete   bool
	FirstToken time.Duration // from dispatch; 0: none came
	Total      time.Duration // from dispatch
	Tokens     int
}
