package instance

import (
	"time"

	"greengageferry/decide"
	"greengageferry/exchange"
	"greengageferry/residency"
)

// wireRanks converts demand by rank to messages, without the zero ones at the end.
func wireRanks(ranks [decide.Ranks]residency.RankDemand) []*exchange.RankDemand {
	n := len(ranks)
	for n > 0 && ranks[n-1] == (residency.RankDemand{}) {
		n--
	}
	out := make([]*exchange.RankDemand, n)
	for n, r := range ranks[:n] {
		out[n] = &exchange.RankDemand{
			Requests: uint32(r.Requests), Waiting: uint32(r.Waiting), InFlight: uint32(r.InFlight), GoalMs: uint32(r.Goal.Milliseconds()), Starts: uint32(r.Starts),
		}
	}
	return out
}

// ranksFromWire is the inverse of wireRanks. Missing ranks are zero.
func ranksFromWire(ranks []*exchange.RankDemand) [decide.Ranks]residency.RankDemand {
	var out [decide.Ranks]residency.RankDemand
	for n, r := range ranks[:min(len(ranks), decide.Ranks)] {
		out[n] = residency.RankDemand{
			Requests: int(r.GetRequests()), Waiting: int(r.GetWaiting()), InFlight: int(r.GetInFlight()), Goal: time.Duration(r.GetGoalMs()) * time.Millisecond, Starts: int(r.GetStarts()),
		}
	}
	return out
}

func wireBacklogs(backlogs []decide.Backlog) []*exchange.Backlog {
	var out []*exchange.Backlog
	for _, b := range backlogs {
		out = append(out, &exchange.Backlog{Target: b.Target, Waiting: wireByRank(b.Waiting), Arrivals: wireByRank(b.Arrivals), Starts: wireByRank(b.Starts)})
	}
	return out
}

func backlogsFromWire(backlogs []*exchange.Backlog) []decide.Backlog {
	var out []decide.Backlog
	for _, b := range backlogs {
		out = append(out, decide.Backlog{Target: b.GetTarget(), Waiting: byRankFromWire(b.GetWaiting()), Arrivals: byRankFromWire(b.GetArrivals()), Starts: byRankFromWire(b.GetStarts())})
	}
	return out
}

// wireByRank converts values by rank, without the zeros at the end.
func wireByRank(values [decide.Ranks]float64) []float32 {
	n := len(values)
	for n > 0 && values[n-1] == 0 {
		n--
	}
	out := make([]float32, n)
	for n, v := range values[:n] {
		out[n] = float32(v)
	}
	return out
}

func byRankFromWire(values []float32) [decide.Ranks]float64 {
	var out [decide.Ranks]float64
	for n, v := range values[:min(len(values), decide.Ranks)] {
		out[n] = float64(v)
	}
	return out
}

func wireSpeedSamples(samples []decide.SpeedSample) []*exchange.SpeedSample {
	var out []*exchange.SpeedSample
	for _, s := range samples {
		out = append(out, &exchange.SpeedSample{Server: s.Server, Start: s.Start, Count: uint32(s.Count), LogSum: float32(s.LogSum), Pool: s.Pool, Model: s.Model})
	}
	return out
}

func speedSamplesFromWire(samples []*exchange.SpeedSample) []decide.SpeedSample {
	var out []decide.SpeedSample
	for _, s := range samples {
		out = append(out, decide.SpeedSample{Server: s.GetServer(), Start: s.GetStart(), Count: int(s.GetCount()), LogSum: float64(s.GetLogSum()), Pool: s.GetPool(), Model: s.GetModel()})
	}
	return out
}

func wireSpeeds(speeds []decide.ServerSpeed) []*exchange.ServerSpeed {
	var out []*exchange.ServerSpeed
	for _, s := range speeds {
		out = append(out, &exchange.ServerSpeed{Server: s.Server, Start: s.Start, Speed: float32(s.Speed), Count: float32(s.Count)})
	}
	return out
}

func speedsFromWire(speeds []*exchange.ServerSpeed) []decide.ServerSpeed {
	var out []decide.ServerSpeed
	for _, s := range speeds {
		out = append(out, decide.ServerSpeed{Server: s.GetServer(), Start: s.GetStart(), Speed: float64(s.GetSpeed()), Count: float64(s.GetCount())})
	}
	return out
}

func wireAccountDemands(demands []decide.AccountDemand) []*exchange.AccountDemand {
	var out []*exchange.AccountDemand
	for _, d := range demands {
		out = append(out, &exchange.AccountDemand{Account: d.Account, Pool: d.Pool, Waiting: float32(d.Waiting), InFlight: float32(d.InFlight)})
	}
	return out
}

func accountDemandsFromWire(demands []*exchange.AccountDemand) []decide.AccountDemand {
	var out []decide.AccountDemand
	for _, d := range demands {
		out = append(out, decide.AccountDemand{Account: d.GetAccount(), Pool: d.GetPool(), Waiting: float64(d.GetWaiting()), InFlight: float64(d.GetInFlight())})
	}
	return out
}
