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
	// storeProbeInterval is how often an instance that can't reach the store checks
	// whether the store is back, while an instance that reaches it reports what is new
	// there. When a third of 295 instances each retried twice per second, their retries
	// were a large part of a day's calls.
	storeProbeInterval = 3 * time.Second
	// minServersReadInterval is the minimum time between two reads of servers' entries,
	// which return at the next change. A leaving server must be known within two seconds.
	minServersReadInterval = 400 * time.Millisecond
	// manyInstances is the number of instances up to which each reads the entries at
	// minServersReadInterval. With more instances the interval grows, by a factor of at
	// most maxReadIntervalFactor, since the store allows so many calls in all.
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
	// maxLoggedEntries is the number of unusable entries of one read that are logged one by one,
	// and maxLoggedError the length of the error logged for each, in bytes. Other programs write
	// the entries, so that neither is bounded otherwise.
	maxLoggedEntries = 4
	maxLoggedError   = 200
)

// followServers is the duty that follows the servers' entries. It skips reads of the
// store while the lease holder, which reads for all instances, supplies the list. During
// an outage of the store it keeps probing whether the store is back.
func (i *Instance) followServers(ctx context.Context) error {
	var reads storeReads
	defer reads.wait()
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
		r, err := i.readServers(ctx, &reads, immediate)
		i.metrics.observeStoreCall("servers", began, err)
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
		if i.observeEra(r.next.Era, "store") == eraStale || r.fromOtherEra() {
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
	return i.lease.Competes() || i.instanceCount() <= manyInstances || !i.servers.fresh(now)
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
func (i *Instance) readServers(ctx context.Context, reads *storeReads, immediate bool) (serversRead, error) {
	wait, timeout := time.Duration(0), newestReadTimeout
	read := i.readNewestServers
	if pos := i.servers.position(); pos != noPosition {
		wait = i.untilExpiry(i.nextServersWait(immediate))
		timeout = wait + readTimeoutMargin
		read = func(ctx context.Context) (serversRead, error) { return i.readNextServers(ctx, pos, wait) }
	}
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return readUntil(ctx, waitCtx, i, reads, read, i.applyLateServers)
}

// readNewestServers reads all servers' entries.
func (i *Instance) readNewestServers(ctx context.Context) (serversRead, error) {
	began := time.Now()
	changes, next, err := i.opts.Source.NewestServers(ctx)
	return serversRead{snapshot: true, next: next, changes: changes, asOf: began}, err
}

// readNextServers waits for servers' entries at the given position or later.
func (i *Instance) readNextServers(ctx context.Context, pos topology.Position, wait time.Duration) (serversRead, error) {
	began := time.Now()
	changes, next, err := i.opts.Source.NextServers(ctx, pos, wait)
	asOf := time.Now()
	if waitEnd := began.Add(wait); asOf.After(waitEnd) {
		asOf = waitEnd // the store answers by then
	}
	return serversRead{from: pos, next: next, changes: changes, asOf: asOf}, err
}

// applyLateServers applies the answer of a read that is no longer waited for.
func (i *Instance) applyLateServers(r serversRead) {
	if i.observeEra(r.next.Era, "store") == eraStale || r.fromOtherEra() {
		return
	}
	i.logUnusableEntries(r.changes)
	i.servers.applyRead(r, i.setServers)
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

func (i *Instance) logUnusableEntries(changes []topology.ServerChange) {
	unusable := 0
	for _, c := range changes {
		if c.Err == nil {
			continue
		}
		if unusable++; unusable <= maxLoggedEntries {
			i.log.WithFields(logrus.Fields{"server": c.ID, "error": truncate(c.Err.Error(), maxLoggedError)}).Warn("server entry not usable")
		}
	}
	if unusable > maxLoggedEntries {
		i.log.WithField("entries", unusable).Warn("more server entries not usable")
	}
}

// truncate returns at most the first n bytes of text.
func truncate(text string, n int) string { return text[:min(n, len(text))] }

func isOutOfRange(err error) bool {
	var e *infra.Error
	return errors.As(err, &e) && e.Reason == infra.ReasonOutOfRange
}
