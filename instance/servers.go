package instance

import (
	"sync"
	"time"

	"greengageferry/exchange"
	"greengageferry/residency"
	"greengageferry/topology"
)

// fedFor is how long after the store last answered the lease holder its list of
// servers stands in for a read of one's own. The holder reads every 0.4 s and is
// asked every 0.5 s, so the list is 1.3 s old at most; beyond fedFor an
// instance reads the store itself, and still knows a leaving server within the
// two seconds that the platform allows.
//
// It saves calls to the store: 72 instances that each read for themselves made
// 113 calls a second, a tenth of all that callers were worth.
const fedFor = 1400 * time.Millisecond

// serverList is the instance's list of servers: as it reads it in the store, or
// as the lease holder tells it. Both lead to the same lists, since both take the
// same steps; a digest says where two instances stand.
type serverList struct {
	mu       sync.Mutex
	fleet    *topology.Fleet
	at       topology.Position // of the store, up to which the list is read
	freshAt  time.Time         // when the store said so, to this instance or the holder
	fedUntil time.Time         // until then the holder's word stands in for a read
}

func newServerList() *serverList { return &serverList{fleet: topology.NewFleet(), at: unread} }

// fed says whether the holder's word stands in for a read.
func (l *serverList) fed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.fedUntil)
}

// fresh says whether the list is as new as a holder's word would be that stands
// in for a read.
func (l *serverList) fresh(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.freshAt) < fedFor
}

// unfed has the next list read in the store: the holder is lost.
func (l *serverList) unfed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fedUntil = time.Time{}
}

// ageSeconds returns how old the list is, -1 before the first.
func (l *serverList) ageSeconds() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(ageMs(l.freshAt)) / 1000
}

// position returns where in the store the next read goes on.
func (l *serverList) position() topology.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at
}

// read is what a read of the store brought.
type read struct {
	from    topology.Position
	next    topology.Position
	all     bool // the newest of each server, not what followed from
	changes []topology.ServerChange
}

// reread has the next read begin with the newest of each server.
func (l *serverList) reread() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = unread
}

// storeRestored has the next read begin with the newest of each server after the store was
// restored from an older copy. Servers without an entry are kept for a while, since live
// ones write theirs again.
func (l *serverList) storeRestored(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = unread
	l.fleet.StoreRecovered(now)
}

// take takes in a read, and hands the list on where anything but heartbeats changed.
func (l *serverList) take(now time.Time, r read, changedTo func([]topology.Server)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.all && r.from != l.at {
		return // the holder has told more meanwhile
	}
	var changed bool
	if r.all {
		changed = l.fleet.Reset(now, r.changes)
	} else {
		changed = l.fleet.ApplyChanges(now, r.changes)
	}
	changed = l.fleet.RemoveExpired(now) || changed
	l.at, l.freshAt = r.next, now
	if changed || r.all {
		changedTo(l.fleet.Servers())
	}
}

// storeBack notes that the store answers again after it didn't.
func (l *serverList) storeBack(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.StoreRecovered(now)
}

func (l *serverList) digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Digest()
}

// steps returns what an instance with a digest has to be told, with the loads of
// all servers where they are known; nil where its list isn't among the newest of this one.
func (l *serverList) steps(now time.Time, digest uint64, loads map[string]residency.Load) *exchange.ServerSteps {
	l.mu.Lock()
	defer l.mu.Unlock()
	deltas, ok := l.fleet.DeltasSince(digest)
	if !ok || l.freshAt.IsZero() {
		return nil
	}
	out := &exchange.ServerSteps{Digest: l.fleet.Digest(), Position: l.at.Offset, Era: l.at.Era, AgeMs: uint32(now.Sub(l.freshAt).Milliseconds())}
	for n := range deltas {
		out.Steps = append(out.Steps, stepOf(&deltas[n]))
	}
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

// follow takes in what the holder told, as an answer to a word that was sent at
// a time, and hands the list on where it changed. It returns the loads by server,
// nil where the holder's list isn't this one.
func (l *serverList) follow(sent time.Time, told *exchange.ServerSteps, changedTo func([]topology.Server)) map[string]residency.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := sent.Add(-time.Duration(told.GetAgeMs()) * time.Millisecond)
	if told == nil {
		return nil
	}
	if fresh.After(l.freshAt) {
		l.carryOut(told, fresh, changedTo)
	}
	ids := l.fleet.IDs()
	if told.GetDigest() != l.fleet.Digest() || len(told.GetLoads()) != len(ids) || len(told.GetUnreadTokens()) != len(ids) || len(told.GetContending()) != len(ids) {
		return nil
	}
	loads := make(map[string]residency.Load, len(ids))
	for n, id := range ids {
		loads[id] = residency.Load{InFlight: int(told.GetLoads()[n]), Unread: int(told.GetUnreadTokens()[n]), Contending: int(told.GetContending()[n])}
	}
	return loads
}

// carryOut takes the holder's steps, which are as old as fresh. The lock is held.
func (l *serverList) carryOut(told *exchange.ServerSteps, fresh time.Time, changedTo func([]topology.Server)) {
	deltas := make([]topology.Delta, 0, len(told.GetSteps()))
	for _, s := range told.GetSteps() {
		deltas = append(deltas, deltaOf(s))
	}
	before := l.fleet.Digest()
	if l.fleet.ApplyDeltas(deltas, told.GetDigest()) {
		l.at, l.freshAt, l.fedUntil = topology.Position{Era: told.GetEra(), Offset: told.GetPosition()}, fresh, fresh.Add(fedFor)
	} else {
		l.at, l.fedUntil = unread, time.Time{}
	}
	if l.fleet.Digest() != before {
		changedTo(l.fleet.Servers())
	}
}

// unread is the position of a list that has to be read anew.
var unread = topology.Position{Offset: -1}

func stepOf(d *topology.Delta) *exchange.ServerStep {
	out := &exchange.ServerStep{Id: d.ID, Gone: d.Gone, Added: wireModels(d.Added), Lost: wireModels(d.Lost)}
	if s := d.Server; s != nil {
		out.Server = &exchange.Server{
			Service: s.Service, Addr: s.Addr, FailureDomain: s.Domain, Slots: uint32(s.Slots), Leaving: s.Leaving,
			BornMs: s.Born.UnixMilli(), Models: wireModels(s.Models), OnDisk: s.OnDisk,
		}
	}
	return out
}

func deltaOf(s *exchange.ServerStep) topology.Delta {
	d := topology.Delta{ID: s.GetId(), Gone: s.GetGone(), Added: modelsOf(s.GetAdded()), Lost: modelsOf(s.GetLost())}
	if w := s.GetServer(); w != nil {
		d.Server = &topology.Server{
			ID: s.GetId(), Service: w.GetService(), Addr: w.GetAddr(), Domain: w.GetFailureDomain(), Slots: int(w.GetSlots()),
			Leaving: w.GetLeaving(), Born: time.UnixMilli(w.GetBornMs()), Models: modelsOf(w.GetModels()), OnDisk: w.GetOnDisk(),
		}
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

func modelsOf(models []*exchange.HeldModel) []topology.HeldModel {
	var out []topology.HeldModel
	for _, m := range models {
		out = append(out, topology.HeldModel{Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters()})
	}
	return out
}
