package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/infra"
)

// testRetryAfter is the pause that refusing servers ask for.
const testRetryAfter = 3 * time.Second

// refuseWithRetryAfter reports to the scheduler that the server refused the request.
func refuseWithRetryAfter(s *Scheduler, now time.Time, id, server string, retryAfter time.Duration) []Decision {
	return s.AttemptFailed(now, id, server, Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone, RetryAfter: retryAfter})
}

// One of four servers refuses every request and asks for a pause. It must get no more
// than one request per pause, whatever the number of instances.
func TestPausedServerGetsOneRequestPerPause(t *testing.T) {
	for _, instances := range []int{1, 9, 295} {
		s := testScheduler(testTable(4, 100, instances, "am"))
		sent := 0
		for i := range 400 { // 20 a second
			now := simStart.Add(time.Duration(i) * 50 * time.Millisecond)
			d := s.Submit(now, newTestRequest(fmt.Sprint(i), "am", time.Hour))[0]
			require.Equal(t, ActionDispatch, d.Action)
			if d.Server.ID != "s0" {
				completeRequest(s, now, d.Request, d.Server.ID)
				continue
			}
			sent++
			retry := refuseWithRetryAfter(s, now, d.Request, "s0", testRetryAfter)[0]
			require.NotEqual(t, "s0", retry.Server.ID)
			s.Cancel(now, d.Request)
		}
		require.LessOrEqual(t, sent, int(20*time.Second/testRetryAfter)+1, "%d instances", instances)
		require.Greater(t, sent, 1, "the server must be tried again after its pause")
	}
}

// While all servers of a target are paused, requests that can't be served between the end
// of the pause and their deadline are refused at once, whether new or queued. Others wait.
func TestRequestsThatCannotBeServedAfterThePauseAreRefusedAtOnce(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am"))
	now := simStart
	first := s.Submit(now, newTestRequest("first", "am", time.Minute))[0]
	require.Equal(t, ActionDispatch, first.Action)
	require.Equal(t, ActionQueue, s.Submit(now, newTestRequest("short", "am", 2*time.Second))[0].Action)
	require.Equal(t, ActionQueue, s.Submit(now, newTestRequest("long", "am", time.Minute))[0].Action)
	refuseWithRetryAfter(s, now, "first", "s0", testRetryAfter)
	s.Cancel(now, "first")
	refused := s.Tick(now)
	require.Len(t, refused, 1)
	require.Equal(t, "short", refused[0].Request)
	require.GreaterOrEqual(t, refused[0].RetryAfter, testRetryAfter)
	late := s.Submit(now, newTestRequest("late", "am", 2*time.Second))[0]
	require.Equal(t, ActionRefuse, late.Action)
	require.GreaterOrEqual(t, late.RetryAfter, testRetryAfter)
	require.Empty(t, s.Tick(now.Add(testRetryAfter-time.Millisecond)))
	started := s.Tick(now.Add(testRetryAfter))
	require.Len(t, started, 1)
	require.Equal(t, "long", started[0].Request)
	require.Equal(t, ActionDispatch, started[0].Action)
}

// No server may get a request within its pause, whatever other refusals, successes of
// requests in flight, restarts and gaps in the list of servers occur.
func TestNoServerGetsARequestWithinItsPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := testTable(3, 4, rapid.SampledFrom([]int{1, 9, 295}).Draw(t, "instances"), "am")
		s := testScheduler(table)
		now := simStart
		type pause struct {
			start string
			end   time.Time
		}
		pauses := map[string]pause{}    // by server id
		serverOf := map[string]string{} // server id by request id
		var inFlight []string           // request ids, oldest first
		checkDispatches := func(decisions []Decision) {
			for _, d := range decisions {
				if d.Action != ActionDispatch {
					continue
				}
				if p := pauses[d.Server.ID]; p.start == d.Server.Start {
					require.False(t, now.Before(p.end), "%s got a request %s before the end of its pause", d.Server.ID, p.end.Sub(now))
				}
				serverOf[d.Request] = d.Server.ID
				inFlight = append(inFlight, d.Request)
			}
		}
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			operation := rapid.IntRange(0, 6).Draw(t, "operation")
			if operation < 3 || len(inFlight) == 0 && operation < 5 { // a request arrives
				r := newTestRequest(fmt.Sprint(n), "am", time.Hour)
				r.Arrived = now
				checkDispatches(s.Submit(now, r))
				continue
			}
			switch operation {
			case 3: // the oldest request in flight is answered
				id := inFlight[0]
				inFlight = inFlight[1:]
				checkDispatches(completeRequest(s, now, id, serverOf[id]))
			case 4: // the oldest request in flight is refused
				id := inFlight[0]
				inFlight = inFlight[1:]
				retryAfter := time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
				server := serverOf[id]
				start := ""
				for _, srv := range table.Servers {
					if srv.ID == server {
						start = srv.Start
					}
				}
				end := now.Add(retryAfter)
				if p := pauses[server]; p.start == start && p.end.After(end) {
					end = p.end
				}
				pauses[server] = pause{start, end}
				checkDispatches(refuseWithRetryAfter(s, now, id, server, retryAfter))
			default:
				next := *table
				next.Servers = append([]Server(nil), table.Servers...)
				i := rapid.IntRange(0, 2).Draw(t, "server")
				if operation == 5 { // the server restarts
					next.Servers[i].Start = fmt.Sprint(n)
					table = &next
					checkDispatches(s.SetTable(now, table))
					break
				}
				empty := *testTable(0, 4, 1, "am") // all servers are unlisted and listed again
				checkDispatches(s.SetTable(now, &empty))
				checkDispatches(s.SetTable(now, table))
			}
		}
	})
}
