package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minSpeedTokens is the minimum answer length, in tokens, of a speed sample. In shorter answers
	// the time of the first tokens weighs too much.
	minSpeedTokens = 64
	// maxSpeedSamples bounds the samples in an instance's report.
	maxSpeedSamples = 512
	// speedsTTL is how long shared speeds are used after the last report of the lease holder.
	speedsTTL = 5 * time.Second
	// serverSpeedTTL is how long a server's shared speed is used after it was last reported. It
	// exceeds the time in which the lease holder reports the speed of every server at least once.
	serverSpeedTTL = 20 * time.Second
	// unevenDeviation is the mean deviation of the speeds of a target's servers, relative to
	// their mean, above which requests may leave their failure domain for faster servers.
	unevenDeviation = 0.1
)

// SpeedSample is an instance's measurement of a server's speed since its last report: the sum, over
// one model's answers, of the logarithm of the time per token.
type SpeedSample struct {
	Server string
	Start  string  // of the server, as in Server.Start; samples of an earlier start don't count
	Pool   string  // of the server
	Model  string  // of the answers; the usual time per token differs between models
	Count  int     // number of answers
	LogSum float64 // sum of the natural logarithms of the seconds per token
}

// ServerSpeed is a server's speed, estimated from the samples of all instances.
type ServerSpeed struct {
	Server string
	Start  string  // as in SpeedSample
	Speed  float64 // work per time relative to the mean of its pool; above 1 is fast
	Count  float64 // number of answers that it is estimated from, weighted by age
}

// speedSum is the sum of the speed samples of one model at one server.
type speedSum struct {
	model  string
	count  int
	logSum float64
}

// sharedSpeed is a server's speed as the lease holder last reported it.
type sharedSpeed struct {
	speed      float64 // see ServerSpeed.Speed; 0: not known
	count      float64 // see ServerSpeed.Count
	receivedAt time.Time
}

// addSpeedSample records the seconds per token of an answer from the server.
func (s *serverState) addSpeedSample(model string, perToken float64) {
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

// TakeSpeedSamples returns the speed samples since the last call, sorted by server and model.
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

// UpdateSpeeds handles a report of servers' speeds from the lease holder. Servers that it doesn't name
// keep their last reported speed until serverSpeedTTL.
func (s *Scheduler) UpdateSpeeds(now time.Time, speeds []ServerSpeed) {
	s.fleet.speedsReceivedAt = now
	changed := false
	for _, reported := range speeds {
		srv := s.fleet.servers[reported.Server]
		if srv == nil || srv.Start != reported.Start || reported.Speed <= 0 {
			continue
		}
		srv.shared = sharedSpeed{speed: min(max(reported.Speed, 1.0/maxSlowdown), maxSlowdown), count: reported.Count, receivedAt: now}
		changed = true
	}
	for _, srv := range s.fleet.servers {
		if srv.shared.speed > 0 && now.Sub(srv.shared.receivedAt) > serverSpeedTTL {
			srv.shared = sharedSpeed{}
			changed = true
		}
	}
	if changed {
		s.fleet.updateTargetSpeeds()
	}
}

// expireSpeeds drops all shared speeds if the lease holder hasn't reported any for speedsTTL. The
// instance then estimates slowdowns from its own answers.
func (s *Scheduler) expireSpeeds(now time.Time) {
	if s.fleet.speedsReceivedAt.IsZero() || now.Sub(s.fleet.speedsReceivedAt) <= speedsTTL {
		return
	}
	s.fleet.speedsReceivedAt = time.Time{}
	for _, srv := range s.fleet.servers {
		srv.shared = sharedSpeed{}
	}
	s.fleet.updateTargetSpeeds()
}

// speed returns the server's shared speed, 1 if it isn't known.
func (s *serverState) speed() float64 {
	if s.shared.speed <= 0 {
		return 1
	}
	return s.shared.speed
}

// slowdownAmong returns the time that the server takes relative to the mean of the target's servers,
// or 1 if it isn't known. It is the factor for the target's times, which are measured at its servers.
func (s *serverState) slowdownAmong(t *targetState) float64 {
	if s.usesSharedSpeed() {
		return min(max(t.meanSpeed()/s.shared.speed, 1.0/maxSlowdown), maxSlowdown)
	}
	return s.relativeSlowdown()
}

// usesSharedSpeed reports whether the shared speed is estimated from more answers than this
// instance's own slowdown.
func (s *serverState) usesSharedSpeed() bool {
	return s.shared.speed > 0 && s.shared.count > float64(min(s.slowdown.n, averageSamples))
}

// meanSpeed returns the mean speed of the target's servers.
func (t *targetState) meanSpeed() float64 {
	if t.totalSpeed <= 0 {
		return 1
	}
	return t.totalSpeed / float64(len(t.replicas))
}

// sumSpeeds sets totalSpeed and uneven.
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

// updateTargetSpeeds updates the targets after a change of shared speeds.
func (f *fleet) updateTargetSpeeds() {
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
