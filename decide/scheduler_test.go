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

// testTable has n servers of one pool in domain d0, each with the targets, whose
// names begin with their partner's letter.
func testTable(n, slots, entries int, targets ...string) *Table {
	t := &Table{OwnDomain: "d0", Targets: map[string]*Target{}, Entries: map[string]int{"d0": entries}, Weights: map[string]float64{}}
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

func ask(id, target string, deadline time.Duration) Request {
	return Request{ID: id, Target: target, Partner: target[:1], Arrived: simStart, Deadline: simStart.Add(deadline), Idempotent: true}
}

// answered steps the scheduler with a whole answer that took a second.
func answered(s *Scheduler, now time.Time, id, server string) []Decision {
	return s.Ended(now, id, server, Outcome{Complete: true, FirstToken: 100 * time.Millisecond, Total: time.Second, Tokens: 100})
}

// warm teaches the scheduler that answers take a second.
func warm(s *Scheduler, target string) {
	for i := range 5 {
		d := s.Arrive(simStart, ask(fmt.Sprint("warm", i), target, time.Minute))[0]
		answered(s, simStart.Add(time.Second), d.Request, d.Server.ID)
	}
}

func TestOwnDomainGoesFirst(t *testing.T) {
	table := testTable(2, 4, 1, "am")
	table.Servers[0].FailureDomain = "d1"
	s := testScheduler(table)
	for i := range 2 {
		require.Equal(t, "s1", s.Arrive(simStart, ask(fmt.Sprint(i), "am", time.Minute))[0].Server.ID)
	}
}

func TestHopelessIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	s := testScheduler(testTable(1, 2, 1, "am"))
	warm(s, "am")
	now := simStart.Add(time.Second)
	require.Equal(t, ReasonDeadline, s.Arrive(now, ask("short", "am", 1200*time.Millisecond))[0].Reason)
	refused := 0
	last := time.Duration(0)
	for i := range 40 {
		d := s.Arrive(now, ask(fmt.Sprint(i), "am", 5*time.Second))[0]
		if d.Action == ActionRefuse {
			refused++
			require.Equal(t, ReasonDeadline, d.Reason)
			require.Greater(t, d.RetryAfter, last, "refused callers are told different times")
			last = d.RetryAfter
		}
	}
	require.Greater(t, refused, 20, "two slots do ten requests in five seconds at most")
	require.Greater(t, s.Queued(), 2)
}

func TestFloodLeavesTheOtherPartnerItsShare(t *testing.T) {
	s := testScheduler(testTable(1, 8, 1, "am", "bm"))
	for i := range 100 {
		s.Arrive(simStart, ask(fmt.Sprint("a", i), "am", time.Hour))
	}
	for i := range 8 {
		s.Arrive(simStart, ask(fmt.Sprint("b", i), "bm", time.Hour))
	}
	started := map[byte]int{}
	for i := range 8 {
		for _, d := range s.Ended(simStart, fmt.Sprint("a", i), "s0", Outcome{}) {
			started[d.Request[0]]++
		}
	}
	require.GreaterOrEqual(t, started['b'], 4, "the flood gives back the other's half slot by slot")
}

func TestQueueIsBoundedAndTheFloodPays(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am", "bm"))
	const long = 100 * time.Hour // so that the bound is memory and not the deadline
	var last []Decision
	for i := range maxQueued + 10 {
		last = s.Arrive(simStart, ask(fmt.Sprint("a", i), "am", long))
	}
	require.Equal(t, ReasonQueueFull, last[0].Reason)
	d := s.Arrive(simStart, ask("b", "bm", long))
	require.Equal(t, ReasonShare, d[0].Reason)
	require.Equal(t, byte('a'), d[0].Request[0])
	require.Equal(t, maxQueued, s.Queued())
}

func TestPriorityGoesFirstAndNeverStarves(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am"))
	s.Arrive(simStart, ask("running0", "am", time.Hour))
	s.Arrive(simStart, ask("running1", "am", time.Hour)) // in the server's queue
	s.Arrive(simStart, ask("ordinary", "am", time.Hour))
	for i := range 20 {
		r := ask(fmt.Sprint("high", i), "am", time.Hour)
		r.Priority = 5
		s.Arrive(simStart, r)
	}
	var order []string
	running := []string{"running0", "running1"}
	for len(order) < turns {
		for _, d := range s.Ended(simStart, running[0], "s0", Outcome{}) {
			order = append(order, d.Request)
			running = append(running, d.Request)
		}
		running = running[1:]
	}
	require.Contains(t, order, "ordinary")
	require.Equal(t, "high", order[0][:4])
}

