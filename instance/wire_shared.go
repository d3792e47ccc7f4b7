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
			Requests: uint32(r.Requests), Waiting: uint32(r.Waiting), InFlight: uint32(r.InFlight),
			GoalMs: uint32(r.Goal.Milliseconds()), Starts: uint32(r.Starts),
		}
	}
	return out
}

// ranksFromWire is the inverse of wireRanks. Missing ranks are zero.
func ranksFromWire(ranks []*exchange.RankDemand) [decide.Ranks]residency.RankDemand {
	var out [decide.Ranks]residency.RankDemand
	for n, r := range ranks[:min(len(ranks), decide.Ranks)] {
		out[n] = residency.RankDemand{
			Requests: int(r.GetRequests()), Waiting: int(r.GetWaiting()), InFlight: int(r.GetInFlight()),
			Goal: time.Duration(r.GetGoalMs()) * time.Millisecond, Starts: int(r.GetStarts()),
		}
	}
	return out
}

// convertAll converts each element, an empty slice to nil.
func convertAll[From, To any](from []From, convert func(From) To) []To {
	var out []To
	for _, v := range from {
		out = append(out, convert(v))
	}
	return out
}

func wireBacklog(b decide.Backlog) *exchange.Backlog {
	return &exchange.Backlog{
		Target: b.Target, Waiting: wireByRank(b.Waiting), Arrivals: wireByRank(b.Arrivals), Starts: wireByRank(b.Starts),
	}
}

func backlogFromWire(b *exchange.Backlog) decide.Backlog {
	return decide.Backlog{
		Target: b.GetTarget(), Waiting: byRankFromWire(b.GetWaiting()), Arrivals: byRankFromWire(b.GetArrivals()), Starts: byRankFromWire(b.GetStarts()),
	}
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

func wireSpeedSample(s decide.SpeedSample) *exchange.SpeedSample {
	return &exchange.SpeedSample{Server: s.Server, Start: s.Start, Count: uint32(s.Count), LogSum: float32(s.LogSum), Pool: s.Pool, Model: s.Model}
}

func speedSampleFromWire(s *exchange.SpeedSample) decide.SpeedSample {
	return decide.SpeedSample{
		Server: s.GetServer(), Start: s.GetStart(), Count: int(s.GetCount()), LogSum: float64(s.GetLogSum()), Pool: s.GetPool(), Model: s.GetModel(),
	}
}

func wireSpeed(s decide.ServerSpeed) *exchange.ServerSpeed {
	return &exchange.ServerSpeed{Server: s.Server, Start: s.Start, Speed: float32(s.Speed), Count: float32(s.Count)}
}

func speedFromWire(s *exchange.ServerSpeed) decide.ServerSpeed {
	return decide.ServerSpeed{Server: s.GetServer(), Start: s.GetStart(), Speed: float64(s.GetSpeed()), Count: float64(s.GetCount())}
}

func wireAccountDemand(d decide.AccountDemand) *exchange.AccountDemand {
	return &exchange.AccountDemand{Account: d.Account, Pool: d.Pool, Waiting: float32(d.Waiting), InFlight: float32(d.InFlight)}
}

func accountDemandFromWire(d *exchange.AccountDemand) decide.AccountDemand {
	return decide.AccountDemand{Account: d.GetAccount(), Pool: d.GetPool(), Waiting: float64(d.GetWaiting()), InFlight: float64(d.GetInFlight())}
}
