package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/infra"
)

// testTable returns a table with n servers of one pool in domain d0, all of which serve
// the targets. A target's partner is the first letter of its name.
func testTable(n, slots, instances int, targets ...string) *Table {
	t := &Table{OwnDomain: "d0", Targets: map[string]*Target{}, Entries: map[string]int{"d0": instances}, Weights: map[string]float64{}}
	for i := range n {
		t.Servers = append(t.Servers, Server{ID: fmt.Sprint("s", i), Pool: "p", FailureDomain: "d0", Slots: slots})
	}
	for _, name := range targets {
		target := &Target{Name: name, Partner: name[:1], Model: name, MaxTokens: 100}
		for i := range n {
			target.Replicas = append(target.Replicas, Replica{Server: i, Version: "1"})
		}
		t.Targets[name] = target
	}
	return t
}

func testScheduler(t *Table) *Scheduler {
	s := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	s.SetTable(simStart, t)
	return s
}

func newTestRequest(id, target string, deadline time.Duration) Request {
	return Request{ID: id, Target: target, Partner: target[:1], Arrived: simStart, Deadline: simStart.Add(deadline), Idempotent: true}
}

// completeRequest reports a complete answer that took one second.
func completeRequest(s *Scheduler, now time.Time, id, server string) []Decision {
	return s.Ended(now, id, server, Outcome{Complete: true, FirstToken: 100 * time.Millisecond, Total: time.Second, Tokens: 100})
}

// warmUp completes requests so that the expected service time is one second.
func warmUp(s *Scheduler, target string) {
	for i := range 5 {
		d := s.Submit(simStart, newTestRequest(fmt.Sprint("warm", i), target, time.Minute))[0]
		completeRequest(s, simStart.Add(time.Second), d.Request, d.Server.ID)
	}
}

