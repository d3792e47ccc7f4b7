package standin

import (
	"slices"
	"time"

	"greengageferry/infra"
)

// maxCacheEvents bounds the cache events that an engine keeps.
const maxCacheEvents = 1024

// prefixKey names a cached prompt prefix.
type prefixKey struct {
	model  string
	prefix uint64
}

// prefixCache holds the prompt prefixes seen last, and tells of changes.
type prefixCache struct {
	limit    int
	lag      time.Duration
	gap      int
	keys     []prefixKey // least recently used first
	sequence uint64
	events   []cacheEntry
}

type cacheEntry struct {
	event infra.CacheEvent
	at    time.Time
}

func newPrefixCache(o EngineOptions) prefixCache {
	return prefixCache{limit: o.CachePrefixes, lag: o.CacheLag, gap: o.CacheGap}
}

// use takes in a prompt's prefix, and says whether it was there.
func (c *prefixCache) use(model, prompt string) bool {
	key := prefixKey{model: model, prefix: infra.PrefixHash(prompt)}
	i := slices.Index(c.keys, key)
	if i >= 0 {
		c.keys = append(slices.Delete(c.keys, i, i+1), key)
		return true
	}
	c.keys = append(c.keys, key)
	c.tell(key, false)
	if len(c.keys) > c.limit {
		c.tell(c.keys[0], true)
		c.keys = slices.Delete(c.keys, 0, 1)
	}
	return false
}

func (c *prefixCache) tell(key prefixKey, dropped bool) {
	c.sequence++
	if c.gap > 0 && c.sequence%uint64(c.gap) == 0 {
		return
	}
	event := infra.CacheEvent{Sequence: c.sequence, Model: key.model, Prefix: key.prefix, Dropped: dropped}
	c.events = append(c.events, cacheEntry{event: event, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// after returns the events after a sequence number that show by now.
func (c *prefixCache) after(sequence uint64) []infra.CacheEvent {
	shown := time.Now().Add(-c.lag)
	list := []infra.CacheEvent{}
	for _, entry := range c.events {
		if entry.event.Sequence > sequence && !entry.at.After(shown) {
			list = append(list, entry.event)
		}
	}
	return list
}
