package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTraceFindsARequestsLines(t *testing.T) {
	lines, err := traceLines(strings.NewReader(`a time="2026-01-01T00:00:02.000Z" level=info msg="request ended" request=12 status=503
a time="2026-01-01T00:00:01.000Z" level=info msg="request decision" action=queue request=12
a time="2026-01-01T00:00:01.000Z" level=info msg="request decision" action=queue request=123
a time="2026-01-01T00:00:01.000Z" level=info msg="server gone" server=12
`), "12")
	require.NoError(t, err)
	require.Len(t, lines, 2)
	require.Less(t, logTime(lines[1]), logTime(lines[0]))
}
