package instance

import (
	"time"

	"github.com/sirupsen/logrus"
)

// eraStatus is the result of comparing a reported store era with the known one.
type eraStatus int

const (
	eraCurrent  eraStatus = iota // equal to the known era, the first one, or not reported
	eraAdvanced                  // newer than the known era
	eraStale                     // older than the known era: data that comes with it must be ignored
)

// observeEra processes the store era that the store or another instance reported; 0 means
// not reported. A newer era means that the store was restored from an older copy: positions
// and confirmations are invalidated and everything is read again. The configuration in
// force stays, and servers without an entry are kept for a while.
func (i *Instance) observeEra(era int64, reportedBy string) eraStatus {
	i.mu.Lock()
	old := i.era
	switch {
	case era < old:
		status := eraStale
		if era == 0 {
			status = eraCurrent
		}
		if i.eraWarned != old && (era != 0 || reportedBy == "store") {
			i.eraWarned = old
			i.log.WithFields(logrus.Fields{"era": old, "reported": era, "reported_by": reportedBy}).Warn("store era missing or older than the known one")
		}
		i.mu.Unlock()
		return status
	case era == old:
		i.mu.Unlock()
		return eraCurrent
	}
	i.era = era
	if old == 0 { // the first known era
		i.mu.Unlock()
		return eraCurrent
	}
	i.log.WithFields(logrus.Fields{
		"era": era, "before": old, "reported_by": reportedBy, "servers": len(i.listed), "confirmed_ms": ageMs(i.configConfirmedAt),
	}).Warn("store restored from an older copy")
	i.configConfirmedAt, i.peerStatus.confirmedAt = time.Time{}, time.Time{}
	if i.cancelConfigRead != nil {
		i.cancelConfigRead()
	}
	i.mu.Unlock()
	i.metrics.storeEras.Inc()
	i.lease.ObserveEra(era)
	i.servers.onStoreRestored(time.Now())
	return eraAdvanced
}

// storeEra returns the newest known era of the store, 0 if none is known.
func (i *Instance) storeEra() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.era
}
