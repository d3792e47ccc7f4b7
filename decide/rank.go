package decide

// Ranks is the number of ranks of requests that are distinguished: 0, the most urgent, to Ranks-1.
// Less urgent ranks count as the last.
const Ranks = 4

// RankIndex returns the index of a rank in arrays by rank.
func RankIndex(rank int) int { return min(max(rank, 0), Ranks-1) }

// SumRanks returns the sum of values by rank.
func SumRanks(byRank [Ranks]float64) float64 {
	total := 0.0
	for _, v := range byRank {
		total += v
	}
	return total
}
