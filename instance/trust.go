package instance

import (
	"time"

	"greengageferry/relay"
)

// trustMargin is subtracted from the bounds on the configuration's age: a decision takes
// effect a little after it is made.
const trustMargin = 200 * time.Millisecond

// configTrust returns what the age of the configuration in force allows. The age counts
// from the store's last confirmation, to this instance or to one that reported it, that no
// newer one existed.
func (i *Instance) configTrust() relay.ConfigTrust {
	n := i.node.Load()
	i.mu.Lock()
	age := time.Since(i.configConfirmedAt)
	i.mu.Unlock()
	return relay.ConfigTrust{
		MayReject: n.ConfigBound == 0 || age < n.ConfigBound-trustMargin,
		MayAccept: n.RevocationBound == 0 || age < n.RevocationBound-trustMargin,
	}
}
