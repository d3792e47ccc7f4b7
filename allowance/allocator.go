package allowance

import (
	"math"
	"slices"
	"time"

	"greengageferry/topology"
)

const (
	// silentAfter is how long after its last report an instance counts as silent: it may
	// be cut off, and use its own part.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is how long after its last report an instance is forgotten.
	forgetAfter = 30 * time.Second
	// equalFraction is the fraction of an allowance that instances have in equal parts
	// while no lease holder answers. The rest is in proportion to their demand.
	equalFraction = 0.2
	// contendedFraction is the fraction of the rate from which on a demand counts as
	// contended: credit is then granted out of the bucket only, not in advance.
	contendedFraction = 0.9
	// advanceFraction is the fraction of the bucket that instances may hold as credit in
	// advance while less is asked for than the rate. The rest is for requests that wait. If it
	// isn't enough for an average request at minAdvanced of the instances, none is held: a
	// few instances would hold what requests at all others need.
	advanceFraction = 0.7
	minAdvanced     = 0.5
	// minEmptyTime, or emptyTimePerInstance times the number of instances if that is longer,
	// and maxEmptyTime bound the time for which an instance is told that asking again is in
	// vain: about the time until its next sync brings credit.
	minEmptyTime         = 50 * time.Millisecond
	emptyTimePerInstance = 6 * time.Millisecond
	maxEmptyTime         = time.Second
)

// Allocator grants credit of one term of the lease. It is not safe for concurrent use.
type Allocator struct {
	term      int64
	bounds    topology.AllowanceBounds
	accounts  map[string]*bucket
	instances map[string]*reporter
	startedAt time.Time
	expected  int // instances that were known when the term began
}

// reporter is what is known of an instance.
type reporter struct {
	start      int64
	sequence   int64
	reportedAt time.Time
}

// bucket is an account's allowance.
type bucket struct {
	limit     topology.Allowance
	level     float64 // units that instances may still use, those granted included; negative: used in advance
	filledAt  time.Time
	heard     float64     // fraction of the allowance that silent instances don't use
	reporting int         // instances that aren't silent
	sums      claimTotals // of claims, computed at summedAt and kept up to date since
	summedAt  time.Time
	claims    map[string]*claim // by instance
}

// claim is an instance's part in a bucket.
type claim struct {
	used       float64 // newest total
	asked      float64 // newest total
	granted    float64 // total granted in this term
	credit     float64 // granted and not known to be used
	wanting    float64 // credit wanted beyond credit at the newest report
	demand     float64 // units asked for, decaying with demandTimeConstant
	part       float64 // as last told
	reportedAt time.Time
}

// NewAllocator returns the allocator of a term of the lease that begins now, with the number
// of instances that are expected to report.
func NewAllocator(now time.Time, term int64, expected int) *Allocator {
	return &Allocator{term: term, accounts: map[string]*bucket{}, instances: map[string]*reporter{}, startedAt: now, expected: expected}
}

// Term returns the term of the lease.
func (l *Allocator) Term() int64 { return l.term }

// Handle processes an instance's report and grants it credit.
func (l *Allocator) Handle(now time.Time, b topology.AllowanceBounds, accounts *topology.Accounts, r Report) Grants {
	l.bounds = b
	stale := l.register(now, r)
	instances := l.instanceCount(now)
	out := Grants{Term: l.term, Instances: instances}
	for i := range r.Usage {
		u := &r.Usage[i]
		a := accounts.ByName(u.Account)
		if a == nil || !a.Allowance.Limited() {
			delete(l.accounts, u.Account)
			continue
		}
		k := l.bucket(now, u.Account, a.Allowance)
		k.fill(now, l)
		c := k.claim(r.Instance)
		if !stale {
			k.update(now, c, u, l.term)
		}
		out.Accounts = append(out.Accounts, k.grant(now, c, u, l.capacity(k), instances))
	}
	if len(r.Usage) == 0 || !r.Usage[0].Draw {
		out.Accounts = l.appendContended(now, out.Accounts, r)
	}
	return out
}

