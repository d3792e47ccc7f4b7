package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an attempt that waited in the queue being left at a silent server until its
// deadline: an attempt is ended for silence unless its server is the only replica.
func TestRequestFromTheQueueIsNotTakenForOneWithASingleReplica(t *testing.T) {
	s := testScheduler(testTable(2, 1, 1, "am"))
	servers := map[string]string{}
	for i := range 2 {
		d := s.Submit(simStart, newTestRequest(fmt.Sprint(i), "am", time.Minute))[0]
		require.Equal(t, ActionDispatch, d.Action)
		servers[d.Request] = d.Server.ID
	}
	require.Equal(t, ActionQueue, s.Submit(simStart, newTestRequest("queued", "am", time.Minute))[0].Action)
	d := completeRequest(s, simStart.Add(time.Second), "0", servers["0"])
	require.Len(t, d, 1)
	require.Equal(t, ActionDispatch, d[0].Action)
	require.NotEqual(t, ReasonOnlyReplica, d[0].Reason, "the other server serves the target as well, it is only full")
}
