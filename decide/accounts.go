package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// accountsTTL is how long what all instances together have of accounts' requests is used.
	// After that an instance goes by its own requests.
	accountsTTL = 1500 * time.Millisecond
	// ownSharesInterval is the time between two computations of shares from an instance's own
	// requests.
	ownSharesInterval = 500 * time.Millisecond
	// contendedWaiting is the number of requests that lack room, as a fraction of those at
	// servers, from which a pool counts as full though it has free slots: its models may have
	// too few replicas.
	contendedWaiting = 0.1
	// idleFraction is the part of its slots up to which a server has room for requests of any
	// account.
	idleFraction = 0.25
	// accountDecay is the time constant of the arrivals that count toward an account's demand.
	accountDecay = 500 * time.Millisecond
	// shareDeviations is by how many standard deviations an account's demand may vary above its
	// share before it counts as over it.
	shareDeviations = 3.0
	// accountRetry is the earliest time, in seconds, after which the caller of a request over
	// its account's share may return.
	accountRetry = 1.0
)

// AccountDemand is what an instance, or all instances together, have of a client account's
// requests for a pool.
type AccountDemand struct {
	Account string
	Pool    string
	// Waiting is how many more would be at servers if these had room: those that arrived in the
	// time that a request takes there, less InFlight. It may be negative.
	Waiting  float64
	InFlight float64 // at servers
}

// wanted returns how many requests would be at servers if these had room. Unlike the length of a
// queue it doesn't grow while the demand stays the same.
func (d *AccountDemand) wanted() float64 { return d.Waiting + d.InFlight }

// accountPool identifies an account's requests for a pool.
type accountPool struct{ account, pool string }

// accountShares holds which part of their requests accounts may send while a pool is full.
// Accounts share it by weight over all instances, and what one doesn't use is lent to the others.
// Requests beyond that are refused on arrival, of each rank the same part: if the most urgent ones
// went first, an account that floods would fill the others' room for these.
type accountShares struct {
	weights map[string]float64 // see Table.AccountWeights
	// within is the fraction of its requests that an account may send; missing: all.
	within     map[accountPool]float64
	toldAt     time.Time     // when all instances' demands were last told; zero: never
	computedAt time.Time     // when within was last computed from own demands alone
	seenAt     time.Time     // time of the newest request or telling
	shed       []accountPool // over their share since lately: their queued requests are still to be judged
	arrivals   map[accountPool]*recentCount
}

// recentCount counts events, weighted by age with accountDecay.
type recentCount struct {
	value float64
	at    time.Time
}

func (c *recentCount) add(now time.Time) { c.value, c.at = c.current(now)+1, now }

func (c *recentCount) current(now time.Time) float64 {
	return c.value * math.Exp(-max(now.Sub(c.at), 0).Seconds()/accountDecay.Seconds())
}

// rate returns the events per second.
func (c *recentCount) rate(now time.Time) float64 { return c.current(now) / accountDecay.Seconds() }

// setWeights applies the weights of a new routing table.
func (a *accountShares) setWeights(weights map[string]float64) {
	a.weights = weights
	if weights == nil {
		*a = accountShares{}
		return
	}
	if a.arrivals == nil {
		a.arrivals = map[accountPool]*recentCount{}
	}
	for k := range a.arrivals {
		if _, ok := weights[k.account]; !ok {
			delete(a.arrivals, k)
		}
	}
}

// weight returns the account's weight.
func (a *accountShares) weight(account string) float64 {
	if w := a.weights[account]; w > 0 {
		return w
	}
	return 1
}

// noteArrival counts a new request.
func (a *accountShares) noteArrival(now time.Time, k accountPool) {
	a.seenAt = now
	if a.arrivals[k] == nil {
		a.arrivals[k] = &recentCount{}
	}
	a.arrivals[k].add(now)
}

// overShare reports whether a new request is to be refused since its account has more than its
// share of the pool.
func (s *Scheduler) overShare(now time.Time, req *requestState) bool {
	a := &s.accounts
	if a.weights == nil || req.Account == "" {
		return false
	}
	k := accountPool{req.Account, req.target.Pool}
	a.noteArrival(now, k)
	if now.Sub(a.toldAt) > accountsTTL && now.Sub(a.computedAt) >= ownSharesInterval {
		s.computeOwnShares(now)
	}
	return s.drawOver(k) && !s.hasIdleReplica(now, req.target)
}