// appendContended appends the contended accounts for which an instance holds credit that it
// did not report: it returns the credit once it knows.
func (l *Allocator) appendContended(now time.Time, to []Grant, r Report) []Grant {
	for name, k := range l.accounts {
		c := k.claims[r.Instance]
		if c == nil || c.credit <= 0 || !k.contended(k.totals(now)) {
			continue
		}
		if slices.ContainsFunc(r.Usage, func(u Usage) bool { return u.Account == name }) {
			continue
		}
		to = append(to, Grant{Account: name, Total: c.granted, Part: c.part})
	}
	return to
}

// register records that an instance has reported, and returns whether a newer report of it
// has been processed.
func (l *Allocator) register(now time.Time, r Report) (stale bool) {
	i := l.instances[r.Instance]
	if i == nil {
		i = &reporter{start: r.Start}
		l.instances[r.Instance] = i
	}
	if i.start != r.Start { // starts aren't ordered: the time of day may have been set back
		i.start, i.sequence = r.Start, 0
		for _, k := range l.accounts {
			k.drop(r.Instance) // the instance has started anew, without its credit
		}
	}
	if r.Sequence <= i.sequence {
		return true
	}
	i.sequence, i.reportedAt = r.Sequence, now
	return false
}

// bucket returns an account's bucket, with the limit that is in force.
func (l *Allocator) bucket(now time.Time, name string, limit topology.Allowance) *bucket {
	k := l.accounts[name]
	if k == nil {
		k = &bucket{limit: limit, filledAt: l.startedAt, heard: 1, claims: map[string]*claim{}}
		l.accounts[name] = k
	}
	k.limit = limit
	return k
}

func (l *Allocator) capacity(k *bucket) float64 { return capacity(&k.limit, l.bounds) }

