package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// configWait is how long one read waits for a configuration while another instance
	// confirms that no newer one exists.
	configWait = 4 * time.Second
	// configWaitMany replaces configWait if there are more than manyInstances, whose
	// reads are a large part of the store's load.
	configWaitMany = 10 * time.Second
	// configWaitHolder replaces configWait on the instances whose reads confirm the
	// configuration for others: the lease holder, and the candidates while no other
	// instance confirms it to them.
	configWaitHolder = 700 * time.Millisecond
	// configWaitUnconfirmed replaces configWait on the remaining instances while no other
	// instance confirms the configuration to them.
	configWaitUnconfirmed = 1200 * time.Millisecond
	// minConfigReadInterval is the minimum time between two reads of configurations:
	// there can be sixteen changes per second, and each is decoded in full.
	minConfigReadInterval = 150 * time.Millisecond
	// configConfirmationTTL is how long the store's confirmation that a version is the
	// newest remains valid. Until it expires, an answer of the lease holder or a
	// candidate replaces a read. Once it has expired, a waiting read is canceled and the
	// newest version is read: an unresponsive store or connection must not hide a
	// configuration for longer than the two seconds that the platform allows.
	configConfirmationTTL = 1500 * time.Millisecond
	// minConfirmedConfigReadInterval replaces minConfigReadInterval while another
	// instance reports new versions. It is longer than the interval between two syncs, so
	// that a burst of changes needs only a few reads.
	minConfirmedConfigReadInterval = 600 * time.Millisecond
	// minCancelableReadAge is the minimum age at which a read is canceled because other
	// instances have a newer configuration. A read that is only slow, on a link that
	// takes a second for a dozen large configurations, must not be canceled repeatedly.
	minCancelableReadAge = 1500 * time.Millisecond
)

// followConfig is the duty that follows the operators' configuration.
func (i *Instance) followConfig(ctx context.Context) error {
	f := configFollower{instance: i, newest: true}
	defer f.reads.wait()
	for ctx.Err() == nil {
		if i.configConfirmedByPeer(time.Now()) {
			if !i.configBehind() {
				supervise.Pause(ctx, readCheckInterval)
				continue
			}
			f.newest = true // there may be many unread versions, and only the newest counts
		}
		f.read(ctx)
	}
	return nil
}

// configFollower is the state of followConfig.
type configFollower struct {
	instance *Instance
	reads    storeReads
	pos      topology.Position // at which the next read continues
	newest   bool              // the next read is of the newest version, wherever that is
	failures int               // consecutive
}

// read reads the configuration once, applies it, and pauses until the next read is due.
func (f *configFollower) read(ctx context.Context) {
	i, began := f.instance, time.Now()
	res, err := i.readConfig(ctx, &f.reads, f.pos, f.newest)
	i.metrics.observeStoreCall("config", began, err)
	if err != nil {
		f.onFailure(ctx, began, err)
		return
	}
	i.storeAnswered()
	if i.observeEra(res.next.Era, "store") == eraStale {
		f.newest = true
		f.failures++
		supervise.Pause(ctx, supervise.Backoff(minReadBackoff, maxReadBackoff, f.failures))
		return
	}
	f.failures = 0
	if !f.newest && res.next.Era != f.pos.Era && res.next.Era != 0 {
		f.newest = true // the answer's era isn't the position's, so reading can't continue from there
		supervise.Pause(ctx, minReadBackoff)
		return
	}
	f.pos = res.next
	f.newest = false
	if res.config != nil {
		i.setConfig(res.config)
	}
	i.noteConfigConfirmed(res.confirmedAt)
	supervise.Pause(ctx, i.configReadInterval())
}

// onFailure handles a read that began at the given time and failed or was canceled.
func (f *configFollower) onFailure(ctx context.Context, began time.Time, err error) {
	f.newest = f.newest || isOutOfRange(err)
	if errors.Is(err, context.Canceled) {
		if ctx.Err() == nil {
			f.instance.logCanceledConfigRead(began)
		}
		f.newest = true // there may be many unread versions of the same size, and only the newest counts
		return
	}
	f.instance.storeFailed("config", err)
	f.failures++
	supervise.Pause(ctx, supervise.Backoff(minReadBackoff, maxReadBackoff, f.failures)-time.Since(began))
}

// noteConfigConfirmed records that the configuration in force was the newest at the given
// time, and reports whether that is later than the recorded time.
func (i *Instance) noteConfigConfirmed(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !at.After(i.configConfirmedAt) {
		return false
	}
	i.configConfirmedAt = at
	return true
}

// logCanceledConfigRead logs that a read of configurations was canceled before the
// store answered.
func (i *Instance) logCanceledConfigRead(began time.Time) {
	version := i.configVersion()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.log.WithFields(logrus.Fields{
		"read_ms": ageMs(began), "confirmed_ms": ageMs(i.configConfirmedAt), "version": version, "newest": i.peerStatus.version,
	}).Warn("configuration read canceled")
}

