package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// fullServer returns a scheduler with one server whose slots are all taken by the
// requests busy0, busy1 and so on.
func fullServer(slots int, change func(*Table)) *Scheduler {
	t := testTable(1, slots, 1, "am")
	t.NoServerQueue = true
	if change != nil {
		change(t)
	}
	s := testScheduler(t)
	for i := range slots {
		s.Submit(simStart, newTestRequest(fmt.Sprint("busy", i), "am", time.Hour))
	}
	return s
}

func requestWithGoal(id string, arrived time.Time, goal time.Duration) Request {
	r := newTestRequest(id, "am", time.Minute)
	r.Arrived, r.Deadline, r.Goal = arrived, arrived.Add(time.Minute), goal
	return r
}

func TestNoServerQueueKeepsRequestsFromFullServers(t *testing.T) {
	s := fullServer(2, nil)
	require.Equal(t, ActionQueue, s.Submit(simStart, newTestRequest("late", "am", time.Hour))[0].Action)
	withServerQueue := testScheduler(testTable(1, 2, 1, "am"))
	for i := range 3 {
		require.Equal(t, ActionDispatch, withServerQueue.Submit(simStart, newTestRequest(fmt.Sprint(i), "am", time.Hour))[0].Action)
	}
}

// In overload, serving requests in order of deadline would make each of them miss its
// goal. Here a request arrives every 100 ms, the only slot becomes free every 300 ms, and
// the goal is 250 ms.
func TestInOverloadNewRequestsGoBeforeThoseThatMissedTheirGoal(t *testing.T) {
	const goal = 250 * time.Millisecond
	s := fullServer(1, nil)
	running, goalsMet := "busy0", 0
	arrived := map[string]time.Time{}
	for step := range 60 {
		now := simStart.Add(time.Duration(step) * 100 * time.Millisecond)
		id := fmt.Sprint("r", step)
		arrived[id] = now
		s.Submit(now, requestWithGoal(id, now, goal))
		s.Tick(now)
		if step%3 != 2 {
			continue
		}
		for _, d := range s.Cancel(now, running) {
			if d.Action == ActionDispatch {
				running = d.Request
				if now.Sub(arrived[running]) <= goal {
					goalsMet++
				}
			}
		}
	}
	require.GreaterOrEqual(t, goalsMet, 18, "nearly all of the 20 free slots must go to requests that can meet their goal")
}

func TestRequestThatMissedItsGoalIsServedWhenNothingElseWaits(t *testing.T) {
	s := fullServer(1, nil)
	s.Submit(simStart, requestWithGoal("old", simStart, 100*time.Millisecond))
	now := simStart.Add(time.Second)
	s.Tick(now)
	d := s.Cancel(now, "busy0")
	require.Len(t, d, 1)
	require.Equal(t, "old", d[0].Request)
}

func TestQueuedRequestIsRefusedAtStartBy(t *testing.T) {
	s := fullServer(1, nil)
	r := requestWithGoal("r", simStart, 100*time.Millisecond)
	r.FirstTokenDeadline = simStart.Add(2 * time.Second)
	s.Submit(simStart, r)
	require.Empty(t, s.Tick(simStart.Add(time.Second)))
	d := s.Tick(simStart.Add(2100 * time.Millisecond))
	require.Len(t, d, 1)
	require.Equal(t, ActionRefuse, d[0].Action)
	require.Equal(t, ReasonDeadline, d[0].Reason)
	require.Positive(t, d[0].RetryAfter)
}

func TestRequestsWaitForAnExpectedReplica(t *testing.T) {
	table := testTable(1, 2, 1, "am")
	table.Targets["am"].Replicas = nil
	s := testScheduler(table)
	require.Equal(t, ReasonNoReplica, s.Submit(simStart, newTestRequest("refused", "am", time.Minute))[0].Reason)
	table.Targets["am"].ReplicaPending = true
	s.SetTable(simStart, table)
	require.Equal(t, ActionQueue, s.Submit(simStart, newTestRequest("waits", "am", time.Minute))[0].Action)
	require.Empty(t, s.Tick(simStart.Add(10*time.Second)))
	d := s.SetTable(simStart.Add(11*time.Second), testTable(1, 2, 1, "am"))
	require.Len(t, d, 1)
	require.Equal(t, ActionDispatch, d[0].Action)
}

