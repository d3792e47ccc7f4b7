package relay

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/residency"
)

// UpdateShared applies what all instances together know, as the lease holder told it: backlogs,
// speeds of servers and client accounts' demands. age is how old it is in the mean.
func (r *Relay) UpdateShared(s residency.Summary, age time.Duration) {
	r.dispatcher.updateShared(s, age)
}

// TakeSpeedSamples returns what this instance measured of servers' speeds since the last call.
func (r *Relay) TakeSpeedSamples() []decide.SpeedSample { return r.dispatcher.takeSpeedSamples() }

// SpeedRange returns the speeds of the slowest and the fastest server, as all instances measured
// them, relative to the mean of their pools; 1 if none are known.
func (r *Relay) SpeedRange() (slowest, fastest float64) { return r.dispatcher.speedRange() }

// AccountDemands returns what this instance has of client accounts' requests.
func (r *Relay) AccountDemands() []decide.AccountDemand { return r.dispatcher.accountDemands() }

// AccountsOverShare returns how many client accounts are over their share of some pool.
func (r *Relay) AccountsOverShare() int { return r.dispatcher.accountsOverShare() }

func (d *dispatcher) accountsOverShare() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.scheduler.AccountsOverShare())
}

// logSharesInterval is the minimum time between two log lines about client accounts over their
// share.
const logSharesInterval = time.Second

// logShares logs how many client accounts are over their share, and the one that exceeds it most,
// when that number has changed. The lock is held.
func (d *dispatcher) logShares(now time.Time) {
	over := d.scheduler.AccountsOverShare()
	if len(over) == d.sharesLogged || now.Sub(d.sharesLoggedAt) < logSharesInterval {
		return
	}
	d.sharesLogged, d.sharesLoggedAt = len(over), now
	f := logrus.Fields{"accounts": len(over)}
	if len(over) > 0 {
		f["account"], f["service"], f["within"] = over[0].Account, over[0].Pool, strconv.FormatFloat(over[0].AllowedFraction, 'g', 3, 64)
	}
	d.log.WithFields(f).Info("client accounts over their share")
}

func (d *dispatcher) updateShared(s residency.Summary, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.scheduler.UpdateSpeeds(now, s.Speeds)
	d.scheduler.UpdateAccounts(now, s.Accounts)
	d.logShares(now)
	d.deliver(d.scheduler.UpdateBacklogs(now, s.Backlogs, age))
}

func (d *dispatcher) takeSpeedSamples() []decide.SpeedSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.TakeSpeedSamples()
}

func (d *dispatcher) speedRange() (slowest, fastest float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.SpeedRange()
}

func (d *dispatcher) accountDemands() []decide.AccountDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.AccountDemands()
}
