package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// sizedRequest returns a request of that many tokens, a fifth of which may be its answer's.
func sizedRequest(id string, tokens int) Request {
	r := newTestRequest(id, "am", time.Hour)
	r.PromptTokens, r.MaxTokens = tokens-tokens/5, tokens/5
	return r
}

// memoryTable returns a table of servers with 16 slots and memory for 1,000 tokens.
func memoryTable(servers int) *Table {
	t := testTable(servers, 16, 1, "am")
	t.NoServerQueue = true
	t.Targets["am"].ServerMemory = 1000
	return t
}

// A server refuses a request that is larger than its memory as if it were full, so that it would be
// sent to one after the other until its deadline.
func TestRequestLargerThanAServerIsRefusedAtOnce(t *testing.T) {
	s := testScheduler(memoryTable(2))
	d := s.Submit(simStart, sizedRequest("large", 1001))[0]
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, ReasonTooLarge, d.Reason)
	require.Equal(t, ActionDispatch, s.Submit(simStart, sizedRequest("whole", 1000))[0].Action)
	unknown := memoryTable(1)
	unknown.Targets["am"].ServerMemory = 0
	require.Equal(t, ActionDispatch, testScheduler(unknown).Submit(simStart, sizedRequest("large", 1001))[0].Action)
}

func TestRequestsAtAServerStayWithinItsMemory(t *testing.T) {
	s := testScheduler(memoryTable(2))
	held := map[string]int{}
	for n := range 6 {
		d := s.Submit(simStart, sizedRequest(fmt.Sprint(n), 400))[0]
		if d.Action == ActionDispatch {
			held[d.Server.ID] += 400
		}
	}
	require.Equal(t, map[string]int{"s0": 800, "s1": 800}, held)
	out := completeRequest(s, simStart, "0", s.requests["0"].dispatchedTo.ID)
	require.Len(t, out, 1)
	require.Equal(t, ActionDispatch, out[0].Action, "one that waited takes the room")
	for n := range 6 {
		s.Cancel(simStart, fmt.Sprint(n))
	}
	for _, srv := range s.fleet.servers {
		require.Zero(t, srv.heldTokens)
	}
}

// What other instances have at a server counts with the mean size of this instance's requests.
func TestRequestsOfOtherInstancesCountTowardAServersMemory(t *testing.T) {
	s := testScheduler(memoryTable(1))
	require.Equal(t, ActionDispatch, s.Submit(simStart, sizedRequest("own", 200))[0].Action)
	s.UpdateLoad(simStart, "s0", infra.Load{Running: 4}, 0) // three of others
	require.Equal(t, ActionQueue, s.Submit(simStart, sizedRequest("more", 250))[0].Action)
	require.Equal(t, ActionDispatch, s.Submit(simStart, sizedRequest("small", 150))[0].Action)
}
