package decide

import "math"

const (
	// averageWeight is the weight of a new sample after the first ones. About the last
	// twenty samples count: few enough to follow a slowing server within seconds, enough
	// to tolerate an outlier.
	averageWeight = 0.05
	// averageSamples is the effective number of samples in an average.
	averageSamples = 1 / averageWeight
	// minAverageSamples is the number of samples before a refusal may depend on an
	// average.
	minAverageSamples = 3
)

// average is an exponentially weighted moving average with its mean absolute deviation.
// The first samples have equal weights, so that it is accurate early.
type average struct {
	mean, dev float64
	n         int
}

func (a *average) add(x float64) {
	a.n++
	w := max(1/float64(a.n), averageWeight)
	d := x - a.mean
	a.mean += w * d
	if a.n > 1 {
		a.dev += w * (math.Abs(d) - a.dev)
	}
}

func (a *average) warm() bool { return a.n >= minAverageSamples }