func TestLocalDomainIsPreferred(t *testing.T) {
	table := testTable(2, 4, 1, "am")
	table.Servers[0].FailureDomain = "d1"
	s := testScheduler(table)
	for i := range 2 {
		require.Equal(t, "s1", s.Submit(simStart, newTestRequest(fmt.Sprint(i), "am", time.Minute))[0].Server.ID)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedWithRetryAfter(t *testing.T) {
	s := testScheduler(testTable(1, 2, 1, "am"))
	warmUp(s, "am")
	now := simStart.Add(time.Second)
	require.Equal(t, ReasonDeadline, s.Submit(now, newTestRequest("short", "am", 1200*time.Millisecond))[0].Reason)
	refused := 0
	last := time.Duration(0)
	for i := range 40 {
		d := s.Submit(now, newTestRequest(fmt.Sprint(i), "am", 5*time.Second))[0]
		if d.Action == ActionRefuse {
			refused++
			require.Equal(t, ReasonDeadline, d.Reason)
			require.Greater(t, d.RetryAfter, last, "refused callers must get increasing retry delays")
			last = d.RetryAfter
		}
	}
	require.Greater(t, refused, 20, "two slots complete at most ten requests in five seconds")
	require.Greater(t, s.Queued(), 2)
}

func TestOverloadLeavesTheOtherPartnerItsShare(t *testing.T) {
	s := testScheduler(testTable(1, 8, 1, "am", "bm"))
	for i := range 100 {
		s.Submit(simStart, newTestRequest(fmt.Sprint("a", i), "am", time.Hour))
	}
	for i := range 8 {
		s.Submit(simStart, newTestRequest(fmt.Sprint("b", i), "bm", time.Hour))
	}
	started := map[byte]int{}
	for i := range 8 {
		for _, d := range s.Ended(simStart, fmt.Sprint("a", i), "s0", Outcome{}) {
			started[d.Request[0]]++
		}
	}
	require.GreaterOrEqual(t, started['b'], 4, "the overloading partner must return the other's half of the slots as they free")
}

func TestQueueIsBoundedAndTheOverloadingPartnerIsRefused(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am", "bm"))
	const long = 100 * time.Hour // so that maxQueued and not the deadline is the limit
	var last []Decision
	for i := range maxQueued + 10 {
		last = s.Submit(simStart, newTestRequest(fmt.Sprint("a", i), "am", long))
	}
	require.Equal(t, ReasonQueueFull, last[0].Reason)
	d := s.Submit(simStart, newTestRequest("b", "bm", long))
	require.Equal(t, ReasonPartnerShare, d[0].Reason)
	require.Equal(t, byte('a'), d[0].Request[0])
	require.Equal(t, maxQueued, s.Queued())
}

func TestPriorityGoesFirstAndNeverStarves(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am"))
	s.Submit(simStart, newTestRequest("running0", "am", time.Hour))
	s.Submit(simStart, newTestRequest("running1", "am", time.Hour)) // waits at the server
	s.Submit(simStart, newTestRequest("ordinary", "am", time.Hour))
	for i := range 20 {
		r := newTestRequest(fmt.Sprint("high", i), "am", time.Hour)
		r.Priority = 5
		s.Submit(simStart, r)
	}
	var order []string
	running := []string{"running0", "running1"}
	for len(order) < dequeueCycle {
		for _, d := range s.Ended(simStart, running[0], "s0", Outcome{}) {
			order = append(order, d.Request)
			running = append(running, d.Request)
		}
		running = running[1:]
	}
	require.Contains(t, order, "ordinary")
	require.Equal(t, "high", order[0][:4])
}

func TestSlowServerGetsFewerRequests(t *testing.T) {
	s := testScheduler(testTable(3, 8, 1, "am"))
	sent := map[string]int{}
	now := simStart
	for i := range 1500 {
		now = now.Add(time.Second)
		r := newTestRequest(fmt.Sprint(i), "am", 0)
		r.Deadline = now.Add(time.Minute)
		d := s.Submit(now, r)[0]
		sent[d.Server.ID]++
		took := time.Second
		if d.Server.ID == "s0" {
			took *= 4
		}
		s.Ended(now, d.Request, d.Server.ID, Outcome{Complete: true, FirstToken: took / 10, Total: took, Tokens: 100})
	}
	require.Less(t, sent["s0"], 150)
	require.Greater(t, sent["s0"], 3)
}

func TestRetriesAreIdempotencySafeAndBudgeted(t *testing.T) {
	s := testScheduler(testTable(2, 1000, 1, "am"))
	fail := func(id string, idempotent bool, f Failure) Decision {
		s.fleet.servers["s0"].backoffUntil, s.fleet.servers["s1"].backoffUntil = simStart, simStart
		r := newTestRequest(id, "am", time.Hour)
		r.Idempotent = idempotent
		return s.AttemptFailed(simStart, id, s.Submit(simStart, r)[0].Server.ID, f)[0]
	}
	require.Equal(t, ReasonMayHaveRun, fail("once", false, Failure{Effect: infra.EffectUnknown}).Reason)
	require.Equal(t, ActionDispatch, fail("safe", false, Failure{Effect: infra.EffectNone, Reason: infra.ReasonOverloaded}).Action)
	again := 0
	for i := range 200 {
		if fail(fmt.Sprint(i), true, Failure{Effect: infra.EffectUnknown}).Action == ActionDispatch {
			again++
		}
	}
	require.LessOrEqual(t, again, int(retryReserve))
	require.Greater(t, again, 10)
}

func TestReplicaWithoutTheTargetIsSkippedDuringBackoff(t *testing.T) {
	s := testScheduler(testTable(2, 100, 1, "am", "an"))
	first := s.Submit(simStart, newTestRequest("x", "am", time.Hour))[0].Server.ID
	next := s.AttemptFailed(simStart, "x", first, Failure{Reason: infra.ReasonNotResident, Effect: infra.EffectNone})[0]
	require.Equal(t, ActionDispatch, next.Action)
	for i := range 20 {
		require.Equal(t, next.Server.ID, s.Submit(simStart, newTestRequest(fmt.Sprint(i), "am", time.Hour))[0].Server.ID)
	}
	late := simStart.Add(2 * notResidentBackoff)
	seen := map[string]bool{}
	for i := range 40 {
		seen[s.Submit(late, newTestRequest(fmt.Sprint("l", i), "am", time.Hour))[0].Server.ID] = true
	}
	require.True(t, seen[first], "the replica must be tried again after the backoff")
}

func TestCrashSuspectsAreIsolatedAndQuarantinedAfterTwoCrashes(t *testing.T) {
	s := testScheduler(testTable(3, 8, 1, "am"))
	at := map[string]string{}
	for i := range 3 {
		r := newTestRequest(fmt.Sprint("s", i), "am", time.Hour)
		r.Suspect = true
		at[s.Submit(simStart, r)[0].Server.ID] = r.ID
	}
	require.Len(t, at, 3, "each suspect must be on a separate server")
	d := s.AttemptFailed(simStart, at["s0"], "s0", Failure{Crash: true})
	require.Equal(t, ActionQueue, d[0].Action, "after one crash the request is isolated, not refused")
	d = s.Ended(simStart, at["s1"], "s1", Outcome{Complete: true})
	require.Equal(t, ActionDispatch, d[0].Action)
	require.Equal(t, ReasonQuarantined, s.AttemptFailed(simStart, d[0].Request, "s1", Failure{Crash: true})[0].Reason)
}

func TestPopularPrefixDoesNotOverloadOneServer(t *testing.T) {
	s := testScheduler(testTable(4, 32, 1, "am"))
	warmUp(s, "am")
	for i := range 64 {
		r := newTestRequest(fmt.Sprint(i), "am", time.Hour)
		r.Prefix = 7
		s.Submit(simStart.Add(time.Second), r)
	}
	for _, srv := range s.fleet.servers {
		require.LessOrEqual(t, srv.own, 24)
		require.Greater(t, srv.own, 8)
	}
}

func TestInstancesWithTheSameStaleReportSpreadTheirRequests(t *testing.T) {
	sent := map[string]int{}
	for i := range 41 {
		s := NewScheduler(rand.New(rand.NewPCG(uint64(i), 1)))
		s.SetTable(simStart, testTable(8, 8, 41, "am"))
		for j := range 8 {
			load := infra.Load{Running: 7, Slots: 8}
			if j == 0 {
				load.Running = 0 // the server that all would choose by load
			}
			s.UpdateLoad(simStart, fmt.Sprint("s", j), load, 0)
		}
		sent[s.Submit(simStart, newTestRequest("x", "am", time.Hour))[0].Server.ID]++
	}
	require.Less(t, sent["s0"], 41*3/4)
	require.Greater(t, sent["s0"], 8)
}

func TestDrainRefusesQueuedRequests(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am"))
	for i := range 4 {
		s.Submit(simStart, newTestRequest(fmt.Sprint(i), "am", time.Hour))
	}
	queued := s.Queued()
	require.Positive(t, queued)
	require.Len(t, s.Drain(simStart), queued)
	require.Equal(t, ReasonShuttingDown, s.Submit(simStart, newTestRequest("new", "am", time.Hour))[0].Reason)
	require.Equal(t, 4-queued, s.fleet.servers["s0"].own, "running requests must continue")
}

// TestAnyHistory runs random sequences of events. It checks that each request gets one
// final decision, that none is dispatched to a leaving server or after its deadline, and
// that the counters of running and queued requests are consistent.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := testTable(3, 2, 2, "am", "an", "bm")
		s := testScheduler(table)
		at, open, deadlines := map[string]string{}, map[string]bool{}, map[string]time.Time{}
		now := simStart
		carryOut := func(ds []Decision) {
			for _, d := range ds {
				require.True(t, open[d.Request], "got a decision after the final one")
				delete(at, d.Request)
				switch d.Action {
				case ActionRefuse:
					delete(open, d.Request)
				case ActionDispatch:
					require.False(t, d.Server.Leaving)
					require.True(t, now.Before(deadlines[d.Request]))
					at[d.Request] = d.Server.ID
				}
			}
		}
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			running := sortedNames(at)
			step := rapid.IntRange(0, 7).Draw(t, "step")
			if step > 3 && step < 7 && len(running) == 0 {
				step = 0
			}
			pick := func() string { return running[rapid.IntRange(0, len(running)-1).Draw(t, "which")] }
			switch step {
			case 0, 1, 2:
				r := newTestRequest(fmt.Sprint("r", i), rapid.SampledFrom([]string{"am", "an", "bm", "none"}).Draw(t, "target"), 0)
				r.Arrived, r.Deadline = now, now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "deadline"))*time.Second)
				r.Priority, r.Suspect = rapid.IntRange(-1, 2).Draw(t, "priority"), rapid.Bool().Draw(t, "suspect")
				open[r.ID], deadlines[r.ID] = true, r.Deadline
				carryOut(s.Submit(now, r))
			case 3:
				carryOut(s.Tick(now))
			case 4:
				id := pick()
				srv := at[id]
				delete(open, id)
				delete(at, id)
				carryOut(completeRequest(s, now, id, srv))
			case 5:
				id := pick()
				carryOut(s.AttemptFailed(now, id, at[id], Failure{Crash: rapid.Bool().Draw(t, "crash"), Effect: infra.Effect(rapid.IntRange(0, 1).Draw(t, "effect"))}))
			case 6:
				id := pick()
				delete(open, id)
				delete(at, id)
				carryOut(s.Cancel(now, id))
			case 7:
				next := *table
				next.Servers = append([]Server(nil), table.Servers...)
				next.Servers[rapid.IntRange(0, 2).Draw(t, "leaving")].Leaving = true
				carryOut(s.SetTable(now, &next))
			}
		}
		own := 0
		for _, srv := range s.fleet.servers {
			own += srv.own
		}
		require.Equal(t, len(at), own)
		require.Equal(t, len(open)-len(at), s.Queued())
	})
}

func TestRoutingAllocatesNothing(t *testing.T) {
	step := routeStep(100)
	require.Zero(t, testing.AllocsPerRun(2000, step))
}

// routeStep returns a function that routes a request among that many servers and completes
// it.
func routeStep(servers int) func() {
	s := testScheduler(testTable(servers, 8, 41, "am"))
	r := newTestRequest("r", "am", time.Hour)
	step := func() {
		r.Prefix++
		d := s.Submit(simStart, r)[0]
		completeRequest(s, simStart, d.Request, d.Server.ID)
	}
	for range 3 * maxPrefixHints {
		step()
	}
	return step
}

func BenchmarkRoute(b *testing.B) {
	for _, servers := range []int{100, 1900} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			step := routeStep(servers)
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
