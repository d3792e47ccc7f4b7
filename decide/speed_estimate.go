package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedDecayTime is the time constant with which answers lose their weight in a server's
	// speed.
	speedDecayTime = 10 * time.Second
	// recentSpeedAnswers is the number of newest answers that show that a server's speed
	// changed.
	recentSpeedAnswers = 8
	// speedChange is the ratio between the speed in the newest answers and the one before,
	// either way, from which older answers no longer count.
	speedChange = 1.5
	// changeDeviations is how many standard errors such a change also has to exceed.
	changeDeviations = 3.5
	// minSpeedAnswers is the weight of answers from which a speed is known.
	minSpeedAnswers = 5.0
	// minSpeedDifference is the relative difference from 1 below which a speed counts as 1.
	minSpeedDifference = 0.05
	// minSpread is the least assumed standard deviation of the logarithm of a pool's speeds.
	minSpread = 0.02
	// speedSweeps is the number of alternations between models and servers in one fit. Each
	// fit goes on from the one before.
	speedSweeps = 4
	// initialVariance is the assumed variance of the logarithm of the time per token, and
	// varianceWeight the weight of an answer in the measured one.
	initialVariance = 0.1
	varianceWeight  = 0.02
	// minCellWeight is the weight of answers below which they are dropped.
	minCellWeight = 0.05
)

// SpeedEstimator estimates servers' speeds from the answers that all instances measured. An
// answer's time per token is taken as the product of what its model needs at a server of
// speed 1 and the server's slowness, so that a slow model isn't taken for a slow server.
// It is not safe for concurrent use.
type SpeedEstimator struct {
	pools    map[string]*poolSpeeds
	byServer map[speedKey]*serverEstimate
	fittedAt time.Time
}

// speedKey identifies a start of a server.
type speedKey struct{ server, start string }

// poolSpeeds is what is known of a pool.
type poolSpeeds struct {
	models   map[string]*modelEstimate
	servers  []*serverEstimate // in the order of their first answers
	variance float64           // of the logarithm of the time per token, with models and servers allowed for
}

// modelEstimate is the time per token of a model at a server of speed 1.
type modelEstimate struct {
	logTime     float64
	sum, weight float64 // of the current sweep
}

// serverEstimate is the speed of one start of a server.
type serverEstimate struct {
	key      speedKey
	pool     *poolSpeeds
	cells    []speedCell
	recent   []recentAnswer // the newest, at most recentSpeedAnswers
	mean     float64        // of the logarithms of its speed in its answers
	logSpeed float64        // the estimate, nearer to 0 than mean
	weight   float64        // of its answers
}

// speedCell holds the answers of one model at one server.
type speedCell struct {
	model  *modelEstimate
	weight float64 // answers, weighted by age
	sum    float64 // of the logarithms of their times per token, weighted by age
}

// recentAnswer is the mean of the answers of one sample.
type recentAnswer struct {
	model   *modelEstimate
	logTime float64
}

// NewSpeedEstimator returns an estimator that knows no server.
func NewSpeedEstimator() *SpeedEstimator {
	return &SpeedEstimator{pools: map[string]*poolSpeeds{}, byServer: map[speedKey]*serverEstimate{}}
}

// Add adds what one instance measured. Samples are sums since the instance's previous report,
// so a lost report loses its own samples only.
func (e *SpeedEstimator) Add(samples []SpeedSample) {
	for _, s := range samples {
		mean := s.LogSum / float64(s.Count)
		if s.Count <= 0 || math.IsNaN(mean) || math.IsInf(mean, 0) {
			continue
		}
		p := e.pool(s.Pool)
		p.server(e, speedKey{s.Server, s.Start}).add(p.model(s.Model, mean), float64(s.Count), mean)
	}
}

func (e *SpeedEstimator) pool(name string) *poolSpeeds {
	p := e.pools[name]
	if p == nil {
		p = &poolSpeeds{models: map[string]*modelEstimate{}, variance: initialVariance}
		e.pools[name] = p
	}
	return p
}

func (p *poolSpeeds) server(e *SpeedEstimator, key speedKey) *serverEstimate {
	s := e.byServer[key]
	if s == nil {
		s = &serverEstimate{key: key, pool: p}
		e.byServer[key] = s
		p.servers = append(p.servers, s)
	}
	return s
}

// model returns the model's estimate. A new one starts with the time of its first answer.
func (p *poolSpeeds) model(name string, logTime float64) *modelEstimate {
	m := p.models[name]
	if m == nil {
		m = &modelEstimate{logTime: logTime}
		p.models[name] = m
	}
	return m
}

func (s *serverEstimate) add(m *modelEstimate, count, mean float64) {
	c := s.cell(m)
	c.weight += count
	c.sum += count * mean
	if s.weight >= minSpeedAnswers {
		d := min(math.Abs(mean-m.logTime+s.logSpeed), math.Log(maxSlowdown))
		s.pool.variance += varianceWeight * (count*d*d - s.pool.variance)
	}
	if len(s.recent) == recentSpeedAnswers {
		copy(s.recent, s.recent[1:])
		s.recent = s.recent[:recentSpeedAnswers-1]
	}
	s.recent = append(s.recent, recentAnswer{m, mean})
}

