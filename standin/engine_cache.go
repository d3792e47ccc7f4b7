package standin

import (
	"slices"
	"time"

	"greengageferry/infra"
)

// maxCacheEvents is the maximum number of cache events that an engine keeps.
const maxCacheEvents = 1024

// prefixKey identifies a cached prompt prefix by its model and hash.
type prefixKey struct {
	model  string
	prefix uint64
}

// prefixCache is an LRU cache of prompt prefixes that records its changes as events.
type prefixCache struct {
	limit    int
	lag      time.Duration
	gap      int
	keys     []prefixKey // least recently used first
	sequence uint64
	events   []timedCacheEvent
}

type timedCacheEvent struct {
	event infra.CacheEvent
	at    time.Time
}

func newPrefixCache(o EngineOptions) prefixCache {
	return prefixCache{limit: o.CachePrefixes, lag: o.CacheLag, gap: o.CacheGap}
}

// touch marks the prompt's prefix as most recently used, adding it if necessary. It
// returns whether the prefix was cached before.
func (c *prefixCache) touch(model, prompt string) bool {
	key := prefixKey{model: model, prefix: infra.PrefixHash(prompt)}
	i := slices.Index(c.keys, key)
	if i >= 0 {
		c.keys = append(slices.Delete(c.keys, i, i+1), key)
		return true
	}
	c.keys = append(c.keys, key)
	c.addEvent(key, false)
	if len(c.keys) > c.limit {
		c.addEvent(c.keys[0], true)
		c.keys = slices.Delete(c.keys, 0, 1)
	}
	return false
}

// addEvent records a change, except for every gap-th one, which is lost.
func (c *prefixCache) addEvent(key prefixKey, dropped bool) {
	c.sequence++
	if c.gap > 0 && c.sequence%uint64(c.gap) == 0 {
		return
	}
	event := infra.CacheEvent{Sequence: c.sequence, Model: key.model, Prefix: key.prefix, Dropped: dropped}
	c.events = append(c.events, timedCacheEvent{event: event, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// after returns the kept events after the sequence number that are at least
// lag old.
func (c *prefixCache) after(sequence uint64) []infra.CacheEvent {
	visible := time.Now().Add(-c.lag)
	list := []infra.CacheEvent{}
	for _, entry := range c.events {
		if entry.event.Sequence > sequence && !entry.at.After(visible) {
			list = append(list, entry.event)
		}
	}
	return list
}
