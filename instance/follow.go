package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/infra"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// configWait is how long one read waits for a configuration while another
	// instance confirms that no newer one exists.
	configWait = 4 * time.Second
	// configWaitMany is the same where there are more than manyInstances: their
	// reads are a good part of the store's.
	configWaitMany = 10 * time.Second
	// configWaitHolder is the same for the instances whose reads confirm the
	// configuration for others: the lease holder, and the candidates while no other
	// instance confirms it to them.
	configWaitHolder = 700 * time.Millisecond
	// configWaitUnconfirmed is the same for the remaining instances while no other
	// instance confirms the configuration to them.
	configWaitUnconfirmed = 1200 * time.Millisecond
	// configSpacing is the least time between two reads of configurations:
	// changes come sixteen a second at times, and each is decoded whole.
	configSpacing = 150 * time.Millisecond
	// configToldFor is how long the store's confirmation that a version is the
	// newest remains valid. Until it expires, an answer of the lease holder or a
	// candidate replaces a read. Once it has expired, a waiting read is canceled and
	// the newest version is read: an unresponsive store or connection must not hide
	// a configuration for longer than the two seconds that the platform allows.
	configToldFor = 1500 * time.Millisecond
	// storeProbe is how often an instance that the store turns away looks whether it
	// is back, while another that reaches the store tells it what is new there. A
	// third of 295 instances that each tried twice a second were a good part of a
	// day's calls.
	storeProbe = 3 * time.Second
	// configSpacingTold is configSpacing where instances are told of new versions:
	// more than a word apart, so that a burst of changes is read a few times only.
	configSpacingTold = 600 * time.Millisecond
	// serversSpacing is the least time between two reads of servers' entries.
	// Each server writes about once a second, so a read that only waited would
	// return dozens of times a second; a leaving server must be known within
	// two seconds.
	serversSpacing = 400 * time.Millisecond
	// behindAge is how old a read has to be to be ended because other instances
	// have a newer configuration: a read that is only slow, on a link that takes a
	// second for a dozen large configurations, must not be ended again and again.
	behindAge = 1500 * time.Millisecond
	// manyInstances is up to how many instances each reads the entries that often.
	// With more of them the reads are spaced further apart, up to spacingMost
	// times: 72 instances made 220 calls a second to the store, nearly all of them
	// these. A leaving server is still known well within two seconds.
	manyInstances = 12
	spacingMost   = 3.0
	// serversWait is how long one read waits for entries, and readSlack how much
	// longer it may take: together they bound how long it goes unnoticed that the
	// store is away, or back.
	serversWait = 800 * time.Millisecond
	readSlack   = 800 * time.Millisecond
	// holderWait is how long a read of the lease holder waits: what others hear
	// from it must not be older than fedFor where servers write all at once.
	holderWait = 300 * time.Millisecond
	// returnLag is how long after the last read that failed was begun the store, or
	// the way to it, is taken to have come back. It may have been at any time until
	// the first read that succeeds, up to two seconds later; servers whose entries
	// went are kept for two seconds from then, and must not be used any more three
	// seconds after the return, when the bound on servers that leave holds again.
	returnLag = 400 * time.Millisecond
	// fedPoll is how often an instance looks whether the lease holder's word still
	// stands in for a read.
	fedPoll = 100 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// newestTimeout bounds a read of everything. It leaves time for a second read
	// when one sent just before the store's return is never answered.
	newestTimeout = 2 * time.Second
)

// followConfig is the duty that follows the operators' configuration.
func (i *Instance) followConfig(ctx context.Context) error {
	var at topology.Position
	failures := 0 // in a row
	for fresh := true; ctx.Err() == nil; {
		if i.configTold(time.Now()) {
			if !i.configBehind() {
				supervise.Pause(ctx, fedPoll)
				continue
			}
			fresh = true // many may follow from here, and only the newest counts
		}
		began := time.Now()
		res, err := i.readConfig(ctx, at, fresh)
		i.metrics.storeCall("config", began)
		if err != nil {
			fresh = fresh || outOfRange(err)
			if errors.Is(err, context.Canceled) {
				if ctx.Err() == nil {
					i.logCanceledConfigRead(began)
				}
				fresh = true // only the newest counts: in between there may be many, each as large
				continue
			}
			i.storeFailed("config", err)
			failures++
			supervise.Pause(ctx, supervise.Backoff(retryFirst, retryMost, failures)-time.Since(began))
			continue
		}
		i.storeAnswered()
		if i.observeEra(res.next.Era, "store") == eraStale {
			fresh = true
			failures++
			supervise.Pause(ctx, supervise.Backoff(retryFirst, retryMost, failures))
			continue
		}
		failures = 0
		if !fresh && res.next.Era != at.Era && res.next.Era != 0 {
			fresh = true // the answer's era isn't the position's, so reading can't continue from there
			supervise.Pause(ctx, retryFirst)
			continue
		}
		at = res.next
		fresh = false
		if res.config != nil {
			i.setConfig(res.config)
		}
		i.noteConfigConfirmed(res.confirmedAt)
		supervise.Pause(ctx, i.configPause())
	}
	return nil
}