func TestSlowServerGetsLessButNotNothing(t *testing.T) {
	s := testScheduler(testTable(3, 8, 1, "am"))
	sent := map[string]int{}
	now := simStart
	for i := range 1500 {
		now = now.Add(time.Second)
		r := ask(fmt.Sprint(i), "am", 0)
		r.Deadline = now.Add(time.Minute)
		d := s.Arrive(now, r)[0]
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

func TestRetriesAreSafeAndBudgeted(t *testing.T) {
	s := testScheduler(testTable(2, 1000, 1, "am"))
	fail := func(id string, idempotent bool, f Failure) Decision {
		s.fleet.servers["s0"].backoffUntil, s.fleet.servers["s1"].backoffUntil = simStart, simStart
		r := ask(id, "am", time.Hour)
		r.Idempotent = idempotent
		return s.Failed(simStart, id, s.Arrive(simStart, r)[0].Server.ID, f)[0]
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

func TestReplicaThatLacksTheTargetIsPassedOver(t *testing.T) {
	s := testScheduler(testTable(2, 100, 1, "am", "an"))
	first := s.Arrive(simStart, ask("x", "am", time.Hour))[0].Server.ID
	next := s.Failed(simStart, "x", first, Failure{Reason: infra.ReasonNotResident, Effect: infra.EffectNone})[0]
	require.Equal(t, ActionDispatch, next.Action)
	for i := range 20 {
		require.Equal(t, next.Server.ID, s.Arrive(simStart, ask(fmt.Sprint(i), "am", time.Hour))[0].Server.ID)
	}
	late := simStart.Add(2 * unready)
	seen := map[string]bool{}
	for i := range 40 {
		seen[s.Arrive(late, ask(fmt.Sprint("l", i), "am", time.Hour))[0].Server.ID] = true
	}
	require.True(t, seen[first], "it is tried again")
}

func TestCrashSuspectsAreKeptApartAndOneCrashCondemnsNobody(t *testing.T) {
	s := testScheduler(testTable(3, 8, 1, "am"))
	at := map[string]string{}
	for i := range 3 {
		r := ask(fmt.Sprint("s", i), "am", time.Hour)
		r.Suspect = true
		at[s.Arrive(simStart, r)[0].Server.ID] = r.ID
	}
	require.Len(t, at, 3, "each on a server of its own")
	d := s.Failed(simStart, at["s0"], "s0", Failure{Crash: true})
	require.Equal(t, ActionQueue, d[0].Action, "one crash only parts it from the others")
	d = s.Ended(simStart, at["s1"], "s1", Outcome{Complete: true})
	require.Equal(t, ActionDispatch, d[0].Action)
	require.Equal(t, ReasonQuarantined, s.Failed(simStart, d[0].Request, "s1", Failure{Crash: true})[0].Reason)
}

func TestPopularPrefixDoesNotPileUp(t *testing.T) {
	s := testScheduler(testTable(4, 32, 1, "am"))
	warm(s, "am")
	for i := range 64 {
		r := ask(fmt.Sprint(i), "am", time.Hour)
		r.Prefix = 7
		s.Arrive(simStart.Add(time.Second), r)
	}
	for _, srv := range s.fleet.servers {
		require.LessOrEqual(t, srv.own, 24)
		require.Greater(t, srv.own, 8)
	}
}

func TestInstancesWithTheSameStaleReportDoNotHerd(t *testing.T) {
	sent := map[string]int{}
	for i := range 41 {
		s := NewScheduler(rand.New(rand.NewPCG(uint64(i), 1)))
		s.SetTable(simStart, testTable(8, 8, 41, "am"))
		for j := range 8 {
			load := infra.Load{Running: 7, Slots: 8}
			if j == 0 {
				load.Running = 0 // the one that all would run to
			}
			s.Reported(simStart, fmt.Sprint("s", j), load, 0)
		}
		sent[s.Arrive(simStart, ask("x", "am", time.Hour))[0].Server.ID]++
	}
	require.Less(t, sent["s0"], 41*3/4)
	require.Greater(t, sent["s0"], 8)
}

func TestDrainRefusesWhatHasNotRun(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am"))
	for i := range 4 {
		s.Arrive(simStart, ask(fmt.Sprint(i), "am", time.Hour))
	}
	queued := s.Queued()
	require.Positive(t, queued)
	require.Len(t, s.Drain(simStart), queued)
	require.Equal(t, ReasonShuttingDown, s.Arrive(simStart, ask("new", "am", time.Hour))[0].Reason)
	require.Equal(t, 4-queued, s.fleet.servers["s0"].own, "what runs goes on")
}

// TestAnyHistory steps the scheduler at random and checks that each request gets
// one final decision, none is dispatched to a leaving server or past its
// deadline, and the counts come out even.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := testTable(3, 2, 2, "am", "an", "bm")
		s := testScheduler(table)
		at, open, deadlines := map[string]string{}, map[string]bool{}, map[string]time.Time{}
		now := simStart
		carryOut := func(ds []Decision) {
			for _, d := range ds {
				require.True(t, open[d.Request], "a decision after the final one")
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
				r := ask(fmt.Sprint("r", i), rapid.SampledFrom([]string{"am", "an", "bm", "none"}).Draw(t, "target"), 0)
				r.Arrived, r.Deadline = now, now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "deadline"))*time.Second)
				r.Priority, r.Suspect = rapid.IntRange(-1, 2).Draw(t, "priority"), rapid.Bool().Draw(t, "suspect")
				open[r.ID], deadlines[r.ID] = true, r.Deadline
				carryOut(s.Arrive(now, r))
			case 3:
				carryOut(s.Tick(now))
			case 4:
				id := pick()
				srv := at[id]
				delete(open, id)
				delete(at, id)
				carryOut(answered(s, now, id, srv))
			case 5:
				id := pick()
				carryOut(s.Failed(now, id, at[id], Failure{Crash: rapid.Bool().Draw(t, "crash"), Effect: infra.Effect(rapid.IntRange(0, 1).Draw(t, "effect"))}))
			case 6:
				id := pick()
				delete(open, id)
				delete(at, id)
				carryOut(s.Left(now, id))
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
	step := routing(100)
	require.Zero(t, testing.AllocsPerRun(2000, step))
}

// routing returns a step that routes a request among so many servers and ends it.
func routing(servers int) func() {
	s := testScheduler(testTable(servers, 8, 41, "am"))
	r := ask("r", "am", time.Hour)
	step := func() {
		r.Prefix++
		d := s.Arrive(simStart, r)[0]
		answered(s, simStart, d.Request, d.Server.ID)
	}
	for range 3 * prefixHints {
		step()
	}
	return step
}

func BenchmarkRoute(b *testing.B) {
	for _, servers := range []int{100, 1900} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			step := routing(servers)
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
