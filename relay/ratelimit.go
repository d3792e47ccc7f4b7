package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
)

// answered takes in what a server's answer, to a request that was sent at a time,
// says of the server itself.
func (d *desk) answered(c *call, server string, sent time.Time, status int, said Answer) {
	if said.NoticeProblem != nil {
		d.log.WithFields(logrus.Fields{"server": server, "request": c.said.ID, "error": said.NoticeProblem}).Warn("server's answer not readable")
	}
	if said.Problem != nil {
		d.log.WithFields(logrus.Fields{"server": server, "request": c.said.ID, "error": said.Problem}).Warn("server's answer not readable")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	change, changed := d.scheduler.ObserveRateLimit(time.Now(), server, sent, said.RateLimit, said.Sealed && status/100 == 2)
	if changed {
		d.noteLimit(change, "answer")
		d.want() // the others hear of it from the lease holder
	}
}

// ratesTold takes in what the lease holder told of rate limits.
func (d *desk) ratesTold(sent time.Time, told decide.RateShares) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, decisions := d.scheduler.ApplyRateShares(time.Now(), sent, told)
	for _, c := range changes {
		d.noteLimit(c, "lease_holder")
	}
	d.carryOut(decisions)
}

// noteLimit writes the line for a server's rate limit that changed.
func (d *desk) noteLimit(c decide.LimitChange, by string) {
	f := logrus.Fields{"server": c.Server, "by": by}
	if c.Now.Named {
		f["per_second"], f["before"] = c.Now.PerSecond, c.Before.PerSecond
		d.log.WithFields(f).Info("server names a rate limit")
		return
	}
	f["named_ms"] = time.Since(c.Since).Milliseconds()
	d.log.WithFields(f).Info("server names no rate limit any more")
}

// rates returns what this instance has to say of rate limits.
func (d *desk) rates() []decide.RateReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RateReports(time.Now())
}

// paused returns how many listed servers asked for a pause that has not ended.
func (d *desk) paused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PausedServers(time.Now())
}

// rateLimited returns how many servers name a rate limit.
func (d *desk) rateLimited() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RateLimitedServers()
}
