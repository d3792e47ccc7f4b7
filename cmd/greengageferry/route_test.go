package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/exchange"
)

func TestPrintRoute(t *testing.T) {
	answer := &exchange.RouteAnswer{
		Instance: "front-1", Route: "draft", Target: "engines/m1", Action: "queue", Reason: "no_free_slot", QueueWaitMs: 250,
		Replicas: []*exchange.ExplainedReplica{{Server: "s1", DroppedBy: "slot", Load: 16, Slots: 16}},
	}
	var text, encoded bytes.Buffer
	require.NoError(t, printRoute(&text, answer, false))
	require.Contains(t, text.String(), "instance front-1: queue (no_free_slot), expected wait 250 ms\nroute draft, target engines/m1")
	require.Regexp(t, `s1 +false +slot +16.0 +16`, text.String())
	require.NoError(t, printRoute(&encoded, answer, true))
	require.Contains(t, encoded.String(), `"dropped_by": "slot"`)
}
