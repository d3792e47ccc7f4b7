package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// accountsTTL is how long the demand of accounts at all instances is used after it was received.
	// After that an instance computes shares from its own requests.
	accountsTTL = 1500 * time.Millisecond
	// ownSharesInterval is the time between two computations of shares from an instance's own
	// requests.
	ownSharesInterval = 500 * time.Millisecond
	// contendedWaiting is the number of waiting requests, as a fraction of those at servers, above
	// which a pool counts as full though it has free slots: its models may have too few replicas.
	contendedWaiting = 0.1
	// idleFraction is the fraction of its slots in use below which a server takes requests of any
	// account.
	idleFraction = 0.25
	// accountDecay is the time constant with which past arrivals lose weight in an account's demand.
	accountDecay = 500 * time.Millisecond
	// shareDeviations is the number of standard deviations of a Poisson count by which an account's
	// demand may exceed its share without being limited.
	shareDeviations = 3.0
	// accountRetry is the least retry delay, in seconds, of a request refused for its account's share.
	accountRetry = 1.0
)

// AccountDemand is a client account's demand for a pool, as seen by one instance or by all
// instances together. Counts are in requests.
type AccountDemand struct {
	Account string
	Pool    string
	// Waiting is how many more requests would be at servers if these had free slots: the arrivals
	// within the mean time that a request holds its slot, less InFlight. It may be negative.
	Waiting  float64
	InFlight float64 // requests at servers
}

// wanted returns how many requests would be at servers if these had free slots. Unlike the length
// of a queue it doesn't grow while the arrival rate stays the same.
func (d *AccountDemand) wanted() float64 { return d.Waiting + d.InFlight }

// accountPool identifies an account's requests for a pool.
type accountPool struct{ account, pool string }

// accountShares holds the fraction of its requests that each account may send while a pool is full.
// Accounts share the pool by weight over all instances, and the others may use what one leaves
// unused. Requests beyond the share are refused on arrival, the same fraction of each rank: if the
// most urgent ones were kept, an account with too many of them would take the other accounts' slots
// for urgent requests.
type accountShares struct {
	weights map[string]float64 // see Table.AccountWeights
	// allowedFraction is the fraction of its requests that an account may send; missing: all.
	allowedFraction map[accountPool]float64
	receivedAt      time.Time     // when the demand at all instances was last received; zero: never
	computedAt      time.Time     // when allowedFraction was last computed from own demand alone
	seenAt          time.Time     // time of the newest request or report
	newlyLimited    []accountPool // limited by the newest computation only: their queued requests are still to be checked
	arrivals        map[accountPool]*recentCount
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

// countArrival counts a new request.
func (a *accountShares) countArrival(now time.Time, k accountPool) {
	a.seenAt = now
	if a.arrivals[k] == nil {
		a.arrivals[k] = &recentCount{}
	}
	a.arrivals[k].add(now)
}

// overShare counts a new request and reports whether it is to be refused because its account exceeds
// its share of the pool.
func (s *Scheduler) overShare(now time.Time, req *requestState) bool {
	a := &s.accounts
	if a.weights == nil || req.Account == "" {
		return false
	}
	k := accountPool{req.Account, req.target.Pool}
	a.countArrival(now, k)
	if now.Sub(a.receivedAt) > accountsTTL && now.Sub(a.computedAt) >= ownSharesInterval {
		s.computeOwnShares(now)
	}
	return s.drawOverShare(k) && !s.hasIdleReplica(now, req.target)
}

// hasIdleReplica reports whether one of up to sampleSize replicas of the target uses less than
// idleFraction of its slots: no account competes for the target then, though the pool as a whole is
// full.
func (s *Scheduler) hasIdleReplica(now time.Time, t *targetState) bool {
	n := len(t.replicas)
	if n == 0 {
		return false
	}
	offset := s.rng.IntN(n)
	for i := range min(n, sampleSize) {
		replica := t.replicas[(offset+i)%n]
		srv := replica.server
		known := srv.listed && !srv.Leaving && srv.available(now) && now.Sub(srv.reportedAt) <= accountsTTL
		if known && replica.isResident(now, t) && srv.load(now) < idleFraction*float64(srv.Slots) {
			return true
		}
	}
	return false
}

// drawOverShare decides at random whether a request is beyond its account's share, so that the
// allowed fraction of the account's requests isn't.
func (s *Scheduler) drawOverShare(k accountPool) bool {
	allowed, limited := s.accounts.allowedFraction[k]
	return limited && s.rng.Float64() >= allowed
}

// refuseQueuedOverShare refuses queued requests of newly limited accounts. They arrived before the
// limit was known.
func (s *Scheduler) refuseQueuedOverShare(now time.Time) {
	limited := s.accounts.newlyLimited
	if len(limited) == 0 {
		return
	}
	s.accounts.newlyLimited = s.accounts.newlyLimited[:0]
	for _, t := range s.fleet.sortedTargets {
		s.sorted = t.queue.sorted(s.sorted[:0])
		for _, req := range s.sorted {
			k := accountPool{req.Account, t.Pool}
			if slices.Contains(limited, k) && s.drawOverShare(k) && !s.hasIdleReplica(now, t) {
				s.removeQueued(req)
				s.refuseOverShare(now, req)
			}
		}
	}
}

// refuseOverShare refuses a request that is beyond its account's share.
func (s *Scheduler) refuseOverShare(now time.Time, req *requestState) {
	s.refuse(req, ReasonAccountShare, req.target.returns.next(now, accountRetry, s.minSendInterval(now, req.target)))
}

// AccountDemands returns the demand of client accounts at this instance, sorted by pool and account.
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
		if p := s.fleet.pools[k.pool]; p != nil && p.holdSeconds.warm() {
			d := byKey[k]
			d.Waiting = n.rate(s.accounts.seenAt)*p.holdSeconds.mean - d.InFlight
			byKey[k] = d
		}
	}
	out := make([]AccountDemand, 0, len(byKey))
	for k, d := range byKey {
		d.Account, d.Pool = k.account, k.pool
		out = append(out, d)
	}
	slices.SortFunc(out, CompareAccountDemands)
	return out
}

