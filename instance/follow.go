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
	// storeProbeInterval is how often an instance that can't reach the store checks
	// whether the store is back, while an instance that reaches it reports what is new
	// there. When a third of 295 instances each retried twice per second, their retries
	// were a large part of a day's calls.
	storeProbeInterval = 3 * time.Second
	// minConfirmedConfigReadInterval replaces minConfigReadInterval while another
	// instance reports new versions. It is longer than the interval between two syncs, so
	// that a burst of changes needs only a few reads.
	minConfirmedConfigReadInterval = 600 * time.Millisecond
	// minServersReadInterval is the minimum time between two reads of servers' entries.
	// Each server writes about once per second, so without a minimum the reads, which
	// return at the next change, would return dozens of times per second. A leaving
	// server must be known within two seconds.
	minServersReadInterval = 400 * time.Millisecond
	// minCancelableReadAge is the minimum age at which a read is canceled because other
	// instances have a newer configuration. A read that is only slow, on a link that
	// takes a second for a dozen large configurations, must not be canceled repeatedly.
	minCancelableReadAge = 1500 * time.Millisecond
	// manyInstances is the number of instances up to which each reads the entries at
	// minServersReadInterval. With more instances the interval grows, by a factor of at
	// most maxReadIntervalFactor: 72 instances made 220 calls per second to the store,
	// nearly all of them such reads. A leaving server is still known well within two
	// seconds.
	manyInstances         = 12
	maxReadIntervalFactor = 3.0
	// serversWait is how long one read waits for entries, and readTimeoutMargin how much
	// longer a read may take. Together they bound the time until an outage of the store,
	// or its end, is noticed.
	serversWait       = 800 * time.Millisecond
	readTimeoutMargin = 800 * time.Millisecond
	// serversWaitHolder replaces serversWait on the lease holder. The list that it passes
	// to others must not be older than holderListTTL when all servers write at the same
	// time.
	serversWaitHolder = 300 * time.Millisecond
	// storeReturnLag is the assumed time from the start of the last failed read until the
	// store became reachable again. The actual time may be anywhere up to the first
	// successful read, which is up to two seconds later. Servers whose entries
	// disappeared are kept for two seconds from the assumed time; three seconds after the
	// store's return, when the bound on leaving servers applies again, they must no
	// longer be used.
	storeReturnLag = 400 * time.Millisecond
	// readCheckInterval is how often an instance that gets its data from another one
	// checks whether it has to read the store itself.
	readCheckInterval = 100 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the backoff after failed reads.
	minReadBackoff = 100 * time.Millisecond
	maxReadBackoff = 800 * time.Millisecond
	// newestReadTimeout bounds a read of the newest configuration or of all servers'
	// entries. It leaves time for a second read if one sent just before the store's
	// return is never answered.
	newestReadTimeout = 2 * time.Second
)

