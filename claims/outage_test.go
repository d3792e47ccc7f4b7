package claims

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestOutageRefusesAtOnceAndProbes(t *testing.T) {
	now := time.Unix(1000, 0)
	var o outage
	require.NoError(t, o.enter(now))
	require.NoError(t, o.enter(now), "any number while claims are taken")
	o.leave(now, endUnknown)
	require.NoError(t, o.enter(now), "a caller's own short deadline is no outage")
	o.leave(now, endFailed)

	var refused *OutageError
	require.True(t, errors.As(o.enter(now.Add(outageProbe/2)), &refused))
	require.Equal(t, now, refused.Since)

	later := now.Add(outageProbe)
	require.NoError(t, o.enter(later), "the probe")
	require.Error(t, o.enter(later.Add(outageProbe)), "one probe at a time")
	o.leave(later.Add(time.Second), endUnknown)
	require.Error(t, o.enter(later.Add(time.Second)))
	require.NoError(t, o.enter(later.Add(time.Second+outageProbe)))
	o.leave(later.Add(2*time.Second), endTaken)
	require.NoError(t, o.enter(later.Add(2*time.Second)))
	require.NoError(t, o.enter(later.Add(2*time.Second)))
}