// hasIdleReplica reports whether one of some replicas of the target has less than idleFraction of
// its slots taken: nobody competes for the target then, though the pool as a whole is full.
func (s *Scheduler) hasIdleReplica(now time.Time, t *targetState) bool {
	n := len(t.replicas)
	if n == 0 {
		return false
	}
	offset := s.rng.IntN(n)
	for i := range min(n, sampleSize) {
		srv := t.replicas[(offset+i)%n].server
		known := srv.listed && !srv.Leaving && srv.available(now) && now.Sub(srv.reportedAt) <= accountsTTL
		if known && srv.load(now) < idleFraction*float64(srv.Slots) {
			return true
		}
	}
	return false
}

// drawOver decides by chance whether a request is over its account's share.
func (s *Scheduler) drawOver(k accountPool) bool {
	within, limited := s.accounts.within[k]
	return limited && s.rng.Float64() >= within
}

// shedOverShare refuses queued requests of accounts that exceed their share since lately: they
// arrived before that was known.
func (s *Scheduler) shedOverShare(now time.Time) {
	over := s.accounts.shed
	if len(over) == 0 {
		return
	}
	s.accounts.shed = s.accounts.shed[:0]
	for _, t := range s.fleet.sortedTargets {
		s.sorted = t.queue.sorted(s.sorted[:0])
		for _, req := range s.sorted {
			k := accountPool{req.Account, t.Pool}
			if slices.Contains(over, k) && s.drawOver(k) && !s.hasIdleReplica(now, t) {
				s.removeQueued(req)
				s.refuseOverShare(now, req)
			}
		}
	}
}

func (s *Scheduler) refuseOverShare(now time.Time, req *requestState) {
	s.refuse(req, ReasonAccountShare, req.target.returns.next(now, accountRetry, s.minSendInterval(now, req.target)))
}

// AccountDemands returns what this instance has of client accounts' requests.
func (s *Scheduler) AccountDemands() []AccountDemand {
	if s.accounts.weights == nil {
		return nil
	}
	byKey := map[accountPool]AccountDemand{}
	for _, req := range s.requests {
		if req.Account == "" || req.target == nil || req.dispatchedTo == nil {
			continue
		}
		k := accountPool{req.Account, req.target.Pool}
		d := byKey[k]
		d.InFlight++
		byKey[k] = d
	}
	for k, n := range s.accounts.arrivals {
		if p := s.fleet.pools[k.pool]; p != nil && p.held.warm() {
			d := byKey[k]
			d.Waiting = n.rate(s.accounts.seenAt)*p.held.mean - d.InFlight
			byKey[k] = d
		}
	}
	out := make([]AccountDemand, 0, len(byKey))
	for k, d := range byKey {
		d.Account, d.Pool = k.account, k.pool
		out = append(out, d)
	}
	slices.SortFunc(out, compareAccountDemands)
	return out
}

func compareAccountDemands(a, b AccountDemand) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Account, b.Account))
}

// UpdateAccounts handles what all instances together, this one included, have of client accounts'
// requests. It replaces what was told earlier.
func (s *Scheduler) UpdateAccounts(now time.Time, demands []AccountDemand) {
	s.accounts.seenAt = now
	if s.accounts.weights == nil || len(demands) == 0 {
		return
	}
	s.accounts.toldAt = now
	slots := s.slotsByPool()
	s.accounts.compute(demands, func(pool string, of []AccountDemand) float64 {
		return s.accounts.toldCapacity(of, slots[pool].all)
	})
}

// poolSlots are the slots of a pool's servers.
type poolSlots struct {
	all float64
	own float64 // this instance's part, if all instances compete for them
}

func (s *Scheduler) slotsByPool() map[string]poolSlots {
	out := map[string]poolSlots{}
	for _, srv := range s.fleet.servers {
		if !srv.listed || srv.Leaving {
			continue
		}
		p := out[srv.Pool]
		p.all += float64(srv.Slots)
		p.own += float64(srv.Slots) / float64(max(srv.quota.instances, 1))
		out[srv.Pool] = p
	}
	return out
}

