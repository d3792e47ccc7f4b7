package config

import (
	"encoding/hex"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Maximum values of settings.
const (
	// maxWeight is also the default: a partner may reduce its own share of
	// contended capacity, but not raise it above the other partners'.
	maxWeight = 1
	// maxObjectiveWeight keeps the terms of the placement objective within a
	// range that a float64 sums without losing the smaller ones.
	maxObjectiveWeight = 100
	maxServers         = 100_000
	maxSlots           = 100_000
	maxMiB             = 1 << 30
	maxMilliseconds    = 24 * 60 * 60 * 1000
	maxTokens          = 1 << 20
)

// check validates the merged configuration and returns the first error, or nil.
// The rules run in a fixed order, and each visits its tables by name, so that
// the same files always give the same error.
func (g *merger) check(c *Config) *ValidationError {
	steps := []func(*Config) *ValidationError{
		g.checkPartners, g.checkPools, g.checkModels, g.checkAdapters,
		g.checkServices, g.checkCallers, g.checkLifts, g.checkNames, g.checkCapacity,
	}
	for _, step := range steps {
		if r := step(c); r != nil {
			return r
		}
	}
	return nil
}

func (g *merger) checkPartners(c *Config) *ValidationError {
	for name, p := range sorted(c.Partners) {
		if !(p.Weight > 0 && p.Weight <= maxWeight) {
			return g.errorAt("must be above 0 and at most 1", Key{kindPartners, name, "weight"})
		}
		if !(p.AttainmentWeight > 0 && p.AttainmentWeight <= maxObjectiveWeight) {
			return g.errorAt("must be above 0 and at most 100", Key{kindPartners, name, "attainment_weight"})
		}
		if !(p.MovesWeight >= 0 && p.MovesWeight <= maxObjectiveWeight) {
			return g.errorAt("must be 0 to 100", Key{kindPartners, name, "moves_weight"})
		}
	}
	return nil
}

func (g *merger) checkPools(c *Config) *ValidationError {
	for name, p := range sorted(c.Pools) {
		key := func(setting string) Key { return Key{kindPools, name, setting} }
		if r := g.checkList(key("failure_domains"), p.FailureDomains); r != nil {
			return r
		}
		if r := g.checkRange(key("servers"), int64(p.Servers), maxServers); r != nil {
			return r
		}
		if p.Servers < len(p.FailureDomains) {
			return g.errorAt("must be at least one for each failure domain", key("servers"), key("failure_domains"))
		}
		if r := g.checkRange(key("memory_mib"), p.MemoryMiB, maxMiB); r != nil {
			return r
		}
		if r := g.checkRange(key("slots"), int64(p.Slots), maxSlots); r != nil {
			return r
		}
		if math.IsNaN(p.Lent) || p.Lent < 0 || p.Lent > 1 {
			return g.errorAt("must be 0 to 1", key("lent"))
		}
	}
	return nil
}

func (g *merger) checkModels(c *Config) *ValidationError {
	for name, m := range sorted(c.Models) {
		key := func(setting string) Key { return Key{kindModels, name, setting} }
		if m.Version == "" {
			return g.errorAt("must be set", key("version"))
		}
		limits := []struct {
			setting    string
			value, max int64
		}{
			{"mib", m.MiB, maxMiB},
			{"first_token_ms", int64(m.FirstTokenMS), maxMilliseconds},
			{"per_token_ms", int64(m.PerTokenMS), maxMilliseconds},
			{"max_tokens", int64(m.MaxTokens), maxTokens},
			{"timeout_ms", int64(m.TimeoutMS), maxMilliseconds},
		}
		for _, l := range limits {
			if r := g.checkRange(key(l.setting), l.value, l.max); r != nil {
				return r
			}
		}
		if r := g.checkModelPools(c, key("pools"), m); r != nil {
			return r
		}
	}
	return nil
}

func (g *merger) checkModelPools(c *Config, key Key, m Model) *ValidationError {
	if r := g.checkList(key, m.Pools); r != nil {
		return r
	}
	fits := false
	for _, name := range m.Pools {
		pool, known := c.Pools[name]
		if !known {
			return g.errorAt("no pool "+name+" is declared", key)
		}
		if pool.Owner != m.Owner && pool.Lent == 0 {
			return g.errorAt("pool "+name+" belongs to partner "+pool.Owner+" and lends nothing", key, Key{kindPools, name, "lent"})
		}
		fits = fits || m.MiB <= pool.MemoryMiB
	}
	if !fits {
		return g.errorAt("fits in no server of its pools", Key{kindModels, key.Name, "mib"}, key, Key{kindPools, m.Pools[0], "memory_mib"})
	}
	return nil
}

func (g *merger) checkAdapters(c *Config) *ValidationError {
	for name, a := range sorted(c.Adapters) {
		key := func(setting string) Key { return Key{kindAdapters, name, setting} }
		m, known := c.Models[a.Model]
		if !known {
			return g.errorAt("no model "+strconv.Quote(a.Model)+" is declared", key("model"))
		}
		if m.Owner != a.Owner {
			return g.errorAt("model "+a.Model+" belongs to partner "+m.Owner, key("model"))
		}
		if a.Version == "" {
			return g.errorAt("must be set", key("version"))
		}
		if r := g.checkRange(key("mib"), a.MiB, maxMiB); r != nil {
			return r
		}
	}
	return nil
}

func (g *merger) checkServices(c *Config) *ValidationError {
	for name, s := range sorted(c.Services) {
		for _, call := range s.NonIdempotent {
			method, path, found := strings.Cut(call, " ")
			if !found || method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
				return g.errorAt(strconv.Quote(call)+` isn't of the form "METHOD /path"`, Key{kindServices, name, "non_idempotent"})
			}
		}
		if r := g.checkRange(Key{kindServices, name, "timeout_ms"}, int64(s.TimeoutMS), maxMilliseconds); r != nil {
			return r
		}
	}
	return nil
}

