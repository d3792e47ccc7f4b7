package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// speedWorld simulates servers that answer requests for models. Each answer is a sample of its own.
type speedWorld struct {
	e       *SpeedEstimator
	rng     *rand.Rand
	now     time.Time
	speeds  map[string]float64 // by server
	times   map[string]float64 // seconds per token at speed 1, by model
	starts  map[string]string  // by server
	holds   map[string][]string
	answers map[string]int // by server
}

func newSpeedWorld() *speedWorld {
	return &speedWorld{
		e: NewSpeedEstimator(), rng: rand.New(rand.NewPCG(5, 5)), now: simStart,
		speeds: map[string]float64{}, times: map[string]float64{}, starts: map[string]string{}, holds: map[string][]string{}, answers: map[string]int{},
	}
}

// sample returns one answer of the server for the model. Its time varies by a tenth.
func (w *speedWorld) sample(server, model string) SpeedSample {
	perToken := w.times[model] / w.speeds[server] * math.Exp(0.1*w.rng.NormFloat64())
	return SpeedSample{Server: server, Start: w.starts[server], Pool: "p", Model: model, Count: 1, LogSum: math.Log(perToken)}
}

// run has each server answer each of its models perSecond times a second.
func (w *speedWorld) run(d time.Duration, perSecond int) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second / time.Duration(perSecond)) {
		for _, server := range sortedNames(w.holds) {
			for _, model := range w.holds[server] {
				w.e.Add([]SpeedSample{w.sample(server, model)})
			}
		}
		w.e.Fit(w.now)
	}
}

func (w *speedWorld) speed(server string) float64 { return w.e.Speed(server, w.starts[server]) }

// Half of the models take seven times as long per token as the others. Slow servers hold more
// of the fast models.
func TestSlowModelIsNotTakenForSlowServer(t *testing.T) {
	w := newSpeedWorld()
	for m := range 8 {
		w.times[fmt.Sprint("m", m)] = []float64{0.01, 0.07}[m%2]
	}
	for n := range 12 {
		server := fmt.Sprintf("s%02d", n)
		w.speeds[server] = []float64{0.7, 0.7, 1.6}[n%3]
		w.holds[server] = []string{fmt.Sprint("m", n%8), fmt.Sprint("m", (n+3)%8), fmt.Sprint("m", (n*5+1)%8)}
	}
	w.run(10*time.Second, 3)
	for server, speed := range w.speeds {
		require.InEpsilon(t, speed, w.speed(server), 0.1, server)
	}
}

func evenSpeedWorld(servers int) *speedWorld {
	w := newSpeedWorld()
	w.times["m"] = 0.01
	for n := range servers {
		server := fmt.Sprintf("s%02d", n)
		w.speeds[server], w.holds[server] = 1, []string{"m"}
	}
	return w
}

func TestEvenServersHaveSpeedOne(t *testing.T) {
	w := evenSpeedWorld(20)
	for range 20 {
		w.run(time.Second, 4)
		for server := range w.speeds {
			require.InDelta(t, 1, w.speed(server), 0.05, server)
		}
	}
}

func TestServerThatSlowsAndRecoversIsFound(t *testing.T) {
	w := evenSpeedWorld(20)
	w.run(10*time.Second, 4)
	w.speeds["s03"] = 1.0 / 3
	w.run(3*time.Second, 4)
	require.InEpsilon(t, 1.0/3, w.speed("s03"), 0.3)
	w.speeds["s03"] = 1
	w.run(3*time.Second, 4)
	require.InDelta(t, 1, w.speed("s03"), 0.15)
}

// A server restarts with the same ID and another speed.
func TestNewStartIsNotJudgedByTheOldOne(t *testing.T) {
	w := evenSpeedWorld(20)
	w.speeds["s03"], w.starts["s03"] = 1.0/3, "a"
	w.run(5*time.Second, 4)
	require.Less(t, w.speed("s03"), 0.5)
	w.starts["s03"], w.speeds["s03"] = "b", 1
	require.Equal(t, 1.0, w.speed("s03"))
	w.run(2*time.Second, 4)
	require.InDelta(t, 1, w.speed("s03"), 0.15)
	late := w.sample("s03", "m")
	late.Start, late.LogSum = "a", late.LogSum+math.Log(3)
	w.e.Add([]SpeedSample{late})
	w.e.Fit(w.now)
	require.InDelta(t, 1, w.speed("s03"), 0.15, "a late report is about the old start")
}

func TestServersWithoutAnswersAreForgotten(t *testing.T) {
	w := evenSpeedWorld(20)
	w.speeds["s03"] = 0.5
	w.run(5*time.Second, 4)
	delete(w.holds, "s03")
	w.run(2*time.Minute, 1)
	require.Len(t, w.e.byServer, 19)
	require.Equal(t, 1.0, w.speed("s03"))
}

func TestSamplesWithoutAnswersAreIgnored(t *testing.T) {
	e := NewSpeedEstimator()
	e.Add([]SpeedSample{{Server: "s"}, {Server: "s", Count: 1, LogSum: math.Inf(1)}, {Server: "s", Count: 1, LogSum: math.NaN()}})
	e.Fit(simStart)
	require.Empty(t, e.byServer)
}

// BenchmarkSpeedFit fits the speeds of the servers of the largest fleet.
func BenchmarkSpeedFit(b *testing.B) {
	w := newSpeedWorld()
	for n := range 1900 {
		server := fmt.Sprintf("s%04d", n)
		w.speeds[server] = []float64{0.7, 0.7, 1.6}[n%3]
		for k := range 3 {
			model := fmt.Sprint("m", (n*7+k*131)%870)
			w.times[model] = 0.01
			w.holds[server] = append(w.holds[server], model)
		}
	}
	w.run(time.Second, 6)
	for b.Loop() {
		w.e.Fit(w.now)
	}
}
