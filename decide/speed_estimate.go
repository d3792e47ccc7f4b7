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
	// recentSpeedAnswers is the number of newest answers that show a change of a server's
	// speed: if each differs from the estimate by speedChange or more, all the same way, older
	// answers no longer count.
	recentSpeedAnswers = 8
	speedChange        = 1.5
	// fasterDeviations is how many standard errors the newest answers have to exceed the
	// estimate to show a faster server.
	fasterDeviations = 4.0
	// outlierDeviations is how many standard deviations a changed speed has to differ from 1
	// to be taken for unlike the others in its pool.
	outlierDeviations = 2.0
	// minSpeedAnswers is the weight of answers from which a speed is known.
	minSpeedAnswers = 3.0
	// minSpeedDifference is the relative difference from 1 below which a speed counts as 1.
	minSpeedDifference = 0.05
	// initialSpread is the assumed variance of the logarithms of the servers' speeds, and of
	// the models' times, before they are known. minSpread is the least.
	initialSpread = 0.1
	minSpread     = 0.0004
	// speedSweeps is the number of alternations between models and servers in one fit. Each
	// fit goes on from the one before.
	speedSweeps = 4
	// initialVariance is the assumed variance of the logarithm of the time per token, and
	// varianceWeight the weight of an answer in the measured one.
	initialVariance = 0.1
	varianceWeight  = 0.005
	// minCellWeight is the weight of answers below which they are dropped.
	minCellWeight = 0.05
)

// SpeedEstimator estimates servers' speeds from the answers that all instances measured. An
// answer's time per token is taken as the product of what its model needs at a server of
// speed 1 and the server's slowness, so that a slow model isn't taken for a slow server. Both
// are random effects whose variances are estimated too (by expectation maximization), since
// many models have one server only: a server all of whose models are slow is taken for slow
// where servers differ more than models do. It is not safe for concurrent use.
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
	ordered  []*modelEstimate  // the same in the order of their first answers
	servers  []*serverEstimate // in the order of their first answers
	logTime  float64           // of the time per token of a usual model at a server of speed 1
	variance float64           // of the logarithm of the time per token, with models and servers allowed for

	serverSpread, modelSpread float64 // variances of serverEstimate.logSpeed and modelEstimate.offset
}

// modelEstimate is the time per token of a model at a server of speed 1.
type modelEstimate struct {
	name        string
	offset      float64 // of the time's logarithm from poolSpeeds.logTime
	sum, weight float64 // of the current sweep
}

// serverEstimate is the speed of one start of a server.
type serverEstimate struct {
	key      speedKey
	pool     *poolSpeeds
	outlier  bool // its speed changed, and not to a usual one of the pool
	cells    []speedCell
	recent   []recentAnswer // the newest, at most recentSpeedAnswers
	logSpeed float64
	weight   float64 // of its answers
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
		p := e.pool(s.Pool, mean)
		p.server(e, speedKey{s.Server, s.Start}).add(p.model(s.Model), float64(s.Count), mean)
	}
}

