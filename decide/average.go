package decide

import "math"

const (
	// averageMemory is the weight of a new sample once an average is warm: about
	// the last twenty samples count, few enough to follow a server that slows
	// down within seconds, enough to ride out one odd answer.
	averageMemory = 0.05
	// averageWarm is how many samples an average needs before a refusal may
	// rest on it.
	averageWarm = 3
)

// average is an exponentially weighted mean with its mean deviation. The first
// samples weigh equally, so that it is near the truth at once.
type average struct {
	mean, dev float64
	n         int
}

func (a *average) add(x float64) {
	a.n++
	w := max(1/float64(a.n), averageMemory)
	d := x - a.mean
	a.mean += w * d
	if a.n > 1 {
		a.dev += w * (math.Abs(d) - a.dev)
	}
}

func (a *average) warm() bool { return a.n >= averageWarm }