func TestLocalServersArePreferredOnlyUpToNearFill(t *testing.T) {
	table := testTable(2, 10, 1, "am")
	table.Servers[1].FailureDomain = "d1"
	table.LocalFillLimit = 0.2
	s := testScheduler(table)
	far := 0
	for i := range 6 {
		if s.Submit(simStart, newTestRequest(fmt.Sprint(i), "am", time.Hour))[0].Server.ID == "s1" {
			far++
		}
	}
	require.GreaterOrEqual(t, far, 2, "local servers are preferred for two of ten slots, then both are equal")
}

func TestRetryPolicyBoundsRetriesPerPoolAndCountsRefusals(t *testing.T) {
	table := testTable(2, 100, 1, "am")
	table.Retry = RetryPolicy{Ratio: 0.1, Reserve: 3, CountRefused: true}
	s := testScheduler(table)
	retried := 0
	for i := range 10 {
		id := fmt.Sprint(i)
		d := s.Submit(simStart, newTestRequest(id, "am", time.Hour))[0]
		for _, next := range s.AttemptFailed(simStart, id, d.Server.ID, Failure{Reason: infra.ReasonFailed, Effect: infra.EffectNone}) {
			if next.Request == id && next.Action != ActionRefuse {
				retried++
			}
		}
	}
	require.Equal(t, 3, retried)
}

func TestMaxAttemptsBoundsServersPerRequest(t *testing.T) {
	s := testScheduler(testTable(3, 10, 1, "am"))
	r := newTestRequest("once", "am", time.Hour)
	r.MaxAttempts = 1
	d := s.Submit(simStart, r)[0]
	after := s.AttemptFailed(simStart, "once", d.Server.ID, Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone})
	require.Equal(t, ActionRefuse, after[0].Action)
}

// In a failure domain that is cut off no connection is established. A request that may be
// sent to only one server must still reach the one server that can be reached.
func TestUnsentAttemptsDoNotCount(t *testing.T) {
	table := testTable(4, 10, 1, "am")
	table.Retry = RetryPolicy{Ratio: 0.1, Reserve: 1, CountRefused: true}
	s := testScheduler(table)
	for i := range 5 {
		r := newTestRequest(fmt.Sprint(i), "am", time.Hour)
		r.MaxAttempts, r.Idempotent = 1, false
		now := simStart.Add(time.Duration(i) * time.Minute)
		d := s.Submit(now, r)
		for d[0].Action == ActionDispatch && d[0].Server.ID != "s3" {
			d = s.AttemptFailed(now, r.ID, d[0].Server.ID, Failure{Reason: infra.ReasonTimeout, Effect: infra.EffectNone, Unsent: true})
		}
		require.Equal(t, ActionDispatch, d[0].Action)
		require.Equal(t, "s3", d[0].Server.ID)
		s.Cancel(now, r.ID)
	}
}

// One of three servers fails half of its answers although its health check succeeds.
func TestServerThatFailsAnswersGetsFewerRequests(t *testing.T) {
	s := testScheduler(testTable(3, 100, 1, "am"))
	sent := map[string]int{}
	for i := range 600 {
		now := simStart.Add(time.Duration(i) * 10 * time.Millisecond)
		id := fmt.Sprint(i)
		d := s.Submit(now, newTestRequest(id, "am", time.Hour))[0]
		if i > 200 {
			sent[d.Server.ID]++
		}
		if d.Server.ID == "s0" && i%2 == 0 {
			s.AttemptFailed(now, id, "s0", Failure{Reason: infra.ReasonFailed, Effect: infra.EffectUnknown})
			s.Cancel(now, id)
			continue
		}
		completeRequest(s, now, id, d.Server.ID)
	}
	require.Less(t, sent["s0"], 60, "an equal share would be 133")
	require.Positive(t, sent["s0"], "the server must be tried again, to detect its recovery")
}