// pool returns what is known of a pool, of a new one the logarithm of its first answer's time
// per token.
func (e *SpeedEstimator) pool(name string, logTime float64) *poolSpeeds {
	p := e.pools[name]
	if p == nil {
		p = &poolSpeeds{
			models: map[string]*modelEstimate{}, logTime: logTime, variance: initialVariance,
			serverSpread: initialSpread, modelSpread: initialSpread,
		}
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

func (p *poolSpeeds) model(name string) *modelEstimate {
	m := p.models[name]
	if m == nil {
		m = &modelEstimate{name: name}
		p.models[name] = m
		p.ordered = append(p.ordered, m)
	}
	return m
}

func (s *serverEstimate) add(m *modelEstimate, count, mean float64) {
	c := s.cell(m)
	c.weight += count
	c.sum += count * mean
	if s.weight >= minSpeedAnswers {
		d := min(math.Abs(mean-s.expected(m)), math.Log(maxSlowdown))
		s.pool.variance += varianceWeight * (count*d*d - s.pool.variance)
	}
	if len(s.recent) == recentSpeedAnswers {
		copy(s.recent, s.recent[1:])
		s.recent = s.recent[:recentSpeedAnswers-1]
	}
	s.recent = append(s.recent, recentAnswer{m, mean})
}

// expected returns the logarithm of the seconds per token of a model's answers.
func (s *serverEstimate) expected(m *modelEstimate) float64 {
	return s.pool.logTime + m.offset - s.logSpeed
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
			p.fitServers()
			p.fitModels()
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

// dropBeforeChange drops older answers if all the newest ones show another speed.
func (s *serverEstimate) dropBeforeChange() {
	if len(s.recent) < recentSpeedAnswers {
		return
	}
	if !s.isSlower() && !s.isFaster() {
		return
	}
	s.outlier = true // until fitServers finds it like the others
	s.cells = s.cells[:0]
	for _, a := range s.recent {
		c := s.cell(a.model)
		c.weight++
		c.sum += a.logTime
	}
	s.recent = s.recent[:0]
}

// isSlower reports whether each of the newest answers took longer than expected by speedChange.
func (s *serverEstimate) isSlower() bool {
	return !slices.ContainsFunc(s.recent, func(a recentAnswer) bool {
		return a.logTime-s.expected(a.model) < math.Log(speedChange)
	})
}

// isFaster reports whether each of the newest answers took less time than expected by
// speedChange, and together less than by chance. A server that is wrongly taken for faster is
// overloaded, so more is asked for than to find one slower.
func (s *serverEstimate) isFaster() bool {
	sum := 0.0
	for _, a := range s.recent {
		d := s.expected(a.model) - a.logTime
		if d < math.Log(speedChange) {
			return false
		}
		sum += d
	}
	return sum > fasterDeviations*math.Sqrt(s.pool.variance*recentSpeedAnswers)
}

// fitServers sets the servers' speeds, given the models' times. The fewer a server's answers
// are and the less servers differ, the nearer to 1.
func (p *poolSpeeds) fitServers() {
	prior := p.variance / p.serverSpread // in answers
	spread, n := 0.0, 0.0
	for _, s := range p.servers {
		sum := 0.0
		s.weight = 0
		for _, c := range s.cells {
			sum += c.weight*(p.logTime+c.model.offset) - c.sum
			s.weight += c.weight
		}
		if s.outlier {
			s.logSpeed = sum / (s.weight + p.variance/max(p.serverSpread, initialSpread))
			s.outlier = s.logSpeed*s.logSpeed > outlierDeviations*outlierDeviations*(p.serverSpread+p.variance/s.weight)
			continue
		}
		s.logSpeed = sum / (s.weight + prior)
		spread += s.logSpeed*s.logSpeed + p.variance/(s.weight+prior)
		n++
	}
	p.serverSpread = max(spread/max(n, 1), minSpread)
}

// fitModels sets the models' times, given the servers' speeds.
func (p *poolSpeeds) fitModels() {
	for _, m := range p.ordered {
		m.sum, m.weight = 0, 0
	}
	total, weight := 0.0, 0.0
	for _, s := range p.servers {
		for _, c := range s.cells {
			sum := c.sum + c.weight*s.logSpeed
			c.model.sum += sum
			c.model.weight += c.weight
			total += sum - c.weight*c.model.offset
			weight += c.weight
		}
	}
	if weight > 0 {
		p.logTime = total / weight
	}
	prior := p.variance / p.modelSpread
	spread := 0.0
	kept := p.ordered[:0]
	for _, m := range p.ordered {
		if m.weight == 0 {
			delete(p.models, m.name)
			continue
		}
		kept = append(kept, m)
		m.offset = (m.sum - m.weight*p.logTime) / (m.weight + prior)
		spread += m.offset*m.offset + p.variance/(m.weight+prior)
	}
	clear(p.ordered[len(kept):])
	p.ordered = kept
	p.modelSpread = max(spread/max(float64(len(kept)), 1), minSpread)
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
		s.logSpeed -= shift
	}
	p.logTime -= shift
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

// Has reports whether any answers of one start of a server still have weight.
func (e *SpeedEstimator) Has(server, start string) bool {
	return e.byServer[speedKey{server, start}] != nil
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
