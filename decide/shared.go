package decide

// Ranks is how many ranks of requests are told apart: 0, the most urgent, to Ranks-1. All less
// urgent ones count as the last.
const Ranks = 4

// RankIndex returns the index of a rank in arrays by rank.
func RankIndex(rank int) int { return min(max(rank, 0), Ranks-1) }

// Backlog is what all instances together have of requests for a target.
type Backlog struct {
	Target   string
	Waiting  [Ranks]float64 // queued at instances, by rank
	Arrivals [Ranks]float64 // per second, by rank
	Starts   [Ranks]float64 // sent to servers per second, by rank
}
