package relay

import (
	"time"

	"github.com/sirupsen/logrus"
)

// rateLimited is a server that names a rate limit.
type rateLimited struct {
	perSecond float64 // requests, of all instances together
	since     time.Time
}

// answered takes in what a server's answer says of the server itself.
func (d *desk) answered(c *call, server string, said Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	log := d.log.WithFields(logrus.Fields{"server": server, "request": c.said.ID})
	if said.Problem != nil {
		log.WithField("error", said.Problem).Warn("server's answer not readable")
		return
	}
	was, limited := d.limited[server]
	switch {
	case said.RateLimit.Named && (!limited || was.perSecond != said.RateLimit.PerSecond):
		if !limited {
			was.since = time.Now()
		}
		log.WithFields(logrus.Fields{"per_second": said.RateLimit.PerSecond, "before": was.perSecond}).Info("server names a rate limit")
		d.limited[server] = rateLimited{perSecond: said.RateLimit.PerSecond, since: was.since}
	case !said.RateLimit.Named && limited && said.Sealed:
		log.WithField("named_ms", time.Since(was.since).Milliseconds()).Info("server names no rate limit any more")
		delete(d.limited, server)
	}
}

// rateLimited returns how many servers name a rate limit.
func (d *desk) rateLimited() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.limited)
}