func (s *serverEstimate) cell(m *modelEstimate) *speedCell {
	for i := range s.cells {
		if s.cells[i].model == m {
			return &s.cells[i]
		}
	}
	s.cells = append(s.cells, speedCell{model: m})
	return &s.cells[len(s.cells)-1]
}

// Fit brings the speeds up to date.
func (e *SpeedEstimator) Fit(now time.Time) {
	keep := 1.0
	if !e.fittedAt.IsZero() {
		keep = math.Exp(-now.Sub(e.fittedAt).Seconds() / speedDecayTime.Seconds())
	}
	e.fittedAt = now
	for _, p := range e.pools {
		p.decay(e, keep)
		for _, s := range p.servers {
			s.dropBeforeChange()
		}
		for range speedSweeps {
			p.fitModels()
			p.fitServers()
		}
		p.normalize()
	}
}

// decay reduces the weight of past answers and forgets servers and models without any.
func (p *poolSpeeds) decay(e *SpeedEstimator, keep float64) {
	servers := p.servers[:0]
	for _, s := range p.servers {
		s.decay(keep)
		if len(s.cells) == 0 {
			delete(e.byServer, s.key)
			continue
		}
		servers = append(servers, s)
	}
	clear(p.servers[len(servers):])
	p.servers = servers
}

func (s *serverEstimate) decay(keep float64) {
	cells := s.cells[:0]
	for _, c := range s.cells {
		c.weight *= keep
		c.sum *= keep
		if c.weight >= minCellWeight {
			cells = append(cells, c)
		}
	}
	s.cells = cells
}

// dropBeforeChange drops older answers if the newest ones show another speed.
func (s *serverEstimate) dropBeforeChange() {
	if len(s.recent) < recentSpeedAnswers || s.weight < minSpeedAnswers {
		return
	}
	recent := 0.0
	for _, a := range s.recent {
		recent += (a.model.logTime - a.logTime) / recentSpeedAnswers
	}
	limit := max(math.Log(speedChange), changeDeviations*math.Sqrt(s.pool.variance/recentSpeedAnswers))
	if math.Abs(recent-s.logSpeed) <= limit {
		return
	}
	s.cells = s.cells[:0]
	for _, a := range s.recent {
		c := s.cell(a.model)
		c.weight++
		c.sum += a.logTime
	}
}

// fitModels sets each model's time to the mean of its answers at speed 1.
func (p *poolSpeeds) fitModels() {
	for _, m := range p.models {
		m.sum, m.weight = 0, 0
	}
	for _, s := range p.servers {
		for _, c := range s.cells {
			c.model.sum += c.sum + c.weight*s.logSpeed
			c.model.weight += c.weight
		}
	}
	for name, m := range p.models {
		if m.weight == 0 {
			delete(p.models, name)
			continue
		}
		m.logTime = m.sum / m.weight
	}
}

// fitServers sets each server's speed to the mean of its answers against their models' times.
// The fewer its answers are and the less the pool's servers differ, the nearer to 1.
func (p *poolSpeeds) fitServers() {
	prior := p.variance / p.spread() // in answers
	for _, s := range p.servers {
		sum := 0.0
		s.weight = 0
		for _, c := range s.cells {
			sum += c.weight*c.model.logTime - c.sum
			s.weight += c.weight
		}
		s.mean = sum / s.weight
		s.logSpeed = sum / (s.weight + prior)
	}
}

// spread returns the variance of the logarithms of the servers' speeds: that of the means of
// their answers, less what chance adds to it.
func (p *poolSpeeds) spread() float64 {
	sum, n := 0.0, 0.0
	for _, s := range p.servers {
		if s.weight >= minSpeedAnswers {
			sum += s.mean*s.mean - p.variance/s.weight
			n++
		}
	}
	return max(sum/max(n, 1), minSpread*minSpread)
}

// normalize makes the mean of the servers' speeds 1.
func (p *poolSpeeds) normalize() {
	mean := 0.0
	for _, s := range p.servers {
		mean += math.Exp(s.logSpeed) / float64(len(p.servers))
	}
	if mean <= 0 {
		return
	}
	shift := math.Log(mean)
	for _, s := range p.servers {
		s.mean -= shift
		s.logSpeed -= shift
	}
	for _, m := range p.models {
		m.logTime -= shift
	}
}

// Speeds returns the known speeds as of the newest fit, by server and start.
func (e *SpeedEstimator) Speeds() []ServerSpeed {
	var out []ServerSpeed
	for _, s := range e.byServer {
		if s.weight >= minSpeedAnswers {
			out = append(out, ServerSpeed{Server: s.key.server, Start: s.key.start, Speed: s.speed(), Count: s.weight})
		}
	}
	slices.SortFunc(out, func(a, b ServerSpeed) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Start, b.Start))
	})
	return out
}

// Speed returns the speed of one start of a server as of the newest fit, 1 if it isn't known.
func (e *SpeedEstimator) Speed(server, start string) float64 {
	s := e.byServer[speedKey{server, start}]
	if s == nil || s.weight < minSpeedAnswers {
		return 1
	}
	return s.speed()
}

// speed returns the speed, or 1 if the difference is too small to matter.
func (s *serverEstimate) speed() float64 {
	if math.Abs(s.logSpeed) < math.Log(1+minSpeedDifference) {
		return 1
	}
	return math.Exp(s.logSpeed)
}
