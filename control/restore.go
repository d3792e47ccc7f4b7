package control

import "time"

// missingFor is how long a dispatch's word that an item is missing is worth
// acting on; a dispatch that still misses it says so again.
const missingFor = 30 * time.Second

// maxMissing bounds the servers noted: more than a domain has.
const maxMissing = 1024

// forgetMissing forgets what dispatches said long ago, and of servers that have
// no assignment any more.
func (c *core) forgetMissing(now time.Time) {
	for id, at := range c.missing {
		if now.Sub(at) >= missingFor || c.view.Servers[id] == nil {
			delete(c.missing, id)
		}
	}
}

// restore is a step of an instance that holds no lease while the log is down:
// it brings servers that its own dispatches found incomplete back to their last
// assignment. Their assignments can't change meanwhile, so that is safe beside
// anyone else who does the same. Servers that nobody misses aren't looked at:
// several instances polling a whole domain would be a load for nothing.
func (c *core) restore(now time.Time, a *actions) {
	for _, id := range sortedKeys(c.missing) {
		c.pollIfDue(now, id, a)
	}
	listed := now.Sub(c.listedAt) < c.l.Listed
	var chosen []string
	for _, id := range sortedKeys(c.missing) {
		if listed || !c.ignoresFence(c.view.Servers[id].Pool) {
			chosen = append(chosen, id)
		}
	}
	c.orderAll(now, a, false, chosen)
}

// miss notes that a dispatch found an assigned item missing on the server.
func (c *core) miss(now time.Time, id string) {
	_, known := c.missing[id]
	if !known && len(c.missing) >= maxMissing {
		return
	}
	if s := c.servers[id]; s != nil && !known {
		s.pollAt = time.Time{}
		if c.held == 0 {
			s.forgetStatus()
		}
	}
	c.missing[id] = now
}