// computeOwnShares computes the shares from this instance's own requests: without a lease holder
// nothing else is known.
func (s *Scheduler) computeOwnShares(now time.Time) {
	s.accounts.computedAt = now
	queued, slots := map[string]int{}, s.slotsByPool()
	for _, t := range s.fleet.sortedTargets {
		queued[t.Pool] += t.queue.len()
	}
	s.accounts.compute(s.AccountDemands(), func(pool string, of []AccountDemand) float64 {
		switch inFlight := sumInFlight(of); {
		case float64(queued[pool]) > contendedWaiting*inFlight:
			return inFlight
		case inFlight > slots[pool].own: // some wait at the servers
			return slots[pool].own
		}
		return math.Inf(1)
	})
}

// toldCapacity returns how many requests of a pool can be at its servers. If requests of accounts
// within their share wait although slots are free, it is what the servers have now.
func (a *accountShares) toldCapacity(demands []AccountDemand, slots float64) float64 {
	level, waiting := a.level(demands, slots), 0.0
	for i := range demands {
		if d := &demands[i]; d.wanted() <= mayVaryTo(level*a.weight(d.Account)) {
			waiting += d.Waiting
		}
	}
	if inFlight := sumInFlight(demands); waiting > contendedWaiting*inFlight+shareDeviations*math.Sqrt(inFlight) {
		return min(inFlight, slots)
	}
	return slots
}

func sumInFlight(demands []AccountDemand) float64 {
	sum := 0.0
	for i := range demands {
		sum += demands[i].InFlight
	}
	return sum
}

// compute replaces the accounts' fractions. capacity returns how many requests of a pool can be at
// its servers, given the demands for it.
func (a *accountShares) compute(demands []AccountDemand, capacity func(pool string, of []AccountDemand) float64) {
	before := a.within
	a.within, a.shed = map[accountPool]float64{}, a.shed[:0]
	sorted := slices.SortedFunc(slices.Values(demands), compareAccountDemands)
	for len(sorted) > 0 {
		pool := sorted[0].Pool
		n := slices.IndexFunc(sorted, func(d AccountDemand) bool { return d.Pool != pool })
		if n < 0 {
			n = len(sorted)
		}
		of := sorted[:n]
		level := a.level(of, capacity(pool, of))
		for i := range of {
			d := &of[i]
			if share := level * a.weight(d.Account); d.wanted() > mayVaryTo(share) {
				k := accountPool{d.Account, pool}
				a.within[k] = share / d.wanted() * min(share/max(d.InFlight, 1), 1)
				if _, known := before[k]; !known {
					a.shed = append(a.shed, k)
				}
			}
		}
		sorted = sorted[n:]
	}
}

// mayVaryTo returns up to how many requests an account may have that doesn't exceed its share.
func mayVaryTo(share float64) float64 { return share + shareDeviations*math.Sqrt(share) }

// level returns how many requests, for each unit of weight, accounts may have at servers with the
// capacity: by max-min fairness, so that the demand of those who want less is met in full. It is at
// least what the median account wants: where all want more than there is, none is over its share.
func (a *accountShares) level(demands []AccountDemand, capacity float64) float64 {
	type account struct{ wanted, weight float64 }
	var all []account
	weights := 0.0
	for i := range demands {
		w := a.weight(demands[i].Account)
		all = append(all, account{demands[i].wanted(), w})
		weights += w
	}
	slices.SortFunc(all, func(x, y account) int { return cmp.Compare(x.wanted/x.weight, y.wanted/y.weight) })
	median := 0.0
	if len(all) > 0 {
		m := all[(len(all)-1)/2]
		median = m.wanted / m.weight
	}
	for _, x := range all {
		if x.wanted*weights > capacity*x.weight {
			return max(capacity/weights, median)
		}
		capacity -= x.wanted
		weights -= x.weight
	}
	return math.Inf(1)
}

// OverShare is an account that has more than its share of a pool.
type OverShare struct {
	Account string
	Pool    string
	Within  float64 // fraction of its requests that it may send
}

// AccountsOverShare returns the accounts that are over their share of some pool, those with the
// smallest fraction first.
func (s *Scheduler) AccountsOverShare() []OverShare {
	out := make([]OverShare, 0, len(s.accounts.within))
	for k, within := range s.accounts.within {
		out = append(out, OverShare{k.account, k.pool, within})
	}
	slices.SortFunc(out, func(a, b OverShare) int {
		return cmp.Or(cmp.Compare(a.Within, b.Within), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Account, b.Account))
	})
	return out
}
