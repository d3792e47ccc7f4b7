package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedDecayTime is the time constant with which answers lose their weight in the estimates.
	speedDecayTime = 10 * time.Second
	// recentSpeedAnswers is the number of newest samples that show a change of a server's speed:
	// if all of them are slower, or all faster, than estimated by at least the factor speedChange,
	// older answers no longer count.
	recentSpeedAnswers = 8
	speedChange        = 1.5
	// fasterDeviations is the number of standard errors by which the newest answers have to be
	// faster than estimated to show a faster server.
	fasterDeviations = 4.0
	// outlierDeviations is the number of standard deviations by which the logarithm of a changed
	// speed has to differ from 0 for the server to be an outlier in its pool.
	outlierDeviations = 2.0
	// minSpeedAnswers is the least weight of the answers of a server whose speed is known.
	minSpeedAnswers = 3.0
	// minSpeedDifference is the relative difference from 1 below which a speed counts as 1.
	minSpeedDifference = 0.05
	// minSpeedErrors is the number of standard errors by which the logarithm of a speed has to differ from
	// 0 for the server to count as fast or slow.
	minSpeedErrors = 2.0
	// initialSpread is the assumed variance of the logarithms of the servers' speeds, and of the
	// models' times, before the first fit. minSpread is the least variance of both.
	initialSpread = 0.1
	minSpread     = 0.0004
	// speedSweeps is the number of alternations between models and servers in one fit. A few are
	// enough, since each fit starts from the previous one.
	speedSweeps = 4
	// initialVariance is the assumed variance of the logarithm of the time per token before any
	// answers, and varianceWeight the weight of a new sample in the moving estimate of it.
	initialVariance = 0.1
	varianceWeight  = 0.005
	// minCellWeight is the weight below which the answers of a model at a server are dropped.
	minCellWeight = 0.05
)

// SpeedEstimator estimates servers' speeds from the samples of all instances. The model of an answer's
// time per token is the time of its model at a server of speed 1 divided by the server's speed, so that
// a slow model isn't taken for a slow server. The logarithms of both factors are random effects, whose
// variances are estimated by expectation maximization. Many models have one server only, so the
// variances decide: a server with slow answers for all its models counts as slow where servers differ
// more than models do. It is not safe for concurrent use.
type SpeedEstimator struct {
	pools    map[string]*poolSpeeds
	byServer map[speedKey]*serverEstimate
	fittedAt time.Time
}

// speedKey identifies a start of a server.
type speedKey struct{ server, start string }

// poolSpeeds holds the estimates of a pool. Logarithms are natural, of times in seconds.
type poolSpeeds struct {
	models   map[string]*modelEstimate
	ordered  []*modelEstimate  // the same in the order of their first answers
	servers  []*serverEstimate // in the order of their first answers
	logTime  float64           // logarithm of the mean model's time per token at a server of speed 1
	variance float64           // of the logarithm of the time per token, given the model and the server

	serverSpread, modelSpread float64 // variances of serverEstimate.logSpeed and modelEstimate.offset
}

// modelEstimate is the time per token of a model at a server of speed 1.
type modelEstimate struct {
	name        string
	offset      float64 // logarithm of the time per token less poolSpeeds.logTime
	sum, weight float64 // of its answers' logarithms of time; used within one sweep
}

// serverEstimate is the speed of one start of a server.
type serverEstimate struct {
	key      speedKey
	pool     *poolSpeeds
	outlier  bool // its speed changed to one that is unusual in the pool; it doesn't count in serverSpread
	cells    []speedCell
	recent   []recentAnswer // the newest samples, at most recentSpeedAnswers
	logSpeed float64        // natural logarithm of the speed
	weight   float64        // number of its answers, weighted by age
}

// speedCell holds the answers of one model at one server.
type speedCell struct {
	model  *modelEstimate
	weight float64 // number of answers, weighted by age
	sum    float64 // of the logarithms of their times per token, weighted by age
}

// recentAnswer is the mean of the answers of one sample: the logarithm of the seconds per token.
type recentAnswer struct {
	model   *modelEstimate
	logTime float64
}

// NewSpeedEstimator returns an estimator that knows no server.
func NewSpeedEstimator() *SpeedEstimator {
	return &SpeedEstimator{pools: map[string]*poolSpeeds{}, byServer: map[speedKey]*serverEstimate{}}
}

// Add adds the samples of one instance. They are sums since the instance's previous report, so a lost
// report loses its own samples only.
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

// pool returns the estimates of a pool. A new pool starts with logTime.
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

// server returns the estimate of one start of a server, a new one if there is none.
func (p *poolSpeeds) server(e *SpeedEstimator, key speedKey) *serverEstimate {
	s := e.byServer[key]
	if s == nil {
		s = &serverEstimate{key: key, pool: p}
		e.byServer[key] = s
		p.servers = append(p.servers, s)
	}
	return s
}

// model returns the estimate of a model, a new one if there is none.
func (p *poolSpeeds) model(name string) *modelEstimate {
	m := p.models[name]
	if m == nil {
		m = &modelEstimate{name: name}
		p.models[name] = m
		p.ordered = append(p.ordered, m)
	}
	return m
}

// add adds a sample of count answers, with the mean of the logarithms of their times per token.
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

// expected returns the estimated logarithm of the seconds per token of a model's answers.
func (s *serverEstimate) expected(m *modelEstimate) float64 {
	return s.pool.logTime + m.offset - s.logSpeed
}

// cell returns the server's answers of a model, a new cell if there is none.
func (s *serverEstimate) cell(m *modelEstimate) *speedCell {
	for i := range s.cells {
		if s.cells[i].model == m {
			return &s.cells[i]
		}
	}
	s.cells = append(s.cells, speedCell{model: m})
	return &s.cells[len(s.cells)-1]
}

// Fit updates the speeds with the samples added since the last fit.
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

// decay multiplies the weight of past answers by keep and drops servers that have none left.
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

// decay multiplies the weight of the server's answers by keep and drops cells below minCellWeight.
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

// dropBeforeChange drops older answers if the newest ones show that the speed has changed.
func (s *serverEstimate) dropBeforeChange() {
	if len(s.recent) < recentSpeedAnswers {
		return
	}
	if !s.isSlower() && !s.isFaster() {
		return
	}
	s.outlier = true // until fitServers finds its speed usual in the pool
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

// isFaster reports whether each of the newest answers took less time than expected by speedChange, and
// the sum of the differences exceeds random variation by fasterDeviations. The condition is stricter
// than that of isSlower because a server that is wrongly taken for faster gets overloaded.
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

// fitServers sets the servers' speeds, given the models' times. The estimates are shrunk toward 1: the
// more so the fewer answers a server has and the less servers differ.
func (p *poolSpeeds) fitServers() {
	prior := p.variance / p.serverSpread // weight of the prior, in answers
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

// fitModels sets the models' times, given the servers' speeds, and drops models without answers.
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
	prior := p.variance / p.modelSpread // weight of the prior, in answers
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

// normalize scales the servers' speeds to a mean of 1.
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

// Has reports whether there are answers of one start of a server that haven't been dropped by age.
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

// speed returns the speed, or 1 if the difference is too small to matter or may be random.
func (s *serverEstimate) speed() float64 {
	standardError := math.Sqrt(s.pool.variance / s.weight)
	if math.Abs(s.logSpeed) < max(math.Log(1+minSpeedDifference), minSpeedErrors*standardError) {
		return 1
	}
	return math.Exp(s.logSpeed)
}
