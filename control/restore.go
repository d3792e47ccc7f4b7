package control

import "time"

// missingReportTTL is how long a report that an item is missing is acted on. A
// later dispatch that misses the item reports it again.
const missingReportTTL = 30 * time.Second

// maxMissingReports bounds the servers with a report. A domain has fewer servers.
const maxMissingReports = 1024

// expireMissingReports deletes old reports and those of servers without an
// assignment.
func (c *core) expireMissingReports(now time.Time) {
	for id, at := range c.missingReports {
		if now.Sub(at) >= missingReportTTL || c.view.Servers[id] == nil {
			delete(c.missingReports, id)
		}
	}
}

// restore is a step of an instance without the lease while the log is down: it
// brings servers that were reported to this instance as missing an item back to
// their last assignment. Assignments can't change meanwhile, so several instances
// may safely do the same at once. Servers without a report aren't polled: several
// instances polling a whole domain would be needless load.
func (c *core) restore(now time.Time, a *actions) {
	for _, id := range sortedKeys(c.missingReports) {
		c.pollIfDue(now, id, a)
	}
	recentlyListed := now.Sub(c.listedAt) < c.limits.MaxListedAge
	var serverIDs []string
	for _, id := range sortedKeys(c.missingReports) {
		if recentlyListed || !c.ignoresFence(c.view.Servers[id].Pool) {
			serverIDs = append(serverIDs, id)
		}
	}
	c.addDueOrders(now, a, false, serverIDs)
}

// recordMissing records that a dispatch found an assigned item missing on the
// server, and polls the server at the next step if this is its first report.
func (c *core) recordMissing(now time.Time, id string) {
	_, known := c.missingReports[id]
	if !known && len(c.missingReports) >= maxMissingReports {
		return
	}
	if s := c.servers[id]; s != nil && !known {
		s.pollAt = time.Time{}
		if c.takenOverLease == 0 {
			s.resetStatus()
		}
	}
	c.missingReports[id] = now
}
