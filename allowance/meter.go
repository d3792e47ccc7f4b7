package allowance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"greengageferry/topology"
)

const (
	// holderTimeout is how long after the last answer of a lease holder an instance begins
	// to use its own part of the allowances: one sync that isn't answered, and the next.
	holderTimeout = 900 * time.Millisecond
	// wantHorizon is the time for which an instance wants to hold credit at the rate that
	// it was lately asked for: two of the longest intervals between two syncs.
	wantHorizon = time.Second
	// openHorizon replaces wantHorizon while an account is open, so that few requests have
	// to ask the lease holder.
	openHorizon = 3 * time.Second
	// advanceRequests is how many average requests an instance wants to hold credit for in
	// advance while an account is open.
	advanceRequests = 2
	// minWantRequests is how many requests an instance must expect within wantHorizon to
	// hold credit while an account isn't open. Credit for one request at each of many
	// instances would be all that there is.
	minWantRequests = 2
	// assumedTokens is the average request that is assumed before the first one.
	assumedTokens = 2000
	// maxAdvanceAccounts is the number of accounts up to which an instance holds credit for
	// those that it was not asked for yet.
	maxAdvanceAccounts = 64
	// costWeight is the weight of a request in the average units of a request.
	costWeight = 0.1
	// drawPause is how long no request asks the lease holder after one got no answer.
	drawPause = 300 * time.Millisecond
	// demandTimeConstant is the time in which a request's weight in the demand decays to 1/e.
	demandTimeConstant = 5 * time.Second
	// maxInstances is the number of instances assumed until the lease holder reports it:
	// the largest that the system is designed for.
	maxInstances = 370
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told
	// to return.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	Admitted  Verdict = iota + 1
	Exceeded          // beyond the allowance: refuse it
	Unknown           // nobody says what is left of the allowance: refuse it
	DrawFirst         // ask the lease holder for credit, then call Redecide
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Admitted:
		return "admitted"
	case Exceeded:
		return "exceeded"
	case Unknown:
		return "unknown"
	}
	return "draw_first"
}

// Decision is a verdict with its inputs.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // with Exceeded and Unknown
	Credit     float64       // units that were available
	HolderAge  time.Duration // since the lease holder last answered; negative: never
}

// Meter admits an instance's requests against the accounts' allowances. It is safe for
// concurrent use.
type Meter struct {
	mu        sync.Mutex
	rng       *rand.Rand
	start     int64
	startedAt time.Time
	bounds    topology.AllowanceBounds
	accounts  map[string]*account
	sequence  int64
	term      int64     // of the newest grants
	instances int       // 0: not known
	answered  time.Time // when the request was sent that a lease holder last answered; zero: never
	drawAfter time.Time // no request asks the lease holder before
}

// account is an instance's state of one client account.
type account struct {
	limit      topology.Allowance
	asked      float64
	used       float64
	credit     float64
	term       int64   // of the newest grant
	granted    float64 // of that term, applied
	part       float64 // of the allowance, while no lease holder answers; 0: never told
	pool       float64 // what the instance may use of its part
	poolAt     time.Time
	demand     float64 // units asked for, decaying with demandTimeConstant
	meanCost   float64 // average units of recent requests
	decayedAt  time.Time
	open       bool      // the lease holder said that less is asked for than the rate
	changed    bool      // since the newest report
	pending    float64   // units of the requests that wait for credit
	emptyUntil time.Time // until then asking the lease holder is in vain
	returnAt   time.Time // when the caller that was refused last was told to return
}

// NewMeter returns a meter without credit. now is the time of the instance's start.
func NewMeter(now time.Time, rng *rand.Rand) *Meter {
	return &Meter{rng: rng, start: now.UnixNano(), startedAt: now, accounts: map[string]*account{}}
}

// SetBounds sets how exactly allowances have to be kept.
func (m *Meter) SetBounds(b topology.AllowanceBounds) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bounds = b
}

// SetInstances sets the number of instances, while no lease holder has reported it.
func (m *Meter) SetInstances(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.instances == 0 {
		m.instances = n
	}
}

// Instances returns the number of instances, 0 if it is not known.
func (m *Meter) Instances() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instances
}

// Admit decides about a request that counts the given units, a whole number: so credit is
// exact.
func (m *Meter) Admit(now time.Time, name string, limit topology.Allowance, cost float64) Decision {
	if !limit.Limited() {
		return Decision{Verdict: Admitted}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(now, name, limit)
	a.ask(now, cost)
	mayDraw := !now.Before(a.emptyUntil) && !now.Before(m.drawAfter)
	d := m.decide(now, a, cost, a.credit-a.pending, mayDraw)
	if d.Verdict == DrawFirst {
		a.pending += cost
	}
	return d
}

// Redecide decides about a request for which Admit returned DrawFirst, after the lease holder
// was asked for credit, whether it answered or not.
func (m *Meter) Redecide(now time.Time, name string, limit topology.Allowance, cost float64) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(now, name, limit)
	a.pending = max(a.pending-cost, 0)
	return m.decide(now, a, cost, a.credit, false)
}

// DrawFailed records that the lease holder, if there is one, did not answer a request that
// asked for credit.
func (m *Meter) DrawFailed(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drawAfter = now.Add(drawPause)
}

// Return gives back the units of an admitted request that did not run.
func (m *Meter) Return(name string, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[name]
	if a == nil {
		return
	}
	a.used -= cost
	a.credit += cost
	a.changed = true
}

