package decide

// Ranks is the number of ranks of requests that are distinguished: 0, the most urgent, to Ranks-1.
// Less urgent ranks count as the last.
const Ranks = 4

// RankIndex returns the index of a rank in arrays by rank.
func RankIndex(rank int) int { return min(max(rank, 0), Ranks-1) }

// Backlog is the number of requests for a target that wait at all instances together, and their rates.
type Backlog struct {
	Target   string
	Waiting  [Ranks]float64 // requests queued at instances, by rank
	Arrivals [Ranks]float64 // requests per second, by rank
	Starts   [Ranks]float64 // requests per second sent to servers, by rank
}
