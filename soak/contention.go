package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"greengageferry/platform/standin"
)

const (
	// contendedInterval is the time between two events where callers contend: longer than
	// eventInterval, so that fewer requests fill the servers.
	contendedInterval = 20 * time.Millisecond
	// slowFactor is how many times as long a slow server takes.
	slowFactor = 3
	// maxSpeedChanges bounds how often a server's speed changes in a run where callers contend.
	maxSpeedChanges = 2
	// contendedDuration is how long more is asked for than the servers of models can take,
	// contendedOverload times as much.
	contendedDuration = 6 * time.Second
	contendedOverload = 1.5
	// urgentShare is the share of urgent requests beside a burst of less urgent ones, floodShare the
	// share that one client account sends beyond its usual third of the rest.
	urgentShare = 0.15
	floodShare  = 0.6
)

// queueing is what servers of models bear where callers contend: requests beyond their slots wait
// there, in order of arrival.
var queueing = standin.Brittle{RefusalLimit: math.MaxInt, Waiting: math.MaxInt / 2, Silent: true}

// contention is how callers of a deployment compete for its servers of models, and which is slow.
type contention struct {
	urgent, patient Kind // of the requests on the more and the less urgent route for streams
	slow            int  // index of the endpoint whose server is slow from the start
}

// drawContention draws whether a seed's callers contend, nil if not. A separate random source keeps
// the seed's faults unchanged.
func drawContention(seed uint64) *contention {
	const stream = math.MaxUint64 / 67
	rng := rand.New(rand.NewPCG(seed, stream))
	if rng.IntN(2) == 0 {
		return nil
	}
	kinds := []Kind{KindStream, KindOnceStream}
	n := rng.IntN(len(kinds))
	return &contention{urgent: kinds[n], patient: kinds[1-n], slow: rng.IntN(engineServersPerDomain + 1)}
}

// streamPath returns the path prefix of a kind of streams.
func streamPath(k Kind) string {
	if k == KindOnceStream {
		return standin.OnceStreamPath
	}
	return standin.StreamPath
}

// config returns a version of the configuration. c may be nil.
func (c *contention) config(version int) map[string]any {
	if c == nil {
		return standin.Config(version)
	}
	return standin.ContendedConfig(version, streamPath(c.urgent))
}

// withAccount gives a request for a model a client account, in turn, where callers contend.
func (d *Deployment) withAccount(ask standin.Ask) standin.Ask {
	if d.contention != nil && ask.Model != "" && ask.Account == "" {
		ask.Account = standin.Accounts[int(d.accountTurn.Add(1))%len(standin.Accounts)]
	}
	return ask
}

// eventInterval returns the time between two events of servers at an endpoint. The caller holds the
// lock.
func (d *Deployment) eventInterval(e *endpoint) time.Duration {
	switch {
	case d.contention == nil:
		return eventInterval
	case e.slow:
		return slowFactor * contendedInterval
	}
	return contendedInterval
}

// contentionFaults draws, where callers contend, one time in which they ask for too much, and changes
// of servers' speeds. A separate random source keeps a seed's other faults unchanged.
func contentionFaults(seed uint64, period time.Duration) []fault {
	const stream = math.MaxUint64 / 23
	rng := rand.New(rand.NewPCG(seed, stream))
	if drawContention(seed) == nil {
		return nil
	}
	faults := make([]fault, 1+rng.IntN(maxSpeedChanges+1))
	kind := faultKind{"too much is asked of servers of models", 1, contend}
	for n := range faults {
		faults[n] = drawFault(kind, period, rng, rand.NewPCG(seed, stream+1+uint64(n)))
		kind = faultKind{"server of models changes its speed", 1, changeSpeed}
	}
	faults[0].duration = contendedDuration
	return faults
}

// contend asks for more than the servers of models can take: either mostly by less urgent requests,
// or mostly by one client account.
func contend(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	period := contendedPeriod{from: time.Now(), urgent: d.contention.urgent}
	urgent := urgentShare
	if rng.IntN(2) == 0 {
		period.flooding, urgent = standin.Accounts[rng.IntN(len(standin.Accounts))], 0.5
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	slots := len(d.endpoints) * engineServersPerDomain / (engineServersPerDomain + plainServersPerDomain) * serverSlots
	perSecond := contendedOverload * float64(slots) / (eventsPerStream * contendedInterval).Seconds()
	d.overload(ctx, rng, perSecond, func(id string) (standin.Ask, Kind) {
		kind, account := d.contention.patient, ""
		if rng.Float64() < urgent {
			kind = d.contention.urgent
		}
		if rng.Float64() < floodShare {
			account = period.flooding
		}
		return standin.Ask{ID: id, Path: streamPath(kind) + id, Model: standin.BusyModel, Body: id, Parts: soundParts(id), Account: account}, kind
	})
	period.to = time.Now()
	d.History.addContended(period)
	return nil
}

// changeSpeed makes a fast server of models slow or a slow one fast, at once or by a start under the
// same id, and takes that back after the duration for half of the seeds.
func changeSpeed(d *Deployment, rng *rand.Rand, duration time.Duration) error {
	e := d.randomEndpoint(rng)
	for e.homeService != standin.ServiceEngines {
		e = d.randomEndpoint(rng)
	}
	restart := rng.IntN(2) == 0
	d.toggleSpeed(e, restart)
	time.Sleep(duration)
	if rng.IntN(2) == 0 {
		d.toggleSpeed(e, restart)
	}
	return nil
}

// toggleSpeed makes the server at an endpoint slow if it is fast, and fast if it is slow.
func (d *Deployment) toggleSpeed(e *endpoint, restart bool) {
	if restart {
		d.Crash(e)
		time.Sleep(restartDelays[0])
		defer d.Restart(e, false)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e.slow = !e.slow
	e.server.Load().SetEventInterval(d.eventInterval(e))
}
