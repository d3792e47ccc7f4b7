package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// With as much demand as slots, and other instances' requests known from old reports only, urgent
// requests get slots before less urgent ones.
func TestRoomGoesToUrgentRequests(t *testing.T) {
	t.Parallel()
	for name, in := range map[string]contentionSettings{
		"engines in order of rank":    {instances: 75, load: 1},
		"engines in order of arrival": {instances: 75, load: 1, fifo: true},
		"without backlog reports":     {instances: 75, load: 1, alone: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in.seed = 7
			r := simulateContention(in)
			t.Log(r)
			require.GreaterOrEqual(t, r.inTimeShare(0), 0.8)
			require.GreaterOrEqual(t, r.worth(), 0.75)
			requireByRank(t, r)
		})
	}
}

// requireByRank requires that no rank's fraction in time is more than 0.05 below that of the next less
// urgent one.
func requireByRank(t *testing.T, r *contentionResult) {
	for rank := 1; rank < len(r.arrived); rank++ {
		require.GreaterOrEqual(t, r.inTimeShare(rank-1), r.inTimeShare(rank)-0.05)
	}
}

// With the same demand divided among more instances, each of them sees fewer requests. The result is
// nearly the same.
func TestManyInstancesShareRoomByRank(t *testing.T) {
	t.Parallel()
	few := simulateContention(contentionSettings{instances: 9, load: 1, seed: 7})
	t.Log(few)
	many := simulateContention(contentionSettings{instances: 75, load: 1, seed: 7})
	t.Log(many)
	require.GreaterOrEqual(t, many.worth(), 0.95*few.worth())
}

func TestRoomByRankAtSize(t *testing.T) {
	t.Parallel()
	for _, in := range []contentionSettings{
		{instances: 295, load: 1, end: 8 * time.Second, seed: 7},
		{instances: 985, load: 1, end: 5 * time.Second, seed: 7},
	} {
		r := simulateContention(in)
		t.Log(in.instances, r)
		require.GreaterOrEqual(t, r.inTimeShare(0), 0.8)
		require.GreaterOrEqual(t, r.worth(), 0.75)
		requireByRank(t, r)
	}
}

// Urgent requests alone could take all slots. Every other rank still gets minRankShare.
func TestNoRankStarves(t *testing.T) {
	t.Parallel()
	r := simulateContention(contentionSettings{instances: 75, load: 1.3, seed: 7})
	t.Log(r)
	requireByRank(t, r)
	for rank := range r.arrived {
		require.Positive(t, r.inTime[rank])
	}
	require.GreaterOrEqual(t, r.inTimeShare(0), 0.8)
}

// With enough slots for all, no rank waits for requests of other ranks that don't come.
func TestRoomIsLent(t *testing.T) {
	t.Parallel()
	r := simulateContention(contentionSettings{instances: 75, load: 0.8, end: 12 * time.Second, seed: 7})
	t.Log(r)
	for rank := range r.arrived {
		require.GreaterOrEqual(t, r.inTimeShare(rank), 0.9)
	}
}

func rankedScheduler(servers, slots int) *Scheduler {
	table := testTable(servers, slots, 1, "am")
	table.RoomByRank, table.NoServerQueue = true, true
	return testScheduler(table)
}

func requestOfRank(id string, rank int, goal time.Duration) Request {
	r := newTestRequest(id, "am", 20*time.Second)
	r.Rank, r.Goal = rank, goal
	return r
}

// queueAll submits requests that must wait, since all slots of the only server are taken.
func queueAll(t *testing.T, s *Scheduler, requests ...Request) {
	for _, r := range requests {
		require.Equal(t, ActionQueue, s.Submit(simStart, r)[0].Action, r.ID)
	}
}

// startOrder ends one request after the other at the only server, and returns the order in which
// queued ones start.
func startOrder(s *Scheduler, now time.Time, running string, n int) []string {
	var order []string
	for range n {
		for _, d := range s.Ended(now, running, "s0", Outcome{}) {
			if d.Action == ActionDispatch {
				running = d.Request
				order = append(order, running)
			}
		}
	}
	return order
}

