package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// refuseOverloaded reports to the scheduler that the server refused the request as
// overloaded.
func refuseOverloaded(s *Scheduler, now time.Time, id, server string) []Decision {
	return s.AttemptFailed(now, id, server, Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone})
}

// One of four servers refuses every request and therefore always has the lowest load. Each
// request may be sent to only one server.
func TestServerThatRefusesAllRequestsBacksOff(t *testing.T) {
	s := testScheduler(testTable(4, 100, 1, "am"))
	lost := 0
	for i := range 200 { // 20 a second
		now := simStart.Add(time.Duration(i) * 50 * time.Millisecond)
		r := newTestRequest(fmt.Sprint(i), "am", time.Hour)
		r.MaxAttempts = 1
		d := s.Submit(now, r)[0]
		if d.Server.ID == "s0" {
			lost++
			refuseOverloaded(s, now, r.ID, "s0")
			continue
		}
		completeRequest(s, now, r.ID, d.Server.ID)
	}
	require.Less(t, lost, 20, "a constant backoff of 0.1 s costs 43 requests")
}

// A server crashed and restarted empty, while the table still lists its models there.
func TestServerThatRefusedAConnectionIsPresumedEmptyUntilItsNewStartIsListed(t *testing.T) {
	table := testTable(2, 100, 1, "am")
	s := testScheduler(table)
	now := simStart
	sentTo := func(id string) string {
		d := s.Submit(now, newTestRequest(id, "am", time.Hour))[0]
		completeRequest(s, now, id, d.Server.ID)
		return d.Server.ID
	}
	for n := 0; ; n++ {
		id := fmt.Sprint("lost", n)
		d := s.Submit(now, newTestRequest(id, "am", time.Hour))[0]
		if d.Server.ID == "s0" {
			s.AttemptFailed(now, id, "s0", Failure{Reason: infra.ReasonUnreachable, Effect: infra.EffectNone, Unsent: true})
			s.Cancel(now, id)
			break
		}
		completeRequest(s, now, id, d.Server.ID)
	}
	now = now.Add(failureBackoff + time.Millisecond) // the backoff has ended
	for n := range 20 {
		require.Equal(t, "s1", sentTo(fmt.Sprint("empty", n)))
	}
	restarted := *table
	restarted.Servers = append([]Server(nil), table.Servers...)
	restarted.Servers[0].Start = "later"
	s.SetTable(now, &restarted)
	seen := map[string]bool{}
	for n := range 20 {
		seen[sentTo(fmt.Sprint("back", n))] = true
	}
	require.True(t, seen["s0"], "the new start is listed with its models, so it must be used again")
}

// The network to a failure domain is cut. Each connection attempt there times out after a
// second, which is longer than the caller can wait.
func TestCutOffDomainIsTriedLast(t *testing.T) {
	table := testTable(12, 100, 1, "am")
	for i := range 6 {
		table.Servers[i].FailureDomain = "d1"
	}
	table.OwnDomain = "d2" // all servers are equally remote
	s := testScheduler(table)
	cut := 0
	for i := range 100 { // 50 a second
		now := simStart.Add(time.Duration(i) * 20 * time.Millisecond)
		id := fmt.Sprint(i)
		d := s.Submit(now, newTestRequest(id, "am", time.Hour))
		for d[0].Server.FailureDomain == "d1" {
			cut++
			d = s.AttemptFailed(now, id, d[0].Server.ID, Failure{Reason: infra.ReasonTimeout, Effect: infra.EffectNone, Unsent: true})
		}
		completeRequest(s, now, id, d[0].Server.ID)
	}
	require.Less(t, cut, 10, "detection per server alone costs 19")
}

// Guards against what was learned of a server's process outlasting it: a server that failed
// and started again under its id was left out for up to 10 s.
func TestServerThatStartedAgainIsUsedAtOnce(t *testing.T) {
	table := testTable(2, 100, 1, "am")
	s := testScheduler(table)
	now := simStart
	for n := range 40 { // s0 fails all that it gets, and its backoff grows
		id := fmt.Sprint("lost", n)
		r := newTestRequest(id, "am", time.Hour)
		r.MaxAttempts = 1
		d := s.Submit(now, r)[0]
		if d.Server.ID == "s0" {
			s.AttemptFailed(now, id, "s0", Failure{Reason: infra.ReasonUnreachable})
		} else {
			completeRequest(s, now, id, d.Server.ID)
		}
		now = now.Add(failureBackoff)
	}
	used := func() bool {
		for n := range 20 {
			id := fmt.Sprint("later", now.UnixNano(), n)
			d := s.Submit(now, newTestRequest(id, "am", time.Hour))[0]
			completeRequest(s, now, id, d.Server.ID)
			if d.Server.ID == "s0" {
				return true
			}
		}
		return false
	}
	require.False(t, used(), "in backoff")
	again := *table
	again.Servers = append([]Server(nil), table.Servers...)
	again.Servers[0].Start = "2"
	s.SetTable(now, &again)
	require.True(t, used())
}
