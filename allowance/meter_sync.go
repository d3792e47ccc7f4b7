package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengageferry/topology"
)

// Report returns the report on the accounts that were asked for since the last one, or whose
// credit isn't what the instance wants to hold. Credit beyond that is returned with it.
func (m *Meter) Report(now time.Time, accounts *topology.Accounts) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	if accounts.Len() <= maxAdvanceAccounts {
		for x := range accounts.All() {
			if x.Allowance.Limited() {
				m.account(now, x.Name, x.Allowance)
			}
		}
	}
	out := m.newReport()
	for name, a := range m.accounts {
		want := max(a.want(now), a.pending)
		if !a.changed && a.credit <= want && a.credit >= want*refillFraction {
			continue
		}
		a.changed = false
		a.credit = min(a.credit, want)
		out.Usage = append(out.Usage, a.usage(name, want, math.Ceil(a.meanCost)))
	}
	slices.SortFunc(out.Usage, func(x, y Usage) int { return cmp.Compare(x.Account, y.Account) })
	return out
}

// refillFraction is the fraction of the wanted credit below which an account is reported
// though it was not asked for.
const refillFraction = 0.5

// ReportAccount returns the report on one account, to ask the lease holder for credit for a
// request that counts the given units.
func (m *Meter) ReportAccount(now time.Time, name string, cost float64) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.newReport()
	if a := m.accounts[name]; a != nil {
		out.Usage = append(out.Usage, a.usage(name, max(a.want(now), a.pending), max(a.pending, cost)))
		out.Usage[0].Draw = true
	}
	return out
}

func (m *Meter) newReport() Report {
	m.sequence++
	return Report{Start: m.start, Sequence: m.sequence}
}

func (a *account) usage(name string, want, need float64) Usage {
	return Usage{Account: name, Asked: a.asked, Used: a.used, Credit: a.credit, Want: want, Need: need, Term: a.term, Granted: a.granted}
}

// Apply applies the lease holder's answer to a report that was sent at the given time.
// Answers of an earlier term than the newest are ignored.
func (m *Meter) Apply(sent time.Time, g Grants) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.Term < m.term {
		return
	}
	m.term = g.Term
	if sent.After(m.answered) {
		m.answered = sent
	}
	if g.Instances > 0 {
		m.instances = g.Instances
	}
	for _, grant := range g.Accounts {
		if a := m.accounts[grant.Account]; a != nil {
			a.apply(sent, g.Term, grant)
		}
	}
}

// apply adds what the grant's total has beyond the one applied last: answers may be lost,
// doubled or overtake each other.
func (a *account) apply(sent time.Time, term int64, g Grant) {
	if a.term != term {
		a.term, a.granted = term, 0
	}
	if g.Total > a.granted {
		a.credit += g.Total - a.granted
		a.granted = g.Total
	}
	if g.Part > 0 {
		a.part = g.Part
	}
	a.open = g.Open
	a.emptyUntil = time.Time{}
	if g.EmptyIn > 0 {
		a.emptyUntil = sent.Add(g.EmptyIn)
	}
}
