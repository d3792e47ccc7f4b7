package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBatchLoopThatWakesUpLateKeepsThePace(t *testing.T) {
	const (
		steps = 40
		step  = 2 * time.Millisecond
		late  = 15 * time.Millisecond
	)
	var clock stepClock
	start := time.Now()
	now := start
	for i := range steps {
		now = now.Add(max(clock.untilEnd(now, step), 0))
		if i%10 == 0 {
			now = now.Add(late)
		}
	}
	require.Equal(t, steps*step, now.Sub(start))
}

func TestIdleTimeIsNotCaughtUp(t *testing.T) {
	const step = 2 * time.Millisecond
	var clock stepClock
	now := time.Now()
	require.Equal(t, step, clock.untilEnd(now, step))
	clock.stop()
	require.Equal(t, step, clock.untilEnd(now.Add(time.Minute), step))
}
