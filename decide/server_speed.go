package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minSpeedTokens is the minimum answer length of a speed sample. In shorter answers the
	// time of the first events weighs too much.
	minSpeedTokens = 64
	// maxSpeedSamples bounds the samples that an instance keeps between two reports.
	maxSpeedSamples = 512
	// speedsTTL is how long shared speeds are used after the lease holder last told any.
	speedsTTL = 5 * time.Second
	// serverSpeedTTL is how long a server's shared speed is used after it was last told. It
	// exceeds the time in which the lease holder tells the speeds of all servers.
	serverSpeedTTL = 20 * time.Second
	// unevenDeviation is the mean deviation of the speeds of a target's servers, relative to
	// their mean, above which a request may leave its failure domain for them.
	unevenDeviation = 0.1
)

// SpeedSample is what an instance measured of a server's speed since its last report: how
// long the server took for each token of one model's answers.
type SpeedSample struct {
	Server string
	Start  string  // of the server, as in Server.Start: what an earlier start showed is void
	Pool   string  // of the server
	Model  string  // whose answers these are; what is usual differs between models
	Count  int     // answers
	LogSum float64 // sum of the natural logarithms of the seconds per token
}

// ServerSpeed is a server's speed as all instances together measured it.
type ServerSpeed struct {
	Server string
	Start  string
	Speed  float64 // work per time relative to the mean of its pool; above 1 is fast
	Count  float64 // answers that it rests on, weighted by age
}

// speedSum is the sum of the speed samples of one model at one server.
type speedSum struct {
	model  string
	count  int
	logSum float64
}

// sharedSpeed is a server's speed as the lease holder last told it.
type sharedSpeed struct {
	speed  float64 // 0: not known
	count  float64
	toldAt time.Time
}

// measure records the seconds per token of an answer from the server.
func (s *serverState) measure(model string, perToken float64) {
	if perToken <= 0 {
		return
	}
	for i := range s.speedSums {
		if sum := &s.speedSums[i]; sum.model == model {
			sum.count++
			sum.logSum += math.Log(perToken)
			return
		}
	}
	s.speedSums = append(s.speedSums, speedSum{model, 1, math.Log(perToken)})
}

// TakeSpeedSamples returns what this instance measured of servers' speeds since the last call.
func (s *Scheduler) TakeSpeedSamples() []SpeedSample {
	var out []SpeedSample
	for _, srv := range s.fleet.servers {
		for _, sum := range srv.speedSums {
			out = append(out, SpeedSample{Server: srv.ID, Start: srv.Start, Pool: srv.Pool, Model: sum.model, Count: sum.count, LogSum: sum.logSum})
		}
		srv.speedSums = srv.speedSums[:0]
	}
	slices.SortFunc(out, func(a, b SpeedSample) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model))
	})
	return out[:min(len(out), maxSpeedSamples)]
}

// UpdateSpeeds handles servers' speeds as all instances together measured them. Servers that
// aren't named keep the speed that was last told.
func (s *Scheduler) UpdateSpeeds(now time.Time, speeds []ServerSpeed) {
	s.fleet.speedsReceivedAt = now
	changed := false
	for _, told := range speeds {
		srv := s.fleet.servers[told.Server]
		if srv == nil || srv.Start != told.Start || told.Speed <= 0 {
			continue
		}
		srv.shared = sharedSpeed{speed: min(max(told.Speed, 1.0/maxSlowdown), maxSlowdown), count: told.Count, toldAt: now}
		changed = true
	}
	for _, srv := range s.fleet.servers {
		if srv.shared.speed > 0 && now.Sub(srv.shared.toldAt) > serverSpeedTTL {
			srv.shared = sharedSpeed{}
			changed = true
		}
	}
	if changed {
		s.fleet.speedsChanged()
	}
}

// expireSpeeds forgets all shared speeds if the lease holder hasn't told any for speedsTTL.
// The instance then goes by its own answers.
func (s *Scheduler) expireSpeeds(now time.Time) {
	if s.fleet.speedsReceivedAt.IsZero() || now.Sub(s.fleet.speedsReceivedAt) <= speedsTTL {
		return
	}
	s.fleet.speedsReceivedAt = time.Time{}
	for _, srv := range s.fleet.servers {
		srv.shared = sharedSpeed{}
	}
	s.fleet.speedsChanged()
}

// speed returns the server's shared speed, 1 if it isn't known.
func (s *serverState) speed() float64 {
	if s.shared.speed <= 0 {
		return 1
	}
	return s.shared.speed
}

// slowdownAmong returns how many times as long the server takes as the target's servers do in
// the mean, or 1 if that isn't known. The target's times are those at its servers, so what
// multiplies them is relative to these.
func (s *serverState) slowdownAmong(t *targetState) float64 {
	if s.goesByShared() {
		return min(max(t.meanSpeed()/s.shared.speed, 1.0/maxSlowdown), maxSlowdown)
	}
	return s.relativeSlowdown()
}

// goesByShared reports whether the shared speed rests on more answers than this instance's own.
func (s *serverState) goesByShared() bool {
	return s.shared.speed > 0 && s.shared.count > float64(min(s.slowdown.n, averageSamples))
}

// meanSpeed returns the mean speed of the target's servers.
func (t *targetState) meanSpeed() float64 {
	if t.totalSpeed <= 0 {
		return 1
	}
	return t.totalSpeed / float64(len(t.replicas))
}

// sumSpeeds computes the sum of the speeds of the target's replicas, and whether they differ.
func (t *targetState) sumSpeeds() {
	t.totalSpeed = 0
	for i := range t.replicas {
		t.totalSpeed += t.replicas[i].server.speed()
	}
	mean, deviation := t.meanSpeed(), 0.0
	for i := range t.replicas {
		deviation += math.Abs(t.replicas[i].server.speed() - mean)
	}
	t.uneven = deviation > unevenDeviation*t.totalSpeed
}

// speedsChanged brings what depends on shared speeds up to date.
func (f *fleet) speedsChanged() {
	for _, t := range f.sortedTargets {
		t.sumSpeeds()
	}
}

// SpeedRange returns the shared speeds of the slowest and the fastest server, 1 if none are
// known.
func (s *Scheduler) SpeedRange() (slowest, fastest float64) {
	slowest, fastest = 1, 1
	for _, srv := range s.fleet.servers {
		slowest, fastest = min(slowest, srv.speed()), max(fastest, srv.speed())
	}
	return slowest, fastest
}