// noteConfigConfirmed records that the configuration in force was the newest at the
// given time. Times before the recorded one are ignored.
func (i *Instance) noteConfigConfirmed(at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if at.After(i.configConfirmedAt) {
		i.configConfirmedAt = at
	}
}

// logCanceledConfigRead logs that a read of configurations was canceled before the
// store answered.
func (i *Instance) logCanceledConfigRead(began time.Time) {
	version := i.configVersion()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.log.WithFields(logrus.Fields{
		"read_ms": ageMs(began), "confirmed_ms": ageMs(i.configConfirmedAt), "version": version, "newest": i.told.version,
	}).Warn("configuration read canceled")
}

// configTold says whether the lease holder, or a candidate, tells this instance
// which configuration is the newest, so that no read has to wait for one. With few
// instances each reads for itself: a change is in force sooner.
func (i *Instance) configTold(now time.Time) bool {
	if i.lease.Stands() || i.instances() <= manyInstances {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.storeDown && now.Sub(i.storeTriedAt) >= storeProbe {
		return false // one read shows whether it is back
	}
	return i.view.Config != nil && !i.told.storeDown && now.Sub(i.told.confirmedAt) < configToldFor
}

// configBehind says whether another instance was told to have a newer configuration.
func (i *Instance) configBehind() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view.Config == nil || i.told.version > i.view.Config.Version
}

// configPause is the least time between two reads of configurations.
func (i *Instance) configPause() time.Duration {
	if i.configTold(time.Now()) {
		return configSpacingTold
	}
	return configSpacing
}

// configResult is the result of a read of configurations.
type configResult struct {
	config *topology.Config  // nil: none newer
	next   topology.Position // where the next read begins
	// confirmedAt is a time at which no configuration newer than config, or than the
	// one in force if config is nil, existed; zero after a partial read, since newer
	// versions may remain unread.
	confirmedAt time.Time
}

// readConfig reads the newest configuration if fresh is set, and otherwise waits for
// one at position at or later. The confirmation's time doesn't depend on when the
// answer arrives: a delayed answer must not hide a version written in the meantime.
func (i *Instance) readConfig(ctx context.Context, at topology.Position, fresh bool) (configResult, error) {
	began := time.Now()
	if fresh {
		ctx, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		defer i.interrupt(cancel)()
		c, next, err := i.opts.Source.NewestConfig(ctx)
		return configResult{config: c, next: next, confirmedAt: began}, err
	}
	wait := i.nextConfigWait(began)
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	defer i.interrupt(cancel)()
	go i.cancelUnconfirmedRead(ctx, cancel)
	c, next, err := i.opts.Source.NextConfig(ctx, at, wait)
	res := configResult{config: c, next: next}
	if next == at {
		res.confirmedAt = began
		if waitEnd := began.Add(wait); !time.Now().Before(waitEnd) {
			res.confirmedAt = waitEnd // the store waited for a newer one until then
		}
	}
	return res, err
}

// nextConfigWait returns how long a read that begins at now waits for a configuration.
func (i *Instance) nextConfigWait(now time.Time) time.Duration {
	stands, holds := i.lease.Stands(), i.lease.Holds()
	i.mu.Lock()
	defer i.mu.Unlock()
	confirmed := now.Sub(i.told.confirmedAt) < configToldFor
	switch {
	case holds || !confirmed && stands:
		return configWaitHolder
	case !confirmed:
		return configWaitUnconfirmed
	case i.view.Instances() > manyInstances:
		return configWaitMany
	}
	return configWait
}

// cancelUnconfirmedRead calls cancel once the store's last confirmation of the
// version in force, to this instance or to one that reported it, is older than
// configToldFor and the read has taken at least behindAge. It returns after that or
// when ctx, the context of the read, ends.
func (i *Instance) cancelUnconfirmedRead(ctx context.Context, cancel context.CancelFunc) {
	began := time.Now()
	for {
		i.mu.Lock()
		deadline := i.configConfirmedAt.Add(configToldFor)
		i.mu.Unlock()
		if earliest := began.Add(behindAge); deadline.Before(earliest) {
			deadline = earliest
		}
		if !time.Now().Before(deadline) {
			cancel()
			return
		}
		if !supervise.Pause(ctx, time.Until(deadline)) {
			return
		}
	}
}