func TestSlotsGoWhereTheyAreWorthMost(t *testing.T) {
	s := rankedScheduler(1, 1)
	require.Equal(t, ActionDispatch, s.Submit(simStart, requestOfRank("running", 1, 0))[0].Action)
	late := requestOfRank("late", 0, time.Second)
	late.FirstTokenDeadline = simStart.Add(8 * time.Second)
	queueAll(t, s, requestOfRank("batch", 2, 10*time.Second), late)
	now := simStart.Add(1500 * time.Millisecond)
	s.Tick(now)
	fresh := requestOfRank("fresh", 0, 2*time.Second)
	fresh.Arrived = now
	require.Equal(t, ActionQueue, s.Submit(now, fresh)[0].Action)
	// The late request has lost most of its value, but the batch request can wait as long and its delay
	// costs less.
	require.Equal(t, []string{"fresh", "late", "batch"}, startOrder(s, now, "running", 3))
}

func TestBatchAboutToBeLateGoesBeforeLateRequests(t *testing.T) {
	s := rankedScheduler(1, 1)
	require.Equal(t, ActionDispatch, s.Submit(simStart, requestOfRank("running", 1, 0))[0].Action)
	queueAll(t, s,
		requestOfRank("batch", 2, 3*time.Second),
		requestOfRank("late", 0, time.Second),
	)
	now := simStart.Add(2 * time.Second)
	s.Tick(now)
	require.Equal(t, []string{"batch", "late"}, startOrder(s, now, "running", 2))
}

func TestFullQueueRefusesWhatIsWorthLeast(t *testing.T) {
	s := rankedScheduler(1, 1)
	s.Submit(simStart, requestOfRank("running", 1, 0))
	queueAll(t, s, requestOfRank("batch", 2, 10*time.Second), requestOfRank("urgent", 0, 2*time.Second))
	s.queued = maxQueued
	var refused []string
	for _, d := range s.Submit(simStart, requestOfRank("middle", 1, 5*time.Second)) {
		if d.Action == ActionRefuse {
			refused = append(refused, d.Request)
		}
	}
	require.Equal(t, []string{"batch"}, refused)
	s.queued = maxQueued
	d := s.Submit(simStart, requestOfRank("more batch", 3, 15*time.Second))
	require.Len(t, d, 1)
	require.Equal(t, "more batch", d[0].Request)
	require.Equal(t, ReasonQueueFull, d[0].Reason)
}

// Without load reports an instance keeps to its fair share of the servers also for urgent requests. It
// uses more as soon as it gets reports again.
func TestWithoutReportsUrgentRequestsKeepToTheFairShare(t *testing.T) {
	table := testTable(1, 8, 4, "am")
	table.RoomByRank, table.NoServerQueue = true, true
	s := testScheduler(table)
	started := func(now time.Time, ids ...string) int {
		n := 0
		for _, id := range ids {
			r := requestOfRank(id, 0, 800*time.Millisecond)
			r.Arrived = now
			r.Deadline = now.Add(20 * time.Second)
			if s.Submit(now, r)[0].Action == ActionDispatch {
				n++
			}
		}
		return n
	}
	require.Equal(t, 3, started(simStart, "a", "b", "c", "d", "e", "f"), "of 12 that 4 instances may have there")
	now := simStart.Add(2 * time.Second)
	for _, id := range []string{"d", "e", "f"} {
		s.Cancel(now, id)
	}
	s.UpdateLoad(now, "s0", infra.Load{Running: 3}, 0)
	require.Equal(t, 2, started(now, "g", "h"))
	lost := now.Add(maxReportAge + time.Second)
	require.Zero(t, started(lost, "i", "j"))
}

// routeByRankStep is routeStep with RoomByRank. Each server has a recent load report.
func routeByRankStep(servers int) func() {
	table := testTable(servers, 8, 41, "am")
	table.RoomByRank, table.NoServerQueue = true, true
	s := testScheduler(table)
	for i := range servers {
		s.UpdateLoad(simStart, table.Servers[i].ID, infra.Load{Running: 4, Contending: 6}, 0)
	}
	r := newTestRequest("r", "am", time.Hour)
	r.Goal = 500 * time.Millisecond
	step := func() {
		r.Prefix++
		r.Rank = int(r.Prefix) % 3
		d := s.Submit(simStart, r)[0]
		completeRequest(s, simStart, d.Request, d.Server.ID)
	}
	for range 3 * maxPrefixHints {
		step()
	}
	return step
}

func TestRoutingByRankAllocatesNothing(t *testing.T) {
	require.Zero(t, testing.AllocsPerRun(2000, routeByRankStep(100)))
}

func BenchmarkRouteByRank(b *testing.B) {
	for _, servers := range []int{100, 1900} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			step := routeByRankStep(servers)
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