// decide decides about a request. available is the credit that it may use: what others wait
// for is theirs. mayDraw is set if asking the lease holder may help.
func (m *Meter) decide(now time.Time, a *account, cost, available float64, mayDraw bool) Decision {
	d := Decision{Credit: available, HolderAge: -1}
	if !m.answered.IsZero() {
		d.HolderAge = now.Sub(m.answered)
	}
	alone := m.answered.IsZero() || d.HolderAge > holderTimeout
	switch {
	case available >= cost:
		a.credit -= cost
		a.used += cost
		d.Verdict = Admitted
	case mayDraw:
		d.Verdict = DrawFirst
	case alone && m.admitAlone(now, a, cost):
		a.used += cost
		d.Verdict = Admitted
	case m.knowsExceeded(now, a, alone):
		d.Verdict, d.RetryAfter = Exceeded, m.retryAfter(now, a, cost)
	default:
		d.Verdict, d.RetryAfter = Unknown, m.unknownRetryAfter(now)
	}
	return d
}

// unknownRetryAfter returns when a caller may return whose request found nobody to ask: spread over the
// time after the lease holder may be asked again, so that not all ask at once.
func (m *Meter) unknownRetryAfter(now time.Time) time.Duration {
	return max(m.drawAfter.Sub(now), minRetryAfter) + time.Duration(m.rng.Float64()*float64(drawPause))
}

// knowsExceeded reports whether the account asks for more than its allowance, as the lease
// holder said, or, while none answers, for more than this instance's part of it.
func (m *Meter) knowsExceeded(now time.Time, a *account, alone bool) bool {
	if !alone {
		return now.Before(a.emptyUntil)
	}
	return a.rate(now) > m.part(a)*a.limit.PerSecond
}

// admitAlone admits a request against the instance's own part of the allowance. A request
// that takes more than is there is admitted with a probability of the level over its cost:
// the parts of many instances are each less than a request, and all together they use what
// there is.
func (m *Meter) admitAlone(now time.Time, a *account, cost float64) bool {
	m.fillPool(now, a)
	level := a.pool
	a.pool = max(a.pool-cost, 0)
	return level >= cost || m.rng.Float64()*cost < level
}

// fillPool adds what has accrued of the instance's part since its last use, or since the
// lease holder was lost.
func (m *Meter) fillPool(now time.Time, a *account) {
	from := a.poolAt
	if lost := m.answered.Add(holderTimeout); !m.answered.IsZero() && lost.After(from) {
		from, a.pool = lost, 0
	}
	part := m.part(a)
	a.pool = min(a.pool+part*a.limit.PerSecond*now.Sub(from).Seconds(), part*capacity(&a.limit, m.bounds))
	a.poolAt = now
}

// part returns the fraction of the allowance that the instance may use alone.
func (m *Meter) part(a *account) float64 {
	if a.part > 0 {
		return a.part
	}
	if m.instances > 0 {
		return 1 / float64(m.instances)
	}
	return 1.0 / maxInstances
}

// retryAfter returns the time after which a refused caller should return. Callers are told
// to return one after the other, as fast as the instance's part allows: the next would be
// refused again if all came back at once.
func (m *Meter) retryAfter(now time.Time, a *account, cost float64) time.Duration {
	earliest := now.Add(minRetryAfter)
	if a.emptyUntil.After(earliest) {
		earliest = a.emptyUntil
	}
	if a.returnAt.Before(earliest) {
		a.returnAt = earliest
	}
	after := min(a.returnAt.Sub(now), maxRetryAfter)
	if after < maxRetryAfter {
		a.returnAt = a.returnAt.Add(time.Duration(cost / (m.part(a) * a.limit.PerSecond) * float64(time.Second)))
	}
	return after
}

// account returns the state of an account, with the limit that is in force.
func (m *Meter) account(now time.Time, name string, limit topology.Allowance) *account {
	a := m.accounts[name]
	if a == nil {
		a = &account{limit: limit, poolAt: m.startedAt, decayedAt: now, open: true, changed: true, meanCost: 1}
		if limit.Unit == topology.UnitTokens {
			a.meanCost = assumedTokens
		}
		m.accounts[name] = a
	}
	if a.limit != limit {
		if limit.PerSecond < a.limit.PerSecond {
			a.credit = math.Floor(a.credit * limit.PerSecond / a.limit.PerSecond)
			a.pool *= limit.PerSecond / a.limit.PerSecond
		}
		a.limit, a.emptyUntil, a.returnAt = limit, time.Time{}, time.Time{}
	}
	return a
}

// ask records a request.
func (a *account) ask(now time.Time, cost float64) {
	a.decay(now)
	a.asked += cost
	a.demand += cost
	a.meanCost += costWeight * (cost - a.meanCost)
	a.changed = true
}

// decay brings the decaying figures up to date.
func (a *account) decay(now time.Time) {
	elapsed := now.Sub(a.decayedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.decayedAt = now
	a.demand *= math.Exp(-elapsed / demandTimeConstant.Seconds())
}

// rate returns the units a second that were lately asked for.
func (a *account) rate(now time.Time) float64 {
	a.decay(now)
	return a.demand / demandTimeConstant.Seconds()
}

// want returns the credit that the instance wants to hold in advance.
func (a *account) want(now time.Time) float64 {
	if a.open {
		return math.Ceil(max(a.rate(now)*openHorizon.Seconds(), advanceRequests*a.meanCost))
	}
	want := a.rate(now) * wantHorizon.Seconds()
	if want < minWantRequests*a.meanCost {
		return 0
	}
	return math.Ceil(want)
}
