package config

import (
	"encoding/hex"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Limits of settings.
const (
	// maxWeight is also the default: a partner may give up a part of its claim
	// on contended capacity, but never raise it over the other's.
	maxWeight = 1
	// maxObjectiveWeight keeps the objective's terms within what a float64
	// adds up without losing the smaller one.
	maxObjectiveWeight = 100
	maxServers         = 100_000
	maxSlots           = 100_000
	maxMiB             = 1 << 30
	maxMS              = 24 * 60 * 60 * 1000
	maxTokens          = 1 << 20
)

// check applies the rules that hold between settings, in a fixed order, and
// each kind by name, so that the same files give the same refusal.
func (g *merger) check(c *Config) *Refusal {
	steps := []func(*Config) *Refusal{
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

func (g *merger) checkPartners(c *Config) *Refusal {
	for name, p := range sorted(c.Partners) {
		if !(p.Weight > 0 && p.Weight <= maxWeight) {
			return g.refuse("must be above 0 and at most 1", Key{kindPartners, name, "weight"})
		}
		if !(p.AttainmentWeight > 0 && p.AttainmentWeight <= maxObjectiveWeight) {
			return g.refuse("must be above 0 and at most 100", Key{kindPartners, name, "attainment_weight"})
		}
		if !(p.MovesWeight >= 0 && p.MovesWeight <= maxObjectiveWeight) {
			return g.refuse("must be 0 to 100", Key{kindPartners, name, "moves_weight"})
		}
	}
	return nil
}

func (g *merger) checkPools(c *Config) *Refusal {
	for name, p := range sorted(c.Pools) {
		key := func(setting string) Key { return Key{kindPools, name, setting} }
		if r := g.checkList(key("failure_domains"), p.FailureDomains); r != nil {
			return r
		}
		if r := g.checkRange(key("servers"), int64(p.Servers), maxServers); r != nil {
			return r
		}
		if p.Servers < len(p.FailureDomains) {
			return g.refuse("must be at least one for each failure domain", key("servers"), key("failure_domains"))
		}
		if r := g.checkRange(key("memory_mib"), p.MemoryMiB, maxMiB); r != nil {
			return r
		}
		if r := g.checkRange(key("slots"), int64(p.Slots), maxSlots); r != nil {
			return r
		}
		if math.IsNaN(p.Lent) || p.Lent < 0 || p.Lent > 1 {
			return g.refuse("must be 0 to 1", key("lent"))
		}
	}
	return nil
}

func (g *merger) checkModels(c *Config) *Refusal {
	for name, m := range sorted(c.Models) {
		key := func(setting string) Key { return Key{kindModels, name, setting} }
		if m.Version == "" {
			return g.refuse("must be set", key("version"))
		}
		limits := []struct {
			setting    string
			value, max int64
		}{
			{"mib", m.MiB, maxMiB},
			{"first_token_ms", int64(m.FirstTokenMS), maxMS},
			{"per_token_ms", int64(m.PerTokenMS), maxMS},
			{"max_tokens", int64(m.MaxTokens), maxTokens},
			{"timeout_ms", int64(m.TimeoutMS), maxMS},
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

func (g *merger) checkModelPools(c *Config, key Key, m Model) *Refusal {
	if r := g.checkList(key, m.Pools); r != nil {
		return r
	}
	fits := false
	for _, name := range m.Pools {
		pool, known := c.Pools[name]
		if !known {
			return g.refuse("no pool "+name+" is declared", key)
		}
		if pool.Owner != m.Owner && pool.Lent == 0 {
			return g.refuse("pool "+name+" belongs to partner "+pool.Owner+" and lends nothing", key, Key{kindPools, name, "lent"})
		}
		fits = fits || m.MiB <= pool.MemoryMiB
	}
	if !fits {
		return g.refuse("fits in no server of its pools", Key{kindModels, key.Name, "mib"}, key, Key{kindPools, m.Pools[0], "memory_mib"})
	}
	return nil
}

func (g *merger) checkAdapters(c *Config) *Refusal {
	for name, a := range sorted(c.Adapters) {
		key := func(setting string) Key { return Key{kindAdapters, name, setting} }
		m, known := c.Models[a.Model]
		if !known {
			return g.refuse("no model "+strconv.Quote(a.Model)+" is declared", key("model"))
		}
		if m.Owner != a.Owner {
			return g.refuse("model "+a.Model+" belongs to partner "+m.Owner, key("model"))
		}
		if a.Version == "" {
			return g.refuse("must be set", key("version"))
		}
		if r := g.checkRange(key("mib"), a.MiB, maxMiB); r != nil {
			return r
		}
	}
	return nil
}

func (g *merger) checkServices(c *Config) *Refusal {
	for name, s := range sorted(c.Services) {
		for _, call := range s.NonIdempotent {
			method, path, found := strings.Cut(call, " ")
			if !found || method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
				return g.refuse(strconv.Quote(call)+` isn't of the form "METHOD /path"`, Key{kindServices, name, "non_idempotent"})
			}
		}
		if r := g.checkRange(Key{kindServices, name, "timeout_ms"}, int64(s.TimeoutMS), maxMS); r != nil {
			return r
		}
	}
	return nil
}

// checkCallers refuses two callers with one key: a request couldn't be told
// whose it is.
func (g *merger) checkCallers(c *Config) *Refusal {
	holders := map[string]string{}
	for name, caller := range sorted(c.Callers) {
		key := Key{kindCallers, name, "key_sha256"}
		digest, err := hex.DecodeString(caller.KeySHA256)
		if err != nil || len(digest) != 32 {
			return g.refuse("must be a SHA-256 in 64 hexadecimal digits", key)
		}
		if other, taken := holders[string(digest)]; taken {
			return g.refuse("is another caller's key too", key, Key{kindCallers, other, "key_sha256"})
		}
		holders[string(digest)] = name
	}
	return nil
}

// checkLifts refuses a lift that would be for no request, or for ever.
func (g *merger) checkLifts(c *Config) *Refusal {
	for name, lift := range sorted(c.Lifts) {
		digest, err := hex.DecodeString(name)
		if err != nil || len(digest) != 32 {
			return g.refuse("a lift's name must be a fingerprint of 64 hexadecimal digits", Key{kindLifts, name, ""})
		}
		if lift.Before.IsZero() {
			return g.refuse("must be set", Key{kindLifts, name, "before"}, Key{kindLifts, name, ""})
		}
	}
	return nil
}

// checkNames refuses a name that stands for two things: callers ask for
// models, adapters and services by name alone, and a service's or a pool's
// name is where its backend servers are listed.
func (g *merger) checkNames(c *Config) *Refusal {
	for name := range sorted(c.Adapters) {
		if _, taken := c.Models[name]; taken {
			return g.refuse("is a model's name too", Key{kindAdapters, name, ""}, Key{kindModels, name, ""})
		}
	}
	for name := range sorted(c.Services) {
		for _, kind := range []string{kindModels, kindAdapters, kindPools} {
			if _, taken := g.tables[Key{kind, name, ""}]; taken {
				return g.refuse("is a name under "+kind+" too", Key{kindServices, name, ""}, Key{kind, name, ""})
			}
		}
	}
	return nil
}

func (g *merger) checkRange(key Key, value, limit int64) *Refusal {
	if value < 1 || value > limit {
		return g.refuse("must be 1 to "+strconv.FormatInt(limit, 10), key)
	}
	return nil
}

// checkList wants names, at least one and each once.
func (g *merger) checkList(key Key, names []string) *Refusal {
	if len(names) == 0 {
		return g.refuse("must name at least one", key)
	}
	for i, name := range names {
		if reason := badName(Key{Kind: key.Kind, Name: name}); reason != "" {
			return g.refuse(strconv.Quote(name)+": "+reason, key)
		}
		if slices.Contains(names[:i], name) {
			return g.refuse("names "+name+" twice", key)
		}
	}
	return nil
}

// sorted yields a map's entries by key.
func sorted[V any](m map[string]V) func(yield func(string, V) bool) {
	return func(yield func(string, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}
