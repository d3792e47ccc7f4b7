package instance

import (
	"time"

	"greengageferry/decide"
	"greengageferry/exchange"
	"greengageferry/residency"
	"greengageferry/topology"
)

func syncRequest(w residency.InstanceReport) *exchange.SyncRequest {
	req := &exchange.SyncRequest{Instance: w.Instance, FailureDomain: w.Domain, StoreDown: w.StoreDown, ConfigVersion: w.Version, HeldDigest: w.HeldDigest,
		Addr: w.Addr, Cores: float32(w.Cores), CandidatesDigest: w.Candidates, Stands: w.Stands}
	for target, a := range w.TargetDemand {
		req.Demand = append(req.Demand, &exchange.Demand{
			Target: target, Requests: uint32(a.Requests), Waiting: uint32(a.Waiting), InFlight: uint32(a.InFlight),
			WorkMs: uint32(a.Work.Milliseconds()),
		})
	}
	req.Loads = wireLoads(w.Loads)
	req.Leaving = wireStarts(w.Leaving)
	for _, r := range w.Rates {
		req.Rates = append(req.Rates, &exchange.RateSaid{
			Server: r.Server, Start: r.Start, Named: r.Limit.Named, PerSecond: r.Limit.PerSecond,
			AgeMs: uint32(r.Age.Milliseconds()), Heard: r.Heard, Waiting: uint32(r.Waiting), Expects: float32(r.Expects), Lapsed: uint32(r.Lapsed),
		})
	}
	return req
}

func wordOf(req *exchange.SyncRequest) residency.InstanceReport {
	w := residency.InstanceReport{
		Instance: req.GetInstance(), Domain: req.GetFailureDomain(), Addr: req.GetAddr(), Cores: float64(req.GetCores()),
		StoreDown: req.GetStoreDown(), Version: req.GetConfigVersion(),
		HeldDigest: req.GetHeldDigest(), Candidates: req.GetCandidatesDigest(), Stands: req.GetStands(),
		TargetDemand: make(map[string]residency.TargetDemand, len(req.GetDemand())),
		Loads:        loadsOfWire(req.GetLoads()), Leaving: startsOfWire(req.GetLeaving()),
	}
	for _, d := range req.GetDemand() {
		w.TargetDemand[d.GetTarget()] = residency.TargetDemand{
			Requests: int(d.GetRequests()), Waiting: int(d.GetWaiting()), InFlight: int(d.GetInFlight()),
			Work: time.Duration(d.GetWorkMs()) * time.Millisecond,
		}
	}
	for _, r := range req.GetRates() {
		w.Rates = append(w.Rates, decide.RateSaid{
			Server: r.GetServer(), Start: r.GetStart(), Limit: decide.RateLimit{Named: r.GetNamed(), PerSecond: r.GetPerSecond()},
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond, Heard: r.GetHeard(), Waiting: int(r.GetWaiting()), Expects: float64(r.GetExpects()), Lapsed: int(r.GetLapsed()),
		})
	}
	return w
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

func ratesOfWire(rates []*exchange.RateShare) []decide.RateShare {
	var out []decide.RateShare
	for _, r := range rates {
		out = append(out, decide.RateShare{
			Server: r.GetServer(), Start: r.GetStart(), Limit: decide.RateLimit{Named: r.GetNamed(), PerSecond: r.GetPerSecond()},
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond, Granted: int(r.GetGranted()),
		})
	}
	return out
}

func summaryOf(res *exchange.SyncResponse) residency.Summary {
	s := residency.Summary{Instances: map[string]int{}, Ordering: res.GetOrdering(), Version: res.GetConfigVersion()}
	for _, d := range res.GetInstances() {
		s.Instances[d.GetFailureDomain()] = int(d.GetCount())
	}
	s.Loads = loadsOfWire(res.GetLoads())
	s.Chosen, s.Candidates = res.GetChosen(), candidatesOfWire(res.GetCandidates())
	s.Rates = decide.RateShares{
		Shares: ratesOfWire(res.GetRates()), Position: int(res.GetPlace()), Instances: decide.CountInstances(s.Instances),
	}
	s.Held, s.HeldRemoved, s.HeldIncremental = heldOfWire(res.GetHeld()), heldOfWire(res.GetHeldLost()), res.GetHeldSince()
	return s
}

func loadsOfWire(loads []*exchange.ServerLoad) map[string]residency.Load {
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

func tokenOfWire(t *exchange.Token) residency.Token {
	return residency.Token{Number: t.GetNumber(), Holder: t.GetHolder()}
}

func wireStarts(starts []topology.ServerStart) []*exchange.ServerStart {
	var out []*exchange.ServerStart
	for _, s := range starts {
		out = append(out, &exchange.ServerStart{Id: s.ID, Start: s.Start})
	}
	return out
}

func startsOfWire(starts []*exchange.ServerStart) []topology.ServerStart {
	var out []topology.ServerStart
	for _, s := range starts {
		out = append(out, topology.ServerStart{ID: s.GetId(), Start: s.GetStart()})
	}
	return out
}

func heldOfWire(held []*exchange.Held) topology.HeldList {
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

func candidatesOfWire(candidates []*exchange.Candidate) residency.Candidates {
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