// configConfirmedByPeer reports whether the lease holder or a candidate currently reports
// which configuration is the newest, so that this instance needs no read of its own. With
// few instances each reads for itself, which puts a change in force sooner.
func (i *Instance) configConfirmedByPeer(now time.Time) bool {
	if i.lease.Competes() || i.instanceCount() <= manyInstances {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.storeDown && now.Sub(i.storeFailedAt) >= storeProbeInterval {
		return false // one read shows whether the store is back
	}
	return i.view.Config != nil && !i.peerStatus.storeDown && now.Sub(i.peerStatus.confirmedAt) < configConfirmationTTL
}

// configBehind reports whether this instance has no configuration, or another instance
// reported a newer one.
func (i *Instance) configBehind() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view.Config == nil || i.peerStatus.version > i.view.Config.Version
}

// configReadInterval returns the minimum time between two reads of configurations.
func (i *Instance) configReadInterval() time.Duration {
	if i.configConfirmedByPeer(time.Now()) {
		return minConfirmedConfigReadInterval
	}
	return minConfigReadInterval
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

// readConfig reads the newest configuration if newest is set, and otherwise waits for one
// at the given position or later. The time of the confirmation doesn't depend on when the
// answer arrives: a delayed answer must not hide a version written in the meantime.
func (i *Instance) readConfig(ctx context.Context, reads *storeReads, pos topology.Position, newest bool) (configResult, error) {
	began := time.Now()
	wait, timeout := time.Duration(0), newestReadTimeout
	read := func(ctx context.Context) (configResult, error) {
		c, next, err := i.opts.Source.NewestConfig(ctx)
		return configResult{config: c, next: next, confirmedAt: began}, err
	}
	if !newest {
		wait = i.nextConfigWait(began)
		timeout = wait + readTimeoutMargin
		read = func(ctx context.Context) (configResult, error) { return i.readNextConfig(ctx, pos, wait) }
	}
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer i.registerConfigRead(cancel)()
	if !newest {
		go i.cancelUnconfirmedRead(waitCtx, cancel)
	}
	return readUntil(ctx, waitCtx, i, reads, read, i.applyLateConfig)
}

// readNextConfig waits for a configuration at the given position or later.
func (i *Instance) readNextConfig(ctx context.Context, pos topology.Position, wait time.Duration) (configResult, error) {
	began := time.Now()
	c, next, err := i.opts.Source.NextConfig(ctx, pos, wait)
	res := configResult{config: c, next: next}
	if next == pos {
		res.confirmedAt = began
		if waitEnd := began.Add(wait); !time.Now().Before(waitEnd) {
			res.confirmedAt = waitEnd // the store waited for a newer one until then
		}
	}
	return res, err
}

// applyLateConfig applies the answer of a read that is no longer waited for.
func (i *Instance) applyLateConfig(res configResult) {
	if i.observeEra(res.next.Era, "store") == eraStale {
		return
	}
	if res.config != nil {
		i.setConfig(res.config)
	}
	if res.config == nil || res.config.Version == i.configVersion() {
		i.noteConfigConfirmed(res.confirmedAt)
	}
}

// nextConfigWait returns how long a read that begins at now waits for a configuration.
func (i *Instance) nextConfigWait(now time.Time) time.Duration {
	competes, holds := i.lease.Competes(), i.lease.Holds()
	i.mu.Lock()
	defer i.mu.Unlock()
	confirmed := now.Sub(i.peerStatus.confirmedAt) < configConfirmationTTL
	switch {
	case holds || !confirmed && competes:
		return configWaitHolder
	case !confirmed:
		return configWaitUnconfirmed
	case i.view.Instances() > manyInstances:
		return configWaitMany
	}
	return configWait
}

// cancelUnconfirmedRead calls cancel once the store's last confirmation of the version in
// force, to this instance or to one that reported it, is older than configConfirmationTTL
// and the read has taken at least minCancelableReadAge. It returns after that or when
// ctx, the context of the read, ends.
func (i *Instance) cancelUnconfirmedRead(ctx context.Context, cancel context.CancelFunc) {
	began := time.Now()
	for {
		i.mu.Lock()
		deadline := i.configConfirmedAt.Add(configConfirmationTTL)
		i.mu.Unlock()
		if earliest := began.Add(minCancelableReadAge); deadline.Before(earliest) {
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

// registerConfigRead registers cancel as the way for restartConfigRead to cancel a read,
// until the returned function is called.
func (i *Instance) registerConfigRead(cancel context.CancelFunc) func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancelConfigRead, i.configReadBeganAt = cancel, time.Now()
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.cancelConfigRead = nil
	}
}

// restartConfigRead cancels the configuration read in progress if it is at least as old
// as age, so that the newest configuration is read instead. The store may never answer a
// read that was in progress during an outage, and a configuration written right after the
// outage would otherwise be seen only after the read's timeout.
func (i *Instance) restartConfigRead(age time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancelConfigRead != nil && time.Since(i.configReadBeganAt) >= age {
		i.cancelConfigRead()
	}
}

// configReadAge returns how long the configuration read in progress has taken, in
// milliseconds, -1 if there is none.
func (i *Instance) configReadAge() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancelConfigRead == nil {
		return -1
	}
	return ageMs(i.configReadBeganAt)
}
