package residency

import (
	"time"

	"greengageferry/gateway"
)

// candidacy returns the candidates and whether the reporting instance is one. Before the
// first choice the latter is whether the instance already competes for the lease. The lock
// is held.
func (c *Controller) candidacy(now time.Time, report InstanceReport) (Candidates, bool) {
	if since := c.demand.ListeningSince(); since != c.candidatesSince {
		c.candidatesSince, c.candidates = since, nil
	}
	if now.Sub(c.candidatesSince) < candidatesDelay {
		return nil, report.Competes
	}
	if now.Sub(c.candidatesAt) >= candidatesInterval {
		c.candidates, c.candidatesAt = c.demand.Candidates(), now
	}
	return c.candidates, c.candidates.Contains(report.Instance)
}

// currentGateways returns the instances that may be gateways. The lock is held.
func (c *Controller) currentGateways(now time.Time) gateway.Members {
	if now.Sub(c.gatewaysAt) >= summaryInterval {
		c.gateways, c.gatewaysAt = c.demand.Gateways(), now
	}
	return c.gateways
}
