package instance

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/exchange"
	"greengageferry/residency"
	"greengageferry/topology"
)

// holderListTTL is how long after the store last answered the lease holder the holder's
// list of servers replaces a read by this instance. The holder reads every 0.4 s and is
// synced with every 0.5 s, so the list is at most 1.3 s old. After holderListTTL an
// instance reads the store itself, and still learns that a server is leaving within the
// two seconds that the platform allows.
//
// Using the holder's list saves calls to the store: when 72 instances each read for
// themselves, they made 113 calls per second, whose cost was a tenth of the value of all
// callers' requests.
const holderListTTL = 1400 * time.Millisecond

// serverList is the instance's list of servers, either read from the store or copied from
// the lease holder or another instance. Both ways apply the same steps and so lead to the same lists. A
// digest identifies each list, so that two instances can compare theirs.
type serverList struct {
	log                  logrus.FieldLogger
	mu                   sync.Mutex
	fleet                *topology.Fleet
	readPosition         topology.Position // position in the store up to which the list was read
	asOf                 time.Time         // when the store confirmed the list, to this instance or another
	holderListValidUntil time.Time         // until then the list of the holder, or of another instance, replaces a read of the store
}

func newServerList(log logrus.FieldLogger) *serverList {
	return &serverList{log: log, fleet: topology.NewFleet(), readPosition: noPosition}
}

// holderListValid reports whether the holder's list replaces a read of the store.
func (l *serverList) holderListValid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.holderListValidUntil)
}

// fresh reports whether the list is recent enough to replace a read of the store, whether
// it came from the holder or not.
func (l *serverList) fresh(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.asOf) < holderListTTL
}

// invalidateHolderList makes the instance read the store next, after the holder is lost.
func (l *serverList) invalidateHolderList() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holderListValidUntil = time.Time{}
}

// ageSeconds returns the age of the list, -1 before the first.
func (l *serverList) ageSeconds() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(ageMs(l.asOf)) / 1000
}

// position returns where in the store the next read continues.
func (l *serverList) position() topology.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readPosition
}

// serversRead is the result of a read of the store.
type serversRead struct {
	from     topology.Position
	next     topology.Position
	snapshot bool // changes holds the newest entry of each server, not the changes after from
	changes  []topology.ServerChange
	// asOf is when the store gave the answer at the earliest. A process that stood still, or
	// a slow answer, must not make the list appear more recent than it is.
	asOf time.Time
}

// fromOtherEra reports whether the changes are from another era of the store than the
// position that they were read from, so that they can't be applied to the list.
func (r serversRead) fromOtherEra() bool {
	return !r.snapshot && r.next.Era != r.from.Era && r.next.Era != 0
}

// requireSnapshot makes the next read fetch the newest entry of each server.
func (l *serverList) requireSnapshot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readPosition = noPosition
}

// onStoreRestored makes the next read fetch the newest entry of each server after the
// store was restored from an older copy. Servers without an entry are kept for a while,
// since live ones write theirs again.
func (l *serverList) onStoreRestored(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readPosition = noPosition
	l.fleet.StoreRecovered(now)
}

// applyRead applies a read, and calls onChange after a snapshot or if anything but
// heartbeats changed.
func (l *serverList) applyRead(r serversRead, onChange func([]topology.Server)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isOutdated(r) {
		return
	}
	defer l.logKept(l.fleet.Kept(), r.next)
	var changed bool
	if r.snapshot {
		changed = l.fleet.Reset(r.asOf, r.changes)
	} else {
		changed = l.fleet.ApplyChanges(r.asOf, r.changes)
	}
	changed = l.fleet.RemoveExpired(r.asOf) || changed
	l.readPosition, l.asOf = r.next, later(l.asOf, r.asOf)
	if changed || r.snapshot {
		onChange(l.fleet.Servers())
	}
}

// isOutdated reports whether steps from another instance have moved the position past that
// of a read while the read was under way. The caller must hold mu.
func (l *serverList) isOutdated(r serversRead) bool {
	if r.snapshot {
		return r.next.Before(l.readPosition)
	}
	return r.from != l.readPosition
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// logKept logs the servers that have been kept without an entry, or no longer are, since
// the given ones were. The caller must hold mu.
func (l *serverList) logKept(before []string, at topology.Position) {
	kept := l.fleet.Kept()
	for _, id := range kept {
		if !slices.Contains(before, id) {
			l.log.WithFields(logrus.Fields{"server": id, "position": at.Offset}).Info("server kept without entry")
		}
	}
	for _, id := range before {
		if !slices.Contains(kept, id) {
			l.log.WithFields(logrus.Fields{"server": id, "listed": slices.Contains(l.fleet.IDs(), id)}).Info("server no longer kept without entry")
		}
	}
}

// nextExpiry returns when the first of the servers that are kept without an entry has been
// kept long enough; zero: there are none.
func (l *serverList) nextExpiry() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.NextExpiry()
}

