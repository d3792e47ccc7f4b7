package soak

import "time"

const (
	// stableWindow is how long an instance must have run without disruption to be in touch, and
	// how long after servers became brittle instances may still learn of it.
	stableWindow = 3 * time.Second
	// maxFalls, and a tenth of the servers, may fail by refusing in one brittle period.
	maxFalls     = 2
	refusalsSpan = time.Second // in which a server counts its refusals
)

// checkFalls checks that brittle servers rarely fail by refusing. A failure counts unless most of
// what the server refused came from instances that were disrupted or had just started.
func (c *checker) checkFalls() {
	for _, p := range c.history.brittlePeriods {
		falls := 0
		for _, f := range c.history.falls {
			if f.at.Sub(p.from) > stableWindow && f.at.Before(p.to) && c.fallCounts(f) {
				falls++
			}
		}
		if falls > maxFalls+p.servers/10 {
			c.violated("servers that fail by refusing are rarely made to", "%d of %d servers fell", falls, p.servers)
		}
	}
}

// fallCounts reports whether at least half of what the server had refused in the last second came
// from instances in touch.
func (c *checker) fallCounts(f fall) bool {
	refused, inTouch := 0, 0
	for _, a := range c.history.arrivals {
		if a.Server != f.server || a.Ran || a.At.After(f.at) || f.at.Sub(a.At) > refusalsSpan {
			continue
		}
		refused++
		r := c.resultByID[a.Ask.ID]
		if r != nil && a.At.Sub(r.InstanceStarted) > stableWindow && !c.disruptedBetween(a.At.Add(-stableWindow), a.At, r.Instance) {
			inTouch++
		}
	}
	return 2*inTouch >= refused
}