// fill adds what has accrued, less the parts of silent instances.
func (k *bucket) fill(now time.Time, l *Allocator) {
	silent, reporting := k.silentPart(now, l)
	k.heard, k.reporting = 1-silent, reporting
	elapsed := now.Sub(k.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	k.filledAt = now
	k.level = min(k.level+k.limit.PerSecond*k.heard*elapsed, l.capacity(k))
}

// silentPart returns the fraction of the allowance that silent instances may be using, and the
// number of those that aren't silent.
func (k *bucket) silentPart(now time.Time, l *Allocator) (part float64, reporting int) {
	for name, i := range l.instances {
		silence := now.Sub(i.reportedAt)
		if silence > forgetAfter {
			delete(l.instances, name)
			for _, other := range l.accounts {
				other.drop(name)
			}
			continue
		}
		if silence <= silentAfter {
			reporting++
			continue
		}
		if c := k.claims[name]; c != nil && c.part > 0 {
			part += c.part
		} else {
			part += equalFraction / float64(len(l.instances))
		}
	}
	return min(part+l.unreportedPart(now), 1), reporting
}

// instanceCount returns the number of instances that reported lately, or are expected to.
func (l *Allocator) instanceCount(now time.Time) int {
	if now.Sub(l.startedAt) > forgetAfter {
		return len(l.instances)
	}
	return max(len(l.instances), l.expected)
}

// unreportedPart returns the fraction of the instances that have not reported in this term:
// they are cut off, or still get credit from the lease holder before.
func (l *Allocator) unreportedPart(now time.Time) float64 {
	unheard := l.expected - len(l.instances)
	if unheard <= 0 || now.Sub(l.startedAt) > forgetAfter {
		return 0
	}
	return float64(unheard) / float64(l.expected)
}

// drop removes an instance's claim. It may have used its credit without reporting it.
func (k *bucket) drop(instance string) {
	if c := k.claims[instance]; c != nil {
		k.level -= c.credit
		delete(k.claims, instance)
		k.summedAt = time.Time{}
	}
}

// claim returns an instance's claim.
func (k *bucket) claim(instance string) *claim {
	c := k.claims[instance]
	if c == nil {
		c = &claim{used: -1}
		k.claims[instance] = c
	}
	return c
}

// update applies a report. What an instance reports first is where its totals begin: the
// credit that it has is all that a new term begins with.
func (k *bucket) update(now time.Time, c *claim, u *Usage, term int64) {
	applied := u.Granted
	if u.Term != term {
		applied = 0
	}
	if c.used < 0 {
		c.used, c.asked = u.Used, u.Asked
		k.level += u.Credit
	}
	k.level -= u.Used - c.used
	before := *c
	c.decay(now)
	c.demand += max(u.Asked-c.asked, 0)
	c.used, c.asked = u.Used, u.Asked
	c.credit = u.Credit + max(c.granted-applied, 0)
	c.wanting = max(u.Want-c.credit, 0)
	c.reportedAt = now
	k.sums.replace(&before, c)
}

// decay brings the demand up to date.
func (c *claim) decay(now time.Time) {
	if c.reportedAt.IsZero() {
		return
	}
	c.demand *= math.Exp(-now.Sub(c.reportedAt).Seconds() / demandTimeConstant.Seconds())
}

// grant grants an instance what it wants, or its share of what is there if all together
// want more, but not less than its next request needs: smaller credits at many instances
// would serve nobody.
func (k *bucket) grant(now time.Time, c *claim, u *Usage, capacity float64, instances int) Grant {
	t := k.totals(now)
	contended := k.contended(t)
	available := k.available(t, capacity, u, instances, contended)
	need := max(min(u.Need, u.Want)-c.credit, 0)
	given := c.wanting
	if t.wanted > available {
		given = max(math.Floor(available*c.wanting/max(t.wanted, 1)), need)
	}
	if given < need || given > available {
		given = 0
	}
	g := Grant{Account: u.Account, Open: !contended}
	if need > given && (contended || u.Draw) {
		g.EmptyIn = emptyTime((need-available)/k.limit.PerSecond, instances)
	}
	before := *c
	c.granted += given
	c.credit += given
	c.wanting = max(c.wanting-given, 0)
	k.sums.replace(&before, c)
	c.part = k.partOf(c, t, instances)
	g.Total, g.Part = c.granted, c.part
	return g
}

// partOf returns the fraction of the allowance that an instance may use while no lease holder
// answers. Silent instances keep theirs, so that all parts together are no more than the whole.
func (k *bucket) partOf(c *claim, t claimTotals, instances int) float64 {
	part := equalFraction / float64(max(instances, 1))
	if t.demand <= 0 {
		return part
	}
	byDemand := max(k.heard-part*float64(k.reporting), 0)
	return part + byDemand*min(c.demand/t.demand, 1)
}

// contended reports whether more is asked for than the rate, or was used in advance than
// the bucket had.
func (k *bucket) contended(t claimTotals) bool {
	return k.level < 0 || t.demand > contendedFraction*k.heard*k.limit.PerSecond*demandTimeConstant.Seconds()
}

// available returns what may be granted now.
func (k *bucket) available(t claimTotals, capacity float64, u *Usage, instances int, contended bool) float64 {
	free := max(min(k.level, capacity)-t.credit, 0)
	if contended || u.Draw {
		return free
	}
	if advanceFraction*capacity < minAdvanced*float64(instances)*u.Need {
		return 0
	}
	return max(free-(1-advanceFraction)*capacity, 0)
}

// claimTotals are sums over an account's claims.
type claimTotals struct {
	credit float64
	wanted float64 // by instances that report
	demand float64 // of instances that report
}

// replace replaces a claim that reports by its new state.
func (t *claimTotals) replace(before, after *claim) {
	t.credit += after.credit - before.credit
	t.wanted += after.wanting - before.wanting
	t.demand += after.demand - before.demand
}

// sumInterval is how long the sums of claims are kept up to date before they are computed
// anew: each of hundreds of instances reports twice a second.
const sumInterval = 100 * time.Millisecond

// totals returns the sums of the account's claims.
func (k *bucket) totals(now time.Time) claimTotals {
	if !k.summedAt.IsZero() && now.Sub(k.summedAt) < sumInterval {
		return k.sums
	}
	var t claimTotals
	for _, c := range k.claims {
		t.credit += c.credit
		if now.Sub(c.reportedAt) <= silentAfter {
			t.wanted += c.wanting
			t.demand += c.demand
		}
	}
	k.sums, k.summedAt = t, now
	return t
}

// emptyTime returns the time for which an instance is told that asking again is in vain, if
// what it needs will be there after the given seconds.
func emptyTime(seconds float64, instances int) time.Duration {
	earliest := max(minEmptyTime, time.Duration(instances)*emptyTimePerInstance)
	return min(max(time.Duration(seconds*float64(time.Second)), earliest), maxEmptyTime)
}