// keptCount returns how many servers are kept without an entry.
func (l *serverList) keptCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fleet.Kept())
}

// onStoreReturn records that the store answers again after an outage. now is the assumed
// time of its return, see storeReturnLag.
func (l *serverList) onStoreReturn(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.StoreRecovered(now)
}

func (l *serverList) digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Digest()
}

// stepsSince returns the steps from the list with the given digest to the current one,
// with the loads of all servers if loads isn't nil. It returns nil if that list isn't
// among the recent ones that are kept.
func (l *serverList) stepsSince(now time.Time, digest uint64, loads map[string]residency.Load) *exchange.ServerSteps {
	l.mu.Lock()
	defer l.mu.Unlock()
	deltas, ok := l.fleet.DeltasSince(digest)
	if !ok || l.asOf.IsZero() {
		return nil
	}
	out := l.wireSteps(now, deltas)
	if loads == nil {
		return out
	}
	for _, id := range l.fleet.IDs() {
		out.Loads = append(out.Loads, uint32(loads[id].InFlight))
		out.UnreadTokens = append(out.UnreadTokens, uint32(loads[id].Unread))
		out.Contending = append(out.Contending, uint32(loads[id].Contending))
	}
	return out
}

// stepsOrAll returns the steps from another instance's list, given by its digest and
// position, to this one, or the whole list if the steps aren't kept. It returns nil if the
// other list is newer.
func (l *serverList) stepsOrAll(now time.Time, digest uint64, at topology.Position) *exchange.ServerSteps {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asOf.IsZero() || l.readPosition.Before(at) {
		return nil
	}
	if deltas, ok := l.fleet.DeltasSince(digest); ok {
		return l.wireSteps(now, deltas)
	}
	out := l.wireSteps(now, l.fleet.All())
	out.Full = true
	return out
}

// wireSteps encodes deltas that lead to the current list. The caller must hold mu.
func (l *serverList) wireSteps(now time.Time, deltas []topology.Delta) *exchange.ServerSteps {
	out := &exchange.ServerSteps{Digest: l.fleet.Digest(), Position: l.readPosition.Offset, Era: l.readPosition.Era, AgeMs: uint32(now.Sub(l.asOf).Milliseconds())}
	for n := range deltas {
		out.Steps = append(out.Steps, wireStep(&deltas[n]))
	}
	return out
}

// digestAndPosition identifies the list to another instance.
func (l *serverList) digestAndPosition() (uint64, topology.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Digest(), l.readPosition
}

// age returns how long ago the store confirmed the list, to this instance or another.
func (l *serverList) age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.asOf)
}

// applySteps applies the steps in another instance's response to a request that was sent
// at the given time and named the list with the given digest, and calls onChange if the
// list changed. It returns the loads by server, or nil if that instance's list differs from
// the resulting one.
func (l *serverList) applySteps(sent time.Time, asked uint64, steps *exchange.ServerSteps, onChange func([]topology.Server)) map[string]residency.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	stepsAsOf := sent.Add(-time.Duration(steps.GetAgeMs()) * time.Millisecond)
	if steps == nil {
		return nil
	}
	sameList := steps.GetFull() || l.fleet.Digest() == asked // a read may have changed it meanwhile
	if sameList && !stepsPosition(steps).Before(l.readPosition) {
		l.applyDeltas(sent, steps, stepsAsOf, onChange)
	}
	ids := l.fleet.IDs()
	if steps.GetDigest() != l.fleet.Digest() || len(steps.GetLoads()) != len(ids) || len(steps.GetUnreadTokens()) != len(ids) || len(steps.GetContending()) != len(ids) {
		return nil
	}
	loads := make(map[string]residency.Load, len(ids))
	for n, id := range ids {
		loads[id] = residency.Load{InFlight: int(steps.GetLoads()[n]), Unread: int(steps.GetUnreadTokens()[n]), Contending: int(steps.GetContending()[n])}
	}
	return loads
}

