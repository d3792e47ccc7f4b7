package claims

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestCircuitBreakerFailsFastAndProbes(t *testing.T) {
	now := time.Unix(1000, 0)
	var breaker circuitBreaker
	require.NoError(t, breaker.allow(now))
	require.NoError(t, breaker.allow(now), "all claims are tried while the breaker is closed")
	breaker.report(now, callAborted)
	require.NoError(t, breaker.allow(now), "a caller's own deadline does not open the breaker")
	breaker.report(now, callFailed)

	var refused *CircuitOpenError
	require.True(t, errors.As(breaker.allow(now.Add(probeInterval/2)), &refused))
	require.Equal(t, now, refused.Since)

	later := now.Add(probeInterval)
	require.NoError(t, breaker.allow(later), "the probe")
	require.Error(t, breaker.allow(later.Add(probeInterval)), "one probe at a time")
	breaker.report(later.Add(time.Second), callAborted)
	require.Error(t, breaker.allow(later.Add(time.Second)))
	require.NoError(t, breaker.allow(later.Add(time.Second+probeInterval)))
	breaker.report(later.Add(2*time.Second), callSucceeded)
	require.NoError(t, breaker.allow(later.Add(2*time.Second)))
	require.NoError(t, breaker.allow(later.Add(2*time.Second)))
}
