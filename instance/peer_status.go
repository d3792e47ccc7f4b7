package instance

import (
	"time"

	"greengageferry/exchange"
)

// maxHolderAge is the age of the lease holder's last answer beyond which nothing is asked of it
// or reported to it: two intervals of Sync.
const maxHolderAge = time.Second

// peerStatus is what the lease holder or a candidate reported in its last Sync response.
type peerStatus struct {
	receivedAt time.Time
	version    int64  // the newest version that the peer knows of
	storeDown  bool   // the peer doesn't reach the platform's store
	holder     string // the holder's address; empty: the peer isn't the holder
	// confirmedAt is when the store confirmed to the peer that no version newer than
	// version existed; zero: not reported.
	confirmedAt time.Time
}

// peerStatusFromWire returns the status reported in the response to a request sent at the
// given time. holder is the address of the responding instance if it holds the lease,
// empty otherwise. The confirmation's age is subtracted from the time of sending, so that
// the time in transit never makes it appear more recent.
func peerStatusFromWire(sent time.Time, res *exchange.SyncResponse, holder string) peerStatus {
	status := peerStatus{receivedAt: time.Now(), version: res.GetConfigVersion(), storeDown: res.GetStoreDown(), holder: holder}
	if res.ConfigAgeMs != nil {
		status.confirmedAt = sent.Add(-time.Duration(res.GetConfigAgeMs()) * time.Millisecond)
	}
	return status
}

// setPeerStatus records what another instance reported.
func (i *Instance) setPeerStatus(status peerStatus) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.peerStatus = status
	if i.view.Config != nil && i.view.Config.Version >= status.version && status.confirmedAt.After(i.configConfirmedAt) {
		i.configConfirmedAt = status.confirmedAt
	}
}

// confirmedConfig returns the version of the configuration in force and how long ago the
// store last confirmed that it was the newest, in milliseconds; 0 and nil before the
// first confirmation. Both are read under one lock, so that the confirmation of a newer
// version is never reported with an older one.
func (i *Instance) confirmedConfig() (version int64, configAgeMs *uint32) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.view.Config == nil || i.configConfirmedAt.IsZero() {
		return 0, nil
	}
	age := uint32(ageMs(i.configConfirmedAt))
	return i.view.Config.Version, &age
}

// recentHolder returns the address of the lease holder, "" if none has answered lately.
func (i *Instance) recentHolder() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.peerStatus.receivedAt) > maxHolderAge {
		return ""
	}
	return i.peerStatus.holder
}
