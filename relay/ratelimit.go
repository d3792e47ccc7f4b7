package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
)

// handleResponse applies the rate limit in a server's response. The request was sent
// at the time sent.
func (d *dispatcher) handleResponse(c *call, server string, sent time.Time, status int, headers ResponseHeaders) {
	if headers.NoticeErr != nil {
		d.log.WithFields(logrus.Fields{"server": server, "request": c.headers.ID, "error": headers.NoticeErr}).Warn("server's answer not readable")
	}
	if headers.RateLimitErr != nil {
		d.log.WithFields(logrus.Fields{"server": server, "request": c.headers.ID, "error": headers.RateLimitErr}).Warn("server's answer not readable")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	change, changed := d.scheduler.ObserveRateLimit(time.Now(), server, sent, headers.RateLimit, headers.Sealed && status/100 == 2)
	if changed {
		d.logLimitChange(change, "answer")
		d.signalSync() // the lease holder tells the other instances
	}
}

// applyRateShares applies the lease holder's allocation of rate limits. The request that
// it answers was sent at the time sent.
func (d *dispatcher) applyRateShares(sent time.Time, shares decide.RateShares) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, decisions := d.scheduler.ApplyRateShares(time.Now(), sent, shares)
	for _, c := range changes {
		d.logLimitChange(c, "lease_holder")
	}
	d.deliver(decisions)
}

// logLimitChange writes the log line for a changed rate limit. by names its source.
func (d *dispatcher) logLimitChange(c decide.LimitChange, by string) {
	f := logrus.Fields{"server": c.Server, "by": by}
	if c.Now.Named {
		f["per_second"], f["before"] = c.Now.PerSecond, c.Before.PerSecond
		d.log.WithFields(f).Info("server names a rate limit")
		return
	}
	f["named_ms"] = time.Since(c.Since).Milliseconds()
	d.log.WithFields(f).Info("server names no rate limit any more")
}

// rates returns this instance's report on rate limits.
func (d *dispatcher) rates() []decide.RateReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RateReports(time.Now())
}

// pausedServers returns how many listed servers asked for a pause that has not ended.
func (d *dispatcher) pausedServers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PausedServers(time.Now())
}

// rateLimitedServers returns how many servers name a rate limit.
func (d *dispatcher) rateLimitedServers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RateLimitedServers()
}
