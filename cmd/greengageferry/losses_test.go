package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const lossesLog = `a time="2026-01-01T00:00:01.000Z" level=info msg="request decision" action=dispatch first_ms=200 request=1 target=m
a time="2026-01-01T00:00:01.500Z" level=info msg="request ended" attempts=1 first_byte_ms=300 ms=520 reason=answered request=1 route=r1
b time="2026-01-01T00:00:02.000Z" level=info msg="request decision" action=dispatch first_ms=100 request=2 target=m
b time="2026-01-01T00:00:07.000Z" level=info msg="request ended" attempts=1 first_byte_ms=1400 ms=5100 reason=answered request=2 route=r1
b time="2026-01-01T00:00:07.100Z" level=warning msg="request ended" account=acme attempts=0 ms=20 reason=deadline request=3 route=r2
b time="2026-01-01T00:00:07.200Z" level=info msg="server gone" server=1
not a line of a log
`

func TestLossStatsByRouteWindowAndReason(t *testing.T) {
	l := newLossStats(5*time.Second, time.Second)
	require.NoError(t, l.read(strings.NewReader(lossesLog)))
	require.Equal(t, reasonCounts{"answered": 1, "answered late": 1, "deadline": 1}, l.total)
	require.Equal(t, map[string]reasonCounts{"r1": {"answered": 1, "answered late": 1}, "r2": {"deadline": 1}}, l.byRoute)
	require.Equal(t, map[string]reasonCounts{"acme": {"deadline": 1}}, l.byAccount)
	first := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	require.Equal(t, map[time.Time]reasonCounts{
		first:                      {"answered": 1},
		first.Add(5 * time.Second): {"answered late": 1, "deadline": 1},
	}, l.byWindow)
	require.InDeltaSlice(t, []float64{1.4, 13}, l.predictionRatios, 0.01, "280 ms actual to 200 ms predicted, 1,300 ms to 100 ms")
	var out strings.Builder
	l.print(&out)
	require.Contains(t, out.String(), "within half and twice 0.50")
	require.Contains(t, out.String(), "00:00:05.000")
}
