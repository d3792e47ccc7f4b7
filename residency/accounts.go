package residency

import (
	"slices"
	"time"

	"greengageferry/decide"
)

// accountReports adds up the demands of client accounts that instances report. The zero value is
// ready to use.
type accountReports struct {
	byInstance map[string]accountReport
	sum        []decide.AccountDemand // over instances, by pool and account; computed at summedAt
	summedAt   time.Time
}

// accountReport is the newest report of one instance.
type accountReport struct {
	at      time.Time
	demands []decide.AccountDemand
}

// note records an instance's report.
func (a *accountReports) note(now time.Time, instance string, demands []decide.AccountDemand) {
	if len(demands) == 0 {
		delete(a.byInstance, instance)
		return
	}
	if a.byInstance == nil {
		a.byInstance = map[string]accountReport{}
	}
	a.byInstance[instance] = accountReport{now, demands}
}

// total returns the sums by account and pool, which are computed at most once in summaryInterval
// and shared by all instances that ask. The result must not be changed.
func (a *accountReports) total(now time.Time) []decide.AccountDemand {
	if now.Sub(a.summedAt) < summaryInterval {
		return a.sum
	}
	type key struct{ account, pool string }
	sums := map[key]decide.AccountDemand{}
	for name, r := range a.byInstance {
		if now.Sub(r.at) > instanceTimeout {
			delete(a.byInstance, name)
			continue
		}
		for _, d := range r.demands {
			k := key{d.Account, d.Pool}
			sums[k] = decide.AccountDemand{Account: d.Account, Pool: d.Pool, Waiting: sums[k].Waiting + d.Waiting, InFlight: sums[k].InFlight + d.InFlight}
		}
	}
	a.summedAt, a.sum = now, make([]decide.AccountDemand, 0, len(sums))
	for _, d := range sums {
		a.sum = append(a.sum, d)
	}
	slices.SortFunc(a.sum, decide.CompareAccountDemands)
	return a.sum
}

// Accounts returns the sums of all instances' demands by client account and pool.
func (d *DemandTracker) Accounts(now time.Time) []decide.AccountDemand { return d.accounts.total(now) }
