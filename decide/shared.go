package decide

import "time"

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
	Starts   float64        // requests per second that servers began to run
}

// SpeedSample is what an instance measured of a server's speed since its last report.
type SpeedSample struct {
	Server string
	Start  string  // of the server, as in Server.Start: what an earlier start showed is void
	Count  int     // answers
	LogSum float64 // sum of the natural logarithms of time taken / the pool's usual time
}

// ServerSpeed is a server's speed as all instances together measured it.
type ServerSpeed struct {
	Server string
	Start  string
	Speed  float64 // work per time relative to the mean of its pool; above 1 is fast
	Count  float64 // answers that it rests on, weighted by age
}

// UpdateBacklogs handles the newest backlogs of all instances together, this one included. They
// replace all earlier ones. age is how old they are in the mean.
func (s *Scheduler) UpdateBacklogs(now time.Time, backlogs []Backlog, age time.Duration) []Decision {
	s.out = s.out[:0]
	return s.out
}

// TakeSpeedSamples returns what this instance measured of servers' speeds since the last call.
func (s *Scheduler) TakeSpeedSamples() []SpeedSample { return nil }

// UpdateSpeeds handles the servers' speeds as all instances together measured them. They replace
// all earlier ones.
func (s *Scheduler) UpdateSpeeds(now time.Time, speeds []ServerSpeed) {}