// followConfig is the duty that follows the operators' configuration.
func (i *Instance) followConfig(ctx context.Context) error {
	var pos topology.Position
	failures := 0 // consecutive
	for newest := true; ctx.Err() == nil; {
		if i.configConfirmedByPeer(time.Now()) {
			if !i.configBehind() {
				supervise.Pause(ctx, readCheckInterval)
				continue
			}
			newest = true // there may be many unread versions, and only the newest counts
		}
		began := time.Now()
		res, err := i.readConfig(ctx, pos, newest)
		i.metrics.observeStoreCall("config", began)
		if err != nil {
			newest = newest || isOutOfRange(err)
			if errors.Is(err, context.Canceled) {
				if ctx.Err() == nil {
					i.logCanceledConfigRead(began)
				}
				newest = true // there may be many unread versions of the same size, and only the newest counts
				continue
			}
			i.storeFailed("config", err)
			failures++
			supervise.Pause(ctx, supervise.Backoff(minReadBackoff, maxReadBackoff, failures)-time.Since(began))
			continue
		}
		i.storeAnswered()
		if i.observeEra(res.next.Era, "store") == eraStale {
			newest = true
			failures++
			supervise.Pause(ctx, supervise.Backoff(minReadBackoff, maxReadBackoff, failures))
			continue
		}
		failures = 0
		if !newest && res.next.Era != pos.Era && res.next.Era != 0 {
			newest = true // the answer's era isn't the position's, so reading can't continue from there
			supervise.Pause(ctx, minReadBackoff)
			continue
		}
		pos = res.next
		newest = false
		if res.config != nil {
			i.setConfig(res.config)
		}
		i.noteConfigConfirmed(res.confirmedAt)
		supervise.Pause(ctx, i.configReadInterval())
	}
	return nil
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
	if i.lease.Stands() || i.instanceCount() <= manyInstances {
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
func (i *Instance) readConfig(ctx context.Context, pos topology.Position, newest bool) (configResult, error) {
	began := time.Now()
	if newest {
		ctx, cancel := context.WithTimeout(ctx, newestReadTimeout)
		defer cancel()
		defer i.registerConfigRead(cancel)()
		c, next, err := i.opts.Source.NewestConfig(ctx)
		return configResult{config: c, next: next, confirmedAt: began}, err
	}
	wait := i.nextConfigWait(began)
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	defer i.registerConfigRead(cancel)()
	go i.cancelUnconfirmedRead(ctx, cancel)
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

// nextConfigWait returns how long a read that begins at now waits for a configuration.
func (i *Instance) nextConfigWait(now time.Time) time.Duration {
	competes, holds := i.lease.Stands(), i.lease.Holds()
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

// followServers is the duty that follows the servers' entries. It skips reads of the
// store while the lease holder, which reads for all instances, supplies the list. During
// an outage of the store it keeps probing whether the store is back.
func (i *Instance) followServers(ctx context.Context) error {
	failures := 0                 // consecutive
	var failedReadBegan time.Time // when the last failed read began
	immediate := true             // the next read must not wait for new entries
	for ctx.Err() == nil {
		if !i.shouldReadServers(time.Now()) {
			failures, immediate = 0, true
			supervise.Pause(ctx, readCheckInterval)
			continue
		}
		began := time.Now()
		r, err := i.readServers(ctx, immediate)
		i.metrics.observeStoreCall("servers", began)
		if err != nil {
			if isOutOfRange(err) {
				i.servers.requireSnapshot()
			}
			i.storeFailed("servers", err)
			failures++
			failedReadBegan, immediate = began, true
			supervise.Pause(ctx, supervise.Backoff(minReadBackoff, maxReadBackoff, failures))
			continue
		}
		if i.observeEra(r.next.Era, "store") == eraStale || !r.snapshot && r.next.Era != r.from.Era && r.next.Era != 0 {
			i.servers.requireSnapshot()
			supervise.Pause(ctx, minReadBackoff)
			continue
		}
		if failures > 0 {
			failures = 0
			i.servers.onStoreReturn(failedReadBegan.Add(storeReturnLag))
			i.restartConfigRead(0)
		}
		i.storeAnswered()
		immediate = false
		i.logUnusableEntries(r.changes)
		i.servers.applyRead(r, i.setServers)
		supervise.Pause(ctx, i.untilExpiry(i.minServersReadInterval()))
	}
	return nil
}

// untilExpiry returns the duration, shortened to end when a server that is kept without an
// entry has been kept long enough. Only a read after that moment ends its use.
func (i *Instance) untilExpiry(d time.Duration) time.Duration {
	expiry := i.servers.nextExpiry()
	if expiry.IsZero() {
		return d
	}
	return min(d, max(time.Until(expiry), 0))
}

// shouldReadServers reports whether this instance has to read the servers' entries itself
// now. The lease holder reads for all instances; without a holder the candidates do. With
// many instances, one that has just read the entries waits for a peer's list before
// reading again.
func (i *Instance) shouldReadServers(now time.Time) bool {
	if i.lease.Holds() {
		return true
	}
	holderListValid := i.servers.holderListValid(now)
	if i.storeIsDown() {
		return !holderListValid || !i.configConfirmedByPeer(now)
	}
	if holderListValid {
		return false
	}
	return i.lease.Stands() || i.instanceCount() <= manyInstances || !i.servers.fresh(now)
}

// minServersReadInterval returns the minimum time between this instance's reads of the
// servers' entries.
func (i *Instance) minServersReadInterval() time.Duration {
	if i.lease.Holds() {
		return minServersReadInterval // all other instances depend on the holder's reads
	}
	return serversReadIntervalFor(i.instanceCount())
}

// serversReadIntervalFor returns the minimum time between two reads of servers' entries
// for a number of instances.
func serversReadIntervalFor(instances int) time.Duration {
	factor := min(max(float64(instances)/manyInstances, 1), maxReadIntervalFactor)
	return time.Duration(factor * float64(minServersReadInterval))
}

// instanceCount returns the known or assumed number of live instances.
func (i *Instance) instanceCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view.Instances()
}

// readServers reads the servers' entries from the known position on, or all of them if
// there is none. If immediate is set, the read doesn't wait for new entries and times out
// sooner: an unanswered read must not hide for long that a server is leaving.
func (i *Instance) readServers(ctx context.Context, immediate bool) (serversRead, error) {
	pos, began := i.servers.position(), time.Now()
	if pos == noPosition {
		ctx, cancel := context.WithTimeout(ctx, newestReadTimeout)
		defer cancel()
		changes, next, err := i.opts.Source.NewestServers(ctx)
		return serversRead{snapshot: true, next: next, changes: changes, asOf: began}, err
	}
	wait := i.untilExpiry(i.nextServersWait(immediate))
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	changes, next, err := i.opts.Source.NextServers(ctx, pos, wait)
	asOf := time.Now()
	if waitEnd := began.Add(wait); asOf.After(waitEnd) {
		asOf = waitEnd // the store answers by then
	}
	return serversRead{from: pos, next: next, changes: changes, asOf: asOf}, err
}

// nextServersWait returns how long a read of servers' entries waits for new ones.
func (i *Instance) nextServersWait(immediate bool) time.Duration {
	switch {
	case immediate:
		return 0
	case i.lease.Holds():
		return serversWaitHolder
	}
	return serversWait
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

func (i *Instance) logUnusableEntries(changes []topology.ServerChange) {
	for _, c := range changes {
		if c.Err != nil {
			i.log.WithFields(logrus.Fields{"server": c.ID, "error": c.Err}).Warn("server entry not usable")
		}
	}
}

func isOutOfRange(err error) bool {
	var e *infra.Error
	return errors.As(err, &e) && e.Reason == infra.ReasonOutOfRange
}
