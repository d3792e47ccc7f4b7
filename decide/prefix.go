package decide

import (
	"time"

	"greengageferry/infra"
)

const (
	// prefixHints bounds the hints that an instance keeps, twice over: about the
	// prompts' distinct beginnings of some minutes, at 100 bytes each.
	prefixHints = 4096
	// prefixKept is how long a hint is believed: engines keep prefixes in
	// limited memory, and an event that says so may be lost.
	prefixKept = 2 * time.Minute
)

// prefixKey names a prompt's beginning for a model.
type prefixKey struct {
	model  string
	prefix uint64
}

type prefixHint struct {
	server *serverState
	at     time.Time
}

// prefixes remembers which server probably has a prompt's beginning in its
// cache. It learns from the engines' events, late and with gaps, and from this
// instance's own dispatches. It keeps two generations, so that it is bounded
// and the old go first.
type prefixes struct {
	young, old map[prefixKey]prefixHint
}

func newPrefixes() prefixes {
	return prefixes{young: map[prefixKey]prefixHint{}, old: map[prefixKey]prefixHint{}}
}

func (p *prefixes) put(now time.Time, k prefixKey, s *serverState) {
	if len(p.young) >= prefixHints {
		p.young, p.old = p.old, p.young
		clear(p.young)
	}
	p.young[k] = prefixHint{s, now}
}

// get returns the server that probably has the prefix, or nil.
func (p *prefixes) get(now time.Time, k prefixKey) *serverState {
	h, ok := p.young[k]
	if !ok {
		h, ok = p.old[k]
	}
	if !ok || now.Sub(h.at) > prefixKept {
		return nil
	}
	return h.server
}

func (p *prefixes) events(now time.Time, s *serverState, events []infra.CacheEvent) {
	for _, e := range events {
		k := prefixKey{e.Model, e.Prefix}
		switch {
		case !e.Dropped:
			p.put(now, k, s)
		case p.get(now, k) == s:
			delete(p.young, k)
			delete(p.old, k)
		}
	}
}