// followServers is the duty that follows the servers' entries. It reads the store
// only while the lease holder's word doesn't stand in for that, since the holder
// reads for all, and while it seems away, to see when it is back.
func (i *Instance) followServers(ctx context.Context) error {
	failures := 0        // in a row
	var failed time.Time // when the last read that failed was begun
	immediate := true    // the next read must not wait for new entries
	for ctx.Err() == nil {
		if !i.readsServers(time.Now()) {
			failures, immediate = 0, true
			supervise.Pause(ctx, fedPoll)
			continue
		}
		began := time.Now()
		r, err := i.readServers(ctx, immediate)
		i.metrics.storeCall("servers", began)
		now := time.Now()
		if err != nil {
			if outOfRange(err) {
				i.servers.reread()
			}
			i.storeFailed("servers", err)
			failures++
			failed, immediate = began, true
			supervise.Pause(ctx, supervise.Backoff(retryFirst, retryMost, failures))
			continue
		}
		if i.observeEra(r.next.Era, "store") == eraStale || !r.all && r.next.Era != r.from.Era && r.next.Era != 0 {
			i.servers.reread()
			supervise.Pause(ctx, retryFirst)
			continue
		}
		if failures > 0 {
			failures = 0
			i.servers.storeBack(failed.Add(returnLag))
			i.restartConfigRead(0)
		}
		i.storeAnswered()
		immediate = false
		i.noteProblems(r.changes)
		i.servers.take(now, r, i.setServers)
		supervise.Pause(ctx, i.serversSpacing())
	}
	return nil
}

// readsServers says whether this instance reads the servers' entries itself now:
// the holder does for all, and without one the candidates do. One that has just
// read them waits to be told before it reads again, where there are many.
func (i *Instance) readsServers(now time.Time) bool {
	if i.lease.Holds() {
		return true
	}
	fed := i.servers.fed(now)
	if i.storeIsDown() {
		return !fed || !i.configTold(now)
	}
	if fed {
		return false
	}
	return i.lease.Stands() || i.instances() <= manyInstances || !i.servers.fresh(now)
}

// serversSpacing returns the least time between this instance's reads of the
// servers' entries.
func (i *Instance) serversSpacing() time.Duration {
	if i.lease.Holds() {
		return serversSpacing // all others wait for it
	}
	return spacing(i.instances())
}

// spacing returns the least time between two reads of servers' entries.
func spacing(instances int) time.Duration {
	times := min(max(float64(instances)/manyInstances, 1), spacingMost)
	return time.Duration(times * float64(serversSpacing))
}

// instances returns how many instances there are, as far as known.
func (i *Instance) instances() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view.Instances()
}

// readServers reads the servers' entries that follow the known position, or all of them
// if there is none. If immediate is set, the read doesn't wait for new entries and times
// out sooner: an unanswered read must not hide for long that a server is leaving.
func (i *Instance) readServers(ctx context.Context, immediate bool) (read, error) {
	at := i.servers.position()
	if at != unread {
		wait := serversWait
		switch {
		case immediate:
			wait = 0
		case i.lease.Holds():
			wait = holderWait
		}
		ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
		defer cancel()
		changes, next, err := i.opts.Source.NextServers(ctx, at, wait)
		return read{from: at, next: next, changes: changes}, err
	}
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	changes, next, err := i.opts.Source.NewestServers(ctx)
	return read{all: true, next: next, changes: changes}, err
}

// interrupt lets restartConfigRead end a read by cancel until the returned
// function is called.
func (i *Instance) interrupt(cancel context.CancelFunc) func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.configRead, i.configReadAt = cancel, time.Now()
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.configRead = nil
	}
}

// restartConfigRead ends the read of configurations that is under way, if it is
// as old as that, and has the newest read. A store that was away may never answer
// it, and a configuration that is written right after its return would be learned
// of only when the read's time is up.
func (i *Instance) restartConfigRead(age time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.configRead != nil && time.Since(i.configReadAt) >= age {
		i.configRead()
	}
}

// configReadAge returns for how long the read of configurations is under way, in
// milliseconds, -1 if none is.
func (i *Instance) configReadAge() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.configRead == nil {
		return -1
	}
	return ageMs(i.configReadAt)
}

func (i *Instance) noteProblems(changes []topology.ServerChange) {
	for _, c := range changes {
		if c.Err != nil {
			i.log.WithFields(logrus.Fields{"server": c.ID, "error": c.Err}).Warn("server entry not usable")
		}
	}
}

func outOfRange(err error) bool {
	var e *infra.Error
	return errors.As(err, &e) && e.Reason == infra.ReasonOutOfRange
}