// checkCallers rejects two client accounts with the same key, because a request
// is attributed to an account by its key alone.
func (g *merger) checkCallers(c *Config) *ValidationError {
	holders := map[string]string{}
	for name, caller := range sorted(c.Callers) {
		key := Key{kindCallers, name, "key_sha256"}
		digest, err := hex.DecodeString(caller.KeySHA256)
		if err != nil || len(digest) != 32 {
			return g.errorAt("must be a SHA-256 in 64 hexadecimal digits", key)
		}
		if other, taken := holders[string(digest)]; taken {
			return g.errorAt("is another caller's key too", key, Key{kindCallers, other, "key_sha256"})
		}
		holders[string(digest)] = name
	}
	return nil
}

// checkLifts rejects lifts whose name is no fingerprint, and lifts without an end.
func (g *merger) checkLifts(c *Config) *ValidationError {
	for name, lift := range sorted(c.Lifts) {
		digest, err := hex.DecodeString(name)
		if err != nil || len(digest) != 32 {
			return g.errorAt("a lift's name must be a fingerprint of 64 hexadecimal digits", Key{kindLifts, name, ""})
		}
		if lift.Before.IsZero() {
			return g.errorAt("must be set", Key{kindLifts, name, "before"}, Key{kindLifts, name, ""})
		}
	}
	return nil
}

// checkNames rejects ambiguous names: requests identify models, adapters and
// services by name alone, and the platform lists backend servers under the name
// of their service or pool.
func (g *merger) checkNames(c *Config) *ValidationError {
	for name := range sorted(c.Adapters) {
		if _, taken := c.Models[name]; taken {
			return g.errorAt("is a model's name too", Key{kindAdapters, name, ""}, Key{kindModels, name, ""})
		}
	}
	for name := range sorted(c.Services) {
		for _, kind := range []string{kindModels, kindAdapters, kindPools} {
			if _, taken := g.tables[Key{kind, name, ""}]; taken {
				return g.errorAt("is a name under "+kind+" too", Key{kindServices, name, ""}, Key{kind, name, ""})
			}
		}
	}
	return nil
}

// checkRange rejects values outside of 1 to limit.
func (g *merger) checkRange(key Key, value, limit int64) *ValidationError {
	if value < 1 || value > limit {
		return g.errorAt("must be 1 to "+strconv.FormatInt(limit, 10), key)
	}
	return nil
}

// checkList rejects lists that are empty or have invalid or duplicate names.
func (g *merger) checkList(key Key, names []string) *ValidationError {
	if len(names) == 0 {
		return g.errorAt("must name at least one", key)
	}
	for i, name := range names {
		if reason := nameProblem(Key{Kind: key.Kind, Name: name}); reason != "" {
			return g.errorAt(strconv.Quote(name)+": "+reason, key)
		}
		if slices.Contains(names[:i], name) {
			return g.errorAt("names "+name+" twice", key)
		}
	}
	return nil
}

// sorted iterates over a map in the order of its keys.
func sorted[V any](m map[string]V) func(yield func(string, V) bool) {
	return func(yield func(string, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}
