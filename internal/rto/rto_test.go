package rto

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var options = Options{Initial: 3 * time.Second, Min: time.Second, Max: 10 * time.Second}

func TestQuickAnswersShortenTheTimeout(t *testing.T) {
	e := New(options)
	require.Equal(t, options.Initial, e.Timeout())
	for range 20 {
		e.Answered(5 * time.Millisecond)
	}
	require.Equal(t, options.Min, e.Timeout())
}

func TestTimeoutIsLongerThanRecentAnswers(t *testing.T) {
	e := New(options)
	for range 30 {
		e.Answered(2 * time.Second)
	}
	require.Greater(t, e.Timeout(), 2*time.Second)
	require.Less(t, e.Timeout(), 3*time.Second, "equal durations have little deviation")
	e.Answered(time.Minute)
	require.Equal(t, options.Max, e.Timeout())
}

// Calls that time out together must not lengthen the timeout once each.
func TestConcurrentTimeoutsDoubleTheTimeoutOnce(t *testing.T) {
	e := New(options)
	timeout := e.Timeout()
	for range 5 {
		e.TimedOut(timeout)
	}
	require.Equal(t, 2*timeout, e.Timeout())
	for range 5 {
		e.TimedOut(e.Timeout())
	}
	require.Equal(t, options.Max, e.Timeout())
	e.Answered(time.Millisecond)
	require.Equal(t, options.Min, e.Timeout(), "an answer ends the backoff")
}

func TestUsualCoversMostAnswers(t *testing.T) {
	e := New(options)
	require.Zero(t, e.Usual(), "nothing is known")
	rng := rand.New(rand.NewPCG(1, 1))
	for name, draw := range map[string]func() float64{
		"normal":      func() float64 { return max(0, 1+0.3*rng.NormFloat64()) },
		"exponential": rng.ExpFloat64,
	} {
		const draws = 10_000
		within := 0
		for range draws {
			took := time.Duration(draw() * float64(time.Second))
			if took <= e.Usual() {
				within++
			}
			e.Answered(took)
		}
		require.Greater(t, within, draws*8/10, name)
		require.Less(t, within, draws*98/100, name)
	}
}