// CompareAccountDemands orders demands by pool and account.
func CompareAccountDemands(a, b AccountDemand) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Account, b.Account))
}

// UpdateAccounts handles a report of client accounts' demand at all instances, this one included.
// It replaces the previous report.
func (s *Scheduler) UpdateAccounts(now time.Time, demands []AccountDemand) {
	s.accounts.seenAt = now
	if s.accounts.weights == nil || len(demands) == 0 {
		return
	}
	s.accounts.receivedAt = now
	slots := s.slotsByPool()
	s.accounts.compute(demands, func(pool string, of []AccountDemand) float64 {
		return s.accounts.sharedCapacity(of, slots[pool].all)
	})
}

// poolSlots is the number of slots of a pool's servers.
type poolSlots struct {
	all float64
	own float64 // this instance's equal part of them
}

// slotsByPool returns the slots of the listed servers that aren't leaving.
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

// computeOwnShares computes the shares from this instance's own requests, which are all it knows
// without a recent report of the lease holder.
func (s *Scheduler) computeOwnShares(now time.Time) {
	s.accounts.computedAt = now
	queued, slots := map[string]int{}, s.slotsByPool()
	for _, t := range s.fleet.sortedTargets {
		queued[t.Pool] += t.queue.len()
	}
	s.accounts.compute(s.AccountDemands(), func(pool string, of []AccountDemand) float64 {
		switch inFlight := sumInFlight(of); {
		case lacksRoom(float64(queued[pool]), inFlight):
			return inFlight
		case inFlight > slots[pool].own+math.Sqrt(slots[pool].own): // some wait at the servers
			return slots[pool].own
		}
		return math.Inf(1)
	})
}

// sharedCapacity returns how many requests of a pool can be at its servers, given the demand at all
// instances. If requests of accounts within their share wait although slots are free, it is what
// the servers have now: the free slots can't serve these requests.
func (a *accountShares) sharedCapacity(demands []AccountDemand, slots float64) float64 {
	level, waiting := a.level(demands, slots), 0.0
	for i := range demands {
		if d := &demands[i]; d.wanted() <= shareTolerance(level*a.weight(d.Account)) {
			waiting += d.Waiting
		}
	}
	if inFlight := sumInFlight(demands); lacksRoom(waiting, inFlight) {
		return min(inFlight, slots)
	}
	return slots
}

// lacksRoom reports whether so many requests wait that the servers must be full: more than
// contendedWaiting of those at servers, with a margin for random variation of small counts.
func lacksRoom(waiting, inFlight float64) bool {
	return waiting > contendedWaiting*inFlight+shareDeviations*math.Sqrt(max(waiting+inFlight, 0))
}

func sumInFlight(demands []AccountDemand) float64 {
	sum := 0.0
	for i := range demands {
		sum += demands[i].InFlight
	}
	return sum
}

// compute replaces the accounts' allowed fractions. capacity returns how many requests of a pool can be at
// its servers, given the demands for it.
func (a *accountShares) compute(demands []AccountDemand, capacity func(pool string, of []AccountDemand) float64) {
	before := a.allowedFraction
	a.allowedFraction, a.newlyLimited = map[accountPool]float64{}, a.newlyLimited[:0]
	sorted := slices.SortedFunc(slices.Values(demands), CompareAccountDemands)
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
			if share := level * a.weight(d.Account); d.wanted() > shareTolerance(share) {
				k := accountPool{d.Account, pool}
				a.allowedFraction[k] = share / d.wanted() * min(share/max(d.InFlight, 1), 1)
				if _, known := before[k]; !known {
					a.newlyLimited = append(a.newlyLimited, k)
				}
			}
		}
		sorted = sorted[n:]
	}
}

// shareTolerance returns the number of requests above which an account exceeds its share.
func shareTolerance(share float64) float64 { return share + shareDeviations*math.Sqrt(share) }

// level returns how many requests per unit of weight an account may have at servers of the given
// capacity. It is the level of weighted max-min fairness: accounts that want less get all they want.
// It is at least the demand of the median account, so that no account is limited where all want more
// than their part.
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

// OverShare is a client account that exceeds its share of a pool.
type OverShare struct {
	Account         string
	Pool            string
	AllowedFraction float64 // fraction of its requests that it may send, 0 to 1
}

// AccountsOverShare returns the accounts that exceed their share of a pool, those with the smallest
// allowed fraction first.
func (s *Scheduler) AccountsOverShare() []OverShare {
	out := make([]OverShare, 0, len(s.accounts.allowedFraction))
	for k, allowed := range s.accounts.allowedFraction {
		out = append(out, OverShare{k.account, k.pool, allowed})
	}
	slices.SortFunc(out, func(a, b OverShare) int {
		return cmp.Or(cmp.Compare(a.AllowedFraction, b.AllowedFraction), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Account, b.Account))
	})
	return out
}
