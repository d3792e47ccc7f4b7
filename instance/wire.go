package instance

import (
	"time"

	"greengageferry/decide"
	"greengageferry/exchange"
	"greengageferry/residency"
	"greengageferry/topology"
)

// newSyncRequest encodes a report for the lease holder. Here and below, the functions named
// wire* encode protobuf messages, and those named *FromWire decode them.
func newSyncRequest(report residency.InstanceReport) *exchange.SyncRequest {
	req := &exchange.SyncRequest{Instance: report.Instance, FailureDomain: report.Domain, StoreDown: report.StoreDown, ConfigVersion: report.Version, HeldDigest: report.HeldDigest,
		Addr: report.Addr, Cores: float32(report.Cores), CandidatesDigest: report.Candidates, Stands: report.Competes, Registration: wireRegistration(report.Registration)}
	for target, a := range report.TargetDemand {
		req.Demand = append(req.Demand, &exchange.Demand{
			Target: target, Requests: uint32(a.Requests), Waiting: uint32(a.Waiting), InFlight: uint32(a.InFlight),
			WorkMs: uint32(a.Work.Milliseconds()), ByRank: wireRanks(a.ByRank),
		})
	}
	req.Loads = wireLoads(report.Loads)
	req.Speeds, req.Accounts = convertAll(report.Speeds, wireSpeedSample), convertAll(report.Accounts, wireAccountDemand)
	req.Leaving = wireStarts(report.Leaving)
	for _, r := range report.Rates {
		req.Rates = append(req.Rates, &exchange.RateSaid{
			Server: r.Server, Start: r.Start, Named: r.Limit.Named, PerSecond: r.Limit.PerSecond,
			AgeMs: uint32(r.Age.Milliseconds()), Heard: r.ObservedHere, Waiting: uint32(r.Waiting), Expects: float32(r.Expected), Lapsed: uint32(r.Expired),
		})
	}
	return req
}

func reportFromWire(req *exchange.SyncRequest) residency.InstanceReport {
	report := residency.InstanceReport{
		Instance: req.GetInstance(), Domain: req.GetFailureDomain(), Addr: req.GetAddr(), Cores: float64(req.GetCores()),
		StoreDown: req.GetStoreDown(), Version: req.GetConfigVersion(),
		HeldDigest: req.GetHeldDigest(), Candidates: req.GetCandidatesDigest(), Competes: req.GetStands(),
		Registration: registrationFromWire(req.GetRegistration()),
		TargetDemand: make(map[string]residency.TargetDemand, len(req.GetDemand())),
		Loads:        loadsFromWire(req.GetLoads()), Leaving: startsFromWire(req.GetLeaving()),
		Speeds: convertAll(req.GetSpeeds(), speedSampleFromWire), Accounts: convertAll(req.GetAccounts(), accountDemandFromWire),
	}
	for _, d := range req.GetDemand() {
		report.TargetDemand[d.GetTarget()] = residency.TargetDemand{
			Requests: int(d.GetRequests()), Waiting: int(d.GetWaiting()), InFlight: int(d.GetInFlight()),
			Work: time.Duration(d.GetWorkMs()) * time.Millisecond, ByRank: ranksFromWire(d.GetByRank()),
		}
	}
	for _, r := range req.GetRates() {
		report.Rates = append(report.Rates, decide.RateReport{
			Server: r.GetServer(), Start: r.GetStart(), Limit: decide.RateLimit{Named: r.GetNamed(), PerSecond: r.GetPerSecond()},
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond, ObservedHere: r.GetHeard(), Waiting: int(r.GetWaiting()), Expected: float64(r.GetExpects()), Expired: int(r.GetLapsed()),
		})
	}
	return report
}

func wireRates(shares []decide.RateShare) []*exchange.RateShare {
	var out []*exchange.RateShare
	for _, r := range shares {
		out = append(out, &exchange.RateShare{
			Server: r.Server, Start: r.Start, Named: r.Limit.Named, PerSecond: r.Limit.PerSecond,
			AgeMs: uint32(r.Age.Milliseconds()), Granted: uint32(r.Granted),
		})
	}
	return out
}

func ratesFromWire(rates []*exchange.RateShare) []decide.RateShare {
	var out []decide.RateShare
	for _, r := range rates {
		out = append(out, decide.RateShare{
			Server: r.GetServer(), Start: r.GetStart(), Limit: decide.RateLimit{Named: r.GetNamed(), PerSecond: r.GetPerSecond()},
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond, Granted: int(r.GetGranted()),
		})
	}
	return out
}

