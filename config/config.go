// Package config implements the partners' configuration: TOML files that
// declare pools, models, adapters, services, client accounts ("callers") and
// the end of quarantines ("lifts").
//
// A Builder parses the files and merges them in the order of their names into a
// Config. Judge decides whether a change to one file may be accepted,
// and Explain lists each setting with the file that sets it. The package's only
// I/O is reading folders for the command line.
//
// A value set by a later file overrides one set by an earlier file. A table
// belongs to the partner whose file declares it first; files of other partners
// can't change it.
package config

import "time"

// Config is the merged configuration. It is immutable once built. The toml tags
// are the names of the settings in the partners' files. A table's header has
// the kind and the name of what it declares, as in [models.tray-planner].
type Config struct {
	Partners map[string]Partner        `toml:"partners"`
	Pools    map[string]Pool           `toml:"pools"`
	Models   map[string]Model          `toml:"models"`
	Adapters map[string]Adapter        `toml:"adapters"`
	Services map[string]Service        `toml:"services"`
	Callers  map[string]Caller         `toml:"callers"`
	Lifts    map[string]QuarantineLift `toml:"lifts"`
}

// Partner is one of the organizations that share the accelerators.
type Partner struct {
	Weight           float64 `toml:"weight"`            // share of contended capacity relative to the other partners' weights: above 0 and at most 1, so that no partner can raise its own share; default 1
	AttainmentWeight float64 `toml:"attainment_weight"` // placement objective: value of one more request per second that meets its deadline; above 0, at most 100; default 1
	MovesWeight      float64 `toml:"moves_weight"`      // placement objective: cost of loading one model or adapter, in the same unit; 0 to 100; default 1
}

// Pool is a set of identical backend servers that run model engines.
type Pool struct {
	Owner          string   `toml:"-"`               // partner that declared the pool
	FailureDomains []string `toml:"failure_domains"` // failure domains of its servers
	Servers        int      `toml:"servers"`         // number of servers in all failure domains together
	MemoryMiB      int64    `toml:"memory_mib"`      // accelerator memory of one server, in MiB
	Slots          int      `toml:"slots"`           // maximum number of requests that one server batches
	IgnoresFence   bool     `toml:"ignores_fence"`   // whether its engines accept orders with stale fencing tokens
	Lent           float64  `toml:"lent"`            // fraction of the servers, 0 to 1, that other partners may use; default 0
}

// Model is a model that requests name in their model field.
type Model struct {
	Owner        string   `toml:"-"`
	Version      string   `toml:"version"`
	Pools        []string `toml:"pools"`          // pools that may hold replicas: the owner's, or lent parts of other partners' pools
	MiB          int64    `toml:"mib"`            // accelerator memory of one replica, in MiB
	FirstTokenMS int      `toml:"first_token_ms"` // target time to the first token; default 700
	PerTokenMS   int      `toml:"per_token_ms"`   // target time between tokens; default 37
	MaxTokens    int      `toml:"max_tokens"`     // maximum number of tokens in one answer; default 1024
	TimeoutMS    int      `toml:"timeout_ms"`     // deadline of requests that set none; default 60000
}

// Adapter is a fine-tuned variant of a model. Servers load it in addition to the
// model. Requests name the adapter as their model, so its name must differ from
// every model's.
type Adapter struct {
	Owner   string `toml:"-"`
	Model   string `toml:"model"`
	Version string `toml:"version"`
	MiB     int64  `toml:"mib"`
}

// Service is an HTTP service without models. The platform's list names its
// backend servers with the service's name as their pool.
type Service struct {
	Owner         string   `toml:"-"`
	NonIdempotent []string `toml:"non_idempotent"` // calls that run at most once, each as "METHOD /path/prefix"
	TimeoutMS     int      `toml:"timeout_ms"`     // deadline of calls that set none; default 30000
}

// Caller is a client account that may send requests on behalf of a partner.
type Caller struct {
	Owner     string `toml:"-"`
	KeySHA256 string `toml:"key_sha256"` // hexadecimal SHA-256 of the account's API key; the key itself is not stored
}

// QuarantineLift ends the quarantine of one request. The table's name is the
// request's fingerprint: 64 hexadecimal digits, as shown in the log and in the
// instances' status.
type QuarantineLift struct {
	Owner  string    `toml:"-"`
	Before time.Time `toml:"before"` // server crashes before this time, as in 2026-12-02T10:00:00Z, no longer count against the request
}