// maxListGap is the longest time without news of the list in which no entry can expire:
// servers write about once a second, and an entry expires after three missed times.
const maxListGap = 2 * time.Second

// applyDeltas applies another instance's steps, which were current at stepsAsOf. The caller
// must hold mu.
func (l *serverList) applyDeltas(now time.Time, steps *exchange.ServerSteps, stepsAsOf time.Time, onChange func([]topology.Server)) {
	if !l.asOf.IsZero() && stepsAsOf.Sub(l.asOf) > maxListGap {
		l.fleet.StoreRecovered(stepsAsOf) // an outage may have ended, as only the other instance noticed
	}
	deltas := make([]topology.Delta, 0, len(steps.GetSteps()))
	for _, s := range steps.GetSteps() {
		deltas = append(deltas, deltaFromWire(s))
	}
	before, from := l.fleet.Digest(), l.readPosition
	defer l.logKept(l.fleet.Kept(), from)
	apply := l.fleet.ApplyDeltas
	if steps.GetFull() {
		apply = l.fleet.ApplyAll
	}
	if apply(now, deltas, steps.GetDigest()) {
		l.readPosition, l.asOf = stepsPosition(steps), later(l.asOf, stepsAsOf)
		l.holderListValidUntil = later(l.holderListValidUntil, stepsAsOf.Add(holderListTTL))
	} else {
		l.readPosition, l.holderListValidUntil = noPosition, time.Time{}
	}
	expired := l.fleet.ExpireKept(stepsAsOf)
	if l.fleet.Digest() != before {
		l.log.WithFields(logrus.Fields{
			"from": from.Offset, "position": steps.GetPosition(), "changes": len(deltas), "age_ms": ageMs(stepsAsOf), "matches": l.fleet.Digest() == steps.GetDigest(),
		}).Info("server list taken from instance")
	}
	if expired || l.fleet.Digest() != before {
		onChange(l.fleet.Servers())
	}
}

// stepsPosition returns the position in the store that an instance's list is from.
func stepsPosition(steps *exchange.ServerSteps) topology.Position {
	return topology.Position{Era: steps.GetEra(), Offset: steps.GetPosition()}
}

// noPosition is the read position of a list that has to be read in full.
var noPosition = topology.Position{Offset: -1}

func wireStep(d *topology.Delta) *exchange.ServerStep {
	out := &exchange.ServerStep{Id: d.ID, Gone: d.Gone, NoEntry: d.NoEntry, Added: wireModels(d.Added), Lost: wireModels(d.Lost)}
	if s := d.Server; s != nil {
		out.NoEntry = s.NoEntry
		out.Server = &exchange.Server{
			Service: s.Service, Addr: s.Addr, FailureDomain: s.Domain, Slots: uint32(s.Slots), Leaving: s.Leaving,
			BornMs: s.Born.UnixMilli(), SoftwareVersion: s.SoftwareVersion, Models: wireModels(s.Models), OnDisk: s.OnDisk,
		}
	}
	return out
}

func deltaFromWire(s *exchange.ServerStep) topology.Delta {
	d := topology.Delta{ID: s.GetId(), Gone: s.GetGone(), NoEntry: s.GetNoEntry(), Added: modelsFromWire(s.GetAdded()), Lost: modelsFromWire(s.GetLost())}
	if w := s.GetServer(); w != nil {
		d.Server = &topology.Server{
			ID: s.GetId(), Service: w.GetService(), Addr: w.GetAddr(), Domain: w.GetFailureDomain(), Slots: int(w.GetSlots()),
			Leaving: w.GetLeaving(), Born: time.UnixMilli(w.GetBornMs()), Models: modelsFromWire(w.GetModels()), OnDisk: w.GetOnDisk(),
			NoEntry: s.GetNoEntry(), SoftwareVersion: w.GetSoftwareVersion(),
		}
		d.NoEntry = false // said by the description
	}
	return d
}

func wireModels(models []topology.HeldModel) []*exchange.HeldModel {
	var out []*exchange.HeldModel
	for _, m := range models {
		out = append(out, &exchange.HeldModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return out
}

func modelsFromWire(models []*exchange.HeldModel) []topology.HeldModel {
	var out []topology.HeldModel
	for _, m := range models {
		out = append(out, topology.HeldModel{Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters()})
	}
	return out
}
