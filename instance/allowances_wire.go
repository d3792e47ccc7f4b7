package instance

import (
	"time"

	"greengageferry/allowance"
	"greengageferry/exchange"
)

func wireAllowances(r allowance.Report) *exchange.AllowanceReport {
	out := &exchange.AllowanceReport{Start: r.Start, Sequence: r.Sequence}
	for i := range r.Usage {
		u := &r.Usage[i]
		out.Usage = append(out.Usage, &exchange.AllowanceUsage{
			Account: u.Account, Asked: int64(u.Asked), Used: int64(u.Used), Credit: int64(u.Credit), Want: int64(u.Want), Need: int64(u.Need),
			Draw: u.Draw, Term: u.Term, Granted: int64(u.Granted),
		})
	}
	return out
}

func allowancesFromWire(instance string, r *exchange.AllowanceReport) allowance.Report {
	out := allowance.Report{Instance: instance, Start: r.GetStart(), Sequence: r.GetSequence()}
	for _, u := range r.GetUsage() {
		out.Usage = append(out.Usage, allowance.Usage{
			Account: u.GetAccount(), Asked: float64(u.GetAsked()), Used: float64(u.GetUsed()), Credit: float64(u.GetCredit()),
			Want: float64(u.GetWant()), Need: float64(u.GetNeed()), Draw: u.GetDraw(), Term: u.GetTerm(), Granted: float64(u.GetGranted()),
		})
	}
	return out
}

func wireGrants(g allowance.Grants) *exchange.AllowanceGrants {
	out := &exchange.AllowanceGrants{Term: g.Term, Instances: uint32(g.Instances)}
	for _, a := range g.Accounts {
		out.Accounts = append(out.Accounts, &exchange.AllowanceGrant{
			Account: a.Account, Total: int64(a.Total), Part: float32(a.Part), EmptyInMs: uint32(a.EmptyIn.Milliseconds()), Open: a.Open,
		})
	}
	return out
}

func grantsFromWire(g *exchange.AllowanceGrants) allowance.Grants {
	out := allowance.Grants{Term: g.GetTerm(), Instances: int(g.GetInstances())}
	for _, a := range g.GetAccounts() {
		out.Accounts = append(out.Accounts, allowance.Grant{
			Account: a.GetAccount(), Total: float64(a.GetTotal()), Part: float64(a.GetPart()), EmptyIn: time.Duration(a.GetEmptyInMs()) * time.Millisecond, Open: a.GetOpen(),
		})
	}
	return out
}