func summaryFromWire(res *exchange.SyncResponse) residency.Summary {
	s := residency.Summary{
		Instances: map[string]int{}, Version: res.GetConfigVersion(), Ordering: res.GetOrdering(),
		Registration: registrationFromWire(res.GetRegistration()), Waiting: res.GetWaiting(),
	}
	for _, d := range res.GetInstances() {
		s.Instances[d.GetFailureDomain()] = int(d.GetCount())
	}
	s.Loads = loadsFromWire(res.GetLoads())
	s.Backlogs, s.Speeds, s.Accounts = convertAll(res.GetBacklogs(), backlogFromWire), convertAll(res.GetSpeeds(), speedFromWire), convertAll(res.GetAccounts(), accountDemandFromWire)
	s.IsCandidate, s.Candidates = res.GetChosen(), candidatesFromWire(res.GetCandidates())
	s.Rates = decide.RateShares{
		Shares: ratesFromWire(res.GetRates()), Position: int(res.GetPlace()), Instances: decide.CountInstances(s.Instances),
	}
	s.Held, s.HeldRemoved, s.HeldIncremental = heldFromWire(res.GetHeld()), heldFromWire(res.GetHeldLost()), res.GetHeldSince()
	return s
}

// wireRegistration returns nil if the instance isn't registered.
func wireRegistration(r residency.Registration) *exchange.Registration {
	if r.Token == 0 {
		return nil
	}
	return &exchange.Registration{Token: r.Token, ClockNs: r.HolderClock.Nanoseconds()}
}

func registrationFromWire(r *exchange.Registration) residency.Registration {
	return residency.Registration{Token: r.GetToken(), HolderClock: time.Duration(r.GetClockNs())}
}

func loadsFromWire(loads []*exchange.ServerLoad) map[string]residency.Load {
	out := make(map[string]residency.Load, len(loads))
	for _, l := range loads {
		out[l.GetServer()] = residency.Load{InFlight: int(l.GetInFlight()), Unread: int(l.GetUnreadTokens()), Contending: int(l.GetContending())}
	}
	return out
}

func wireLoads(loads map[string]residency.Load) []*exchange.ServerLoad {
	var out []*exchange.ServerLoad
	for server, l := range loads {
		out = append(out, &exchange.ServerLoad{Server: server, InFlight: uint32(l.InFlight), UnreadTokens: uint32(l.Unread), Contending: uint32(l.Contending)})
	}
	return out
}

func wireToken(t residency.Token) *exchange.Token {
	return &exchange.Token{Number: t.Number, Holder: t.Holder}
}

func tokenFromWire(t *exchange.Token) residency.Token {
	return residency.Token{Number: t.GetNumber(), Holder: t.GetHolder()}
}

func wireStarts(starts []topology.ServerStart) []*exchange.ServerStart {
	var out []*exchange.ServerStart
	for _, s := range starts {
		out = append(out, &exchange.ServerStart{Id: s.ID, Start: s.Start})
	}
	return out
}

func startsFromWire(starts []*exchange.ServerStart) []topology.ServerStart {
	var out []topology.ServerStart
	for _, s := range starts {
		out = append(out, topology.ServerStart{ID: s.GetId(), Start: s.GetStart()})
	}
	return out
}

func heldFromWire(held []*exchange.Held) topology.HeldList {
	var out []topology.Held
	for _, h := range held {
		out = append(out, topology.Held{Server: h.GetServer(), Model: h.GetModel(), Adapter: h.GetAdapter(), Dropped: h.GetDropped()})
	}
	return topology.NewHeldList(out)
}

func wireHeld(held topology.HeldList) []*exchange.Held {
	var out []*exchange.Held
	for _, h := range held {
		out = append(out, &exchange.Held{Server: h.Server, Model: h.Model, Adapter: h.Adapter, Dropped: h.Dropped})
	}
	return out
}

func candidatesFromWire(candidates []*exchange.Candidate) residency.Candidates {
	var out residency.Candidates
	for _, c := range candidates {
		out = append(out, residency.Member{Domain: c.GetFailureDomain(), Addr: c.GetAddr()})
	}
	return out
}

func wireCandidates(candidates residency.Candidates) []*exchange.Candidate {
	var out []*exchange.Candidate
	for _, c := range candidates {
		out = append(out, &exchange.Candidate{FailureDomain: c.Domain, Addr: c.Addr})
	}
	return out
}
