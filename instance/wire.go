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
	return &exchange.SyncRequest{
		Instance:         report.Instance,
		FailureDomain:    report.Domain,
		Addr:             report.Addr,
		Cores:            float32(report.Cores),
		StoreDown:        report.StoreDown,
		ConfigVersion:    report.Version,
		HeldDigest:       report.HeldDigest,
		CandidatesDigest: report.Candidates,
		Stands:           report.Competes,
		Registration:     wireRegistration(report.Registration),
		Demand:           wireDemand(report.TargetDemand),
		Loads:            wireLoads(report.Loads),
		Speeds:           convertAll(report.Speeds, wireSpeedSample),
		Accounts:         convertAll(report.Accounts, wireAccountDemand),
		Leaving:          wireStarts(report.Leaving),
		Rates:            convertAll(report.Rates, wireRateReport),
	}
}

func reportFromWire(req *exchange.SyncRequest) residency.InstanceReport {
	return residency.InstanceReport{
		Instance:     req.GetInstance(),
		Domain:       req.GetFailureDomain(),
		Addr:         req.GetAddr(),
		Cores:        float64(req.GetCores()),
		StoreDown:    req.GetStoreDown(),
		Version:      req.GetConfigVersion(),
		HeldDigest:   req.GetHeldDigest(),
		Candidates:   req.GetCandidatesDigest(),
		Competes:     req.GetStands(),
		Registration: registrationFromWire(req.GetRegistration()),
		TargetDemand: demandFromWire(req.GetDemand()),
		Loads:        loadsFromWire(req.GetLoads()),
		Speeds:       convertAll(req.GetSpeeds(), speedSampleFromWire),
		Accounts:     convertAll(req.GetAccounts(), accountDemandFromWire),
		Leaving:      startsFromWire(req.GetLeaving()),
		Rates:        convertAll(req.GetRates(), rateReportFromWire),
	}
}

func wireDemand(demand map[string]residency.TargetDemand) []*exchange.Demand {
	var out []*exchange.Demand
	for target, d := range demand {
		out = append(out, &exchange.Demand{
			Target: target, Requests: uint32(d.Requests), Waiting: uint32(d.Waiting), InFlight: uint32(d.InFlight),
			WorkMs: uint32(d.Work.Milliseconds()), ByRank: wireRanks(d.ByRank),
		})
	}
	return out
}

func demandFromWire(demand []*exchange.Demand) map[string]residency.TargetDemand {
	out := make(map[string]residency.TargetDemand, len(demand))
	for _, d := range demand {
		out[d.GetTarget()] = residency.TargetDemand{
			Requests: int(d.GetRequests()), Waiting: int(d.GetWaiting()), InFlight: int(d.GetInFlight()),
			Work: time.Duration(d.GetWorkMs()) * time.Millisecond, ByRank: ranksFromWire(d.GetByRank()),
		}
	}
	return out
}

func wireRateReport(r decide.RateReport) *exchange.RateSaid {
	return &exchange.RateSaid{
		Server: r.Server, Start: r.Start, Named: r.Limit.Named, PerSecond: r.Limit.PerSecond,
		AgeMs: uint32(r.Age.Milliseconds()), Heard: r.ObservedHere, Waiting: uint32(r.Waiting),
		Expects: float32(r.Expected), Lapsed: uint32(r.Expired),
	}
}

func rateReportFromWire(r *exchange.RateSaid) decide.RateReport {
	return decide.RateReport{
		Server: r.GetServer(), Start: r.GetStart(), Limit: decide.RateLimit{Named: r.GetNamed(), PerSecond: r.GetPerSecond()},
		Age: time.Duration(r.GetAgeMs()) * time.Millisecond, ObservedHere: r.GetHeard(), Waiting: int(r.GetWaiting()),
		Expected: float64(r.GetExpects()), Expired: int(r.GetLapsed()),
	}
}

func wireRateShare(r decide.RateShare) *exchange.RateShare {
	return &exchange.RateShare{
		Server: r.Server, Start: r.Start, Named: r.Limit.Named, PerSecond: r.Limit.PerSecond,
		AgeMs: uint32(r.Age.Milliseconds()), Granted: uint32(r.Granted),
	}
}

func rateShareFromWire(r *exchange.RateShare) decide.RateShare {
	return decide.RateShare{
		Server: r.GetServer(), Start: r.GetStart(), Limit: decide.RateLimit{Named: r.GetNamed(), PerSecond: r.GetPerSecond()},
		Age: time.Duration(r.GetAgeMs()) * time.Millisecond, Granted: int(r.GetGranted()),
	}
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
	s.Backlogs = convertAll(res.GetBacklogs(), backlogFromWire)
	s.Speeds = convertAll(res.GetSpeeds(), speedFromWire)
	s.Accounts = convertAll(res.GetAccounts(), accountDemandFromWire)
	s.IsCandidate, s.Candidates = res.GetChosen(), candidatesFromWire(res.GetCandidates())
	s.Rates = decide.RateShares{
		Shares: convertAll(res.GetRates(), rateShareFromWire), Position: int(res.GetPlace()), Instances: decide.CountInstances(s.Instances),
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
	return convertAll(starts, func(s topology.ServerStart) *exchange.ServerStart {
		return &exchange.ServerStart{Id: s.ID, Start: s.Start}
	})
}

func startsFromWire(starts []*exchange.ServerStart) []topology.ServerStart {
	return convertAll(starts, func(s *exchange.ServerStart) topology.ServerStart {
		return topology.ServerStart{ID: s.GetId(), Start: s.GetStart()}
	})
}

func heldFromWire(held []*exchange.Held) topology.HeldList {
	return topology.NewHeldList(convertAll(held, func(h *exchange.Held) topology.Held {
		return topology.Held{Server: h.GetServer(), Model: h.GetModel(), Adapter: h.GetAdapter(), Dropped: h.GetDropped()}
	}))
}

func wireHeld(held topology.HeldList) []*exchange.Held {
	return convertAll(held, func(h topology.Held) *exchange.Held {
		return &exchange.Held{Server: h.Server, Model: h.Model, Adapter: h.Adapter, Dropped: h.Dropped}
	})
}

func candidatesFromWire(candidates []*exchange.Candidate) residency.Candidates {
	return convertAll(candidates, func(c *exchange.Candidate) residency.Member {
		return residency.Member{Domain: c.GetFailureDomain(), Addr: c.GetAddr()}
	})
}

func wireCandidates(candidates residency.Candidates) []*exchange.Candidate {
	return convertAll(candidates, func(c residency.Member) *exchange.Candidate {
		return &exchange.Candidate{FailureDomain: c.Domain, Addr: c.Addr}
	})
}
