// Package config holds the partners' configuration: TOML files, merged in the
// order of their names, that declare pools, models, adapters, services and
// callers. It parses, merges, judges a change and explains each value. It does
// no I/O but reading a folder for the check and publish commands.
//
// A value set by a later file goes before one set by an earlier file. What a
// partner's file was first to declare belongs to that partner: another
// partner's file can't change it.
package config

import "time"

// Config is the merged configuration. It is immutable once built. The toml
// tags name the settings in the partners' files; each table there is keyed by
// the name of what it declares, as in [models.tray-planner].
type Config struct {
	Partners map[string]Partner `toml:"partners"`
	Pools    map[string]Pool    `toml:"pools"`
	Models   map[string]Model   `toml:"models"`
	Adapters map[string]Adapter `toml:"adapters"`
	Services map[string]Service `toml:"services"`
	Callers  map[string]Caller  `toml:"callers"`
	Lifts    map[string]Lift    `toml:"lifts"`
}

// Partner is one of the organizations that share the accelerators.
type Partner struct {
	Weight           float64 `toml:"weight"`            // its part of contended capacity, against the others' weights: above 0 and at most 1, so that no partner raises itself; default 1
	AttainmentWeight float64 `toml:"attainment_weight"` // worth of one more request a second within its deadline: above 0, at most 100; default 1
	MovesWeight      float64 `toml:"moves_weight"`      // cost of one load, in the same unit: 0 to 100; default 1
}

// Pool is a set of like backend servers that run model engines.
type Pool struct {
	Owner          string   `toml:"-"`               // the partner that declared it
	FailureDomains []string `toml:"failure_domains"` // where its servers are
	Servers        int      `toml:"servers"`         // how many there are, all domains together
	MemoryMiB      int64    `toml:"memory_mib"`      // accelerator memory of one server
	Slots          int      `toml:"slots"`           // requests that one server batches at most
	IgnoresFence   bool     `toml:"ignores_fence"`   // its engines take orders with old fencing numbers
	Lent           float64  `toml:"lent"`            // the part of it, 0 to 1, that the other partners may fill; default 0
}

// Model is a model that callers can ask for by its name.
type Model struct {
	Owner        string   `toml:"-"`
	Version      string   `toml:"version"`
	Pools        []string `toml:"pools"`          // where it may be placed: own pools, or others' lent part
	MiB          int64    `toml:"mib"`            // accelerator memory of one replica
	FirstTokenMS int      `toml:"first_token_ms"` // target for the first token; default 700
	PerTokenMS   int      `toml:"per_token_ms"`   // target between tokens; default 37
	MaxTokens    int      `toml:"max_tokens"`     // the most that one answer may have; default 1024
	TimeoutMS    int      `toml:"timeout_ms"`     // a request's deadline where its caller sets none; default 60000
}

// Adapter is a fine-tuned variant that is loaded beside its model. Callers ask
// for it by its name, which no model bears.
type Adapter struct {
	Owner   string `toml:"-"`
	Model   string `toml:"model"`
	Version string `toml:"version"`
	MiB     int64  `toml:"mib"`
}

// Service is a plain service, whose backend servers are on the platform's list
// with the service's name as their pool.
type Service struct {
	Owner         string   `toml:"-"`
	NonIdempotent []string `toml:"non_idempotent"` // "METHOD /path/prefix": these calls run at most once
	TimeoutMS     int      `toml:"timeout_ms"`     // default 30000
}

// Caller is someone who may send requests for a partner.
type Caller struct {
	Owner     string `toml:"-"`
	KeySHA256 string `toml:"key_sha256"` // hex; the key itself is kept nowhere
}

// Lift ends the quarantine of one request, whose fingerprint is the table's
// name: 64 hexadecimal digits, as in the log and in the instances' status.
type Lift struct {
	Owner  string    `toml:"-"`
	Before time.Time `toml:"before"` // servers that died before it, as in 2026-12-02T10:00:00Z, no longer count against the request
}
