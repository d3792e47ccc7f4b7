package stall

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDisarmReportsExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := Watch(t.Context(), time.Second, true)
		defer w.Stop()
		time.Sleep(900 * time.Millisecond)
		require.False(t, w.Disarm(2*time.Second))
		w.Arm()
		time.Sleep(1900 * time.Millisecond)
		require.False(t, w.Disarm(2*time.Second), "Arm must use the newest limit")
		w.Arm()
		time.Sleep(2100 * time.Millisecond)
		require.True(t, w.Disarm(2*time.Second))
		var silent *Error
		require.ErrorAs(t, context.Cause(w.Context()), &silent)
		require.Equal(t, 2*time.Second, silent.Limit)
	})
}

func TestDisabledWatchdogNeverExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := Watch(t.Context(), time.Second, false)
		time.Sleep(time.Minute)
		w.Arm()
		require.False(t, w.Disarm(time.Second))
		require.NoError(t, w.Context().Err())
		w.Stop()
	})
}
