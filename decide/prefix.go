package decide

import (
	"time"

	"greengageferry/infra"
)

const (
	// maxPrefixHints bounds each of the two generations of hints: about the distinct
	// prompt prefixes of some minutes, at 100 bytes each.
	maxPrefixHints = 4096
	// prefixHintTTL is how long a hint is used. Engines evict prefixes from limited
	// memory, and the event that reports it may be lost.
	prefixHintTTL = 2 * time.Minute
)

// prefixKey identifies a prompt prefix for a model.
type prefixKey struct {
	model  string
	prefix uint64
}

type prefixHint struct {
	server  *serverState
	start   string // Server.Start of the process that has it cached
	version string // of the model on the server, which another one drops; empty: not known
	seenAt  time.Time
}

// prefixIndex maps a prompt prefix to the server that probably has it cached. It is
// updated from the engines' cache events, which are late and incomplete, and from this
// instance's own dispatches. It keeps two generations of hints, which bounds its size and
// evicts the oldest first.
type prefixIndex struct {
	young, old map[prefixKey]prefixHint
}

func newPrefixes() prefixIndex {
	return prefixIndex{young: map[prefixKey]prefixHint{}, old: map[prefixKey]prefixHint{}}
}

func (p *prefixIndex) put(now time.Time, k prefixKey, s *serverState, version string) {
	if len(p.young) >= maxPrefixHints {
		p.young, p.old = p.old, p.young
		clear(p.young)
	}
	p.young[k] = prefixHint{s, s.Start, version, now}
}

// get returns the server that probably has the prefix, or nil.
func (p *prefixIndex) get(now time.Time, k prefixKey) *serverState {
	return p.hint(now, k).server
}

// getFor returns the server that probably has the prefix for the version of the target's model that
// it now has, or nil.
func (p *prefixIndex) getFor(now time.Time, k prefixKey, t *targetState) *serverState {
	h := p.hint(now, k)
	if h.server == nil || h.version == "" {
		return h.server
	}
	if r := t.replica(h.server); r != nil && r.version != h.version {
		return nil
	}
	return h.server
}

// hint returns the newest usable hint, or the zero prefixHint.
func (p *prefixIndex) hint(now time.Time, k prefixKey) prefixHint {
	h, ok := p.young[k]
	if !ok {
		h, ok = p.old[k]
	}
	if !ok || h.start != h.server.Start || now.Sub(h.seenAt) > prefixHintTTL {
		return prefixHint{}
	}
	return h
}

func (p *prefixIndex) events(now time.Time, s *serverState, events []infra.CacheEvent) {
	for _, e := range events {
		k := prefixKey{e.Model, e.Prefix}
		switch {
		case !e.Dropped:
			p.put(now, k, s, "")
		case p.get(now, k) == s:
			delete(p.young, k)
			delete(p.old, k)
		}
	}
}
