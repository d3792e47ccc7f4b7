package replay

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/record"
)

// feed applies bodies as the records of one writer, from the machine's next offset on.
func feed(m Machine, bodies ...*record.Record) {
	for _, r := range bodies {
		m.Apply(m.Offset()+1, r)
	}
}

func change(file, content string, base uint64) *record.Record {
	return &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{File: file, Content: []byte(content), Base: base}}}
}

func judged(change uint64, accepted bool) *record.Record {
	return &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: &record.ConfigVerdict{Change: change, Accepted: accepted}}}
}

func claimLease(holder string, previous, seen uint64) *record.Record {
	return &record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: &record.LeaseClaim{Holder: holder, DurationMs: 8000, Previous: previous, LastSeen: seen}}}
}

func renewal(lease uint64) *record.Record {
	return &record.Record{Body: &record.Record_LeaseRenewal{LeaseRenewal: &record.LeaseRenewal{Lease: lease}}}
}

func release(lease uint64) *record.Record {
	return &record.Record{Body: &record.Record_LeaseRelease{LeaseRelease: &record.LeaseRelease{Lease: lease}}}
}

func assignment(lease uint64, server string, memory int64, items ...infra.Item) *record.Record {
	return &record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{Lease: lease, Server: server, MemoryMib: memory, Items: ItemRecords(items)}}}
}

func removal(lease uint64, server string, assignment uint64, items ...infra.Item) *record.Record {
	return &record.Record{Body: &record.Record_Removal{Removal: &record.Removal{Lease: lease, Server: server, Assignment: assignment, Items: ItemRecords(items)}}}
}

func readiness(lease uint64, server, boot string, items ...infra.Item) *record.Record {
	return &record.Record{Body: &record.Record_Readiness{Readiness: &record.Readiness{Lease: lease, Server: server, Boot: boot, Items: ItemRecords(items)}}}
}

func model(name string, mib int64) infra.Item {
	return infra.Item{Model: name, Version: "1", MiB: mib}
}

func TestConfigTakesVerdictsInTheOrderOfTheChanges(t *testing.T) {
	c := NewConfig()
	feed(c, change("a", "one", 0), change("a", "two", 0)) // 1, 2: two operators race
	feed(c, judged(2, true))                              // 3: out of order
	require.Empty(t, c.Files())
	feed(c, judged(1, true), judged(1, false), judged(2, false)) // 4, 5, 6
	require.Len(t, c.Files(), 1)
	require.Equal(t, "one", string(c.Files()[0].Content))
	require.EqualValues(t, 1, c.Base("a"))
	require.EqualValues(t, 4, c.Changed())
	require.Empty(t, c.Pending())
	require.EqualValues(t, 2, c.Counts()["config_verdict"].Void)
}

func TestConfigRemovedFileKeepsItsBase(t *testing.T) {
	c := NewConfig()
	feed(c, change("a", "one", 0), judged(1, true))
	feed(c, &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{File: "a", Removed: true, Base: 1}}}, judged(3, true))
	require.True(t, c.Files()[0].Removed)
	require.EqualValues(t, 3, c.View().Base("a"))
}

func TestConfigViewIsNotChangedLater(t *testing.T) {
	c := NewConfig()
	feed(c, change("a", "one", 0), change("b", "two", 0))
	before := c.View()
	feed(c, judged(1, true), change("c", "three", 0))
	require.Len(t, before.Pending, 2)
	require.Empty(t, before.Files)
	require.Equal(t, "b", c.View().Pending[0].Change.GetFile())
}

func TestLeaseClaimIsACompareAndSet(t *testing.T) {
	c := NewControl()
	feed(c, claimLease("a", 0, 0), claimLease("b", 0, 0)) // 1 stands, 2 saw the same
	require.Equal(t, "a", c.Lease().Holder)
	feed(c, renewal(1), claimLease("b", 1, 1)) // 3 renews; 4 did not see it
	require.EqualValues(t, 3, c.Lease().Renewed)
	feed(c, claimLease("b", 1, 3)) // 5
	require.Equal(t, Lease{ID: 5, Holder: "b", DurationMS: 8000, Renewed: 5}, c.Lease())
	feed(c, renewal(1), release(1)) // of the lease before
	require.EqualValues(t, 5, c.Lease().Renewed)
	feed(c, release(5), renewal(5)) // 8, 9: no renewal after a release
	require.True(t, c.Lease().Released)
	feed(c, assignment(5, "s", 10))
	require.Empty(t, c.View().Servers, "a released lease assigns nothing")
}

func TestAssignmentKeepsMemoryOfWhatMayStillBeThere(t *testing.T) {
	c := NewControl()
	a, b := model("a", 6), model("b", 6)
	feed(c, claimLease("h", 0, 0), assignment(1, "s", 10, a)) // 2
	feed(c, assignment(1, "s", 10, b))                        // 3: void, a is still there
	require.EqualValues(t, 2, c.View().Servers["s"].Assignment)
	feed(c, assignment(1, "s", 10), assignment(1, "s", 10, b)) // 4 drops a, 5 void: a lingers
	s := c.View().Servers["s"]
	require.EqualValues(t, 4, s.Assignment)
	require.Equal(t, []infra.Item{a}, s.Lingering)
	feed(c, removal(1, "s", 2, a)) // 6: names an older assignment
	require.Len(t, c.View().Servers["s"].Lingering, 1)
	feed(c, removal(1, "s", 4, a), assignment(1, "s", 10, b)) // 7, 8
	s = c.View().Servers["s"]
	require.Equal(t, []infra.Item{b}, s.Assigned)
	require.Empty(t, s.Lingering)
}

func TestItemAssignedAgainWhileItLingersCountsOnceAndIsNotReady(t *testing.T) {
	c := NewControl()
	a, b := model("a", 6), model("b", 4)
	feed(c, claimLease("h", 0, 0), assignment(1, "s", 10, a), readiness(1, "s", "boot", a, b))
	require.Equal(t, []infra.Item{a}, c.View().Servers["s"].Ready, "b isn't assigned")
	feed(c, assignment(1, "s", 10), assignment(1, "s", 10, a, b))
	s := c.View().Servers["s"]
	require.Len(t, s.Assigned, 2)
	require.Empty(t, s.Lingering)
	require.Empty(t, s.Ready)
	feed(c, readiness(1, "s", "boot", a))
	require.Equal(t, []infra.Item{a}, c.View().Servers["s"].Ready)
}

func TestItemThatMayBeThereKeepsItsLargerSize(t *testing.T) {
	c := NewControl()
	feed(c, claimLease("h", 0, 0), assignment(1, "s", 10, model("a", 8)))
	feed(c, assignment(1, "s", 10, model("a", 2), model("b", 4)))
	require.EqualValues(t, 2, c.View().Servers["s"].Assignment, "a may still take 8")
	feed(c, assignment(1, "s", 10, model("a", 2), model("b", 2)))
	require.EqualValues(t, 8, c.View().Servers["s"].Assigned[0].MiB)
}

func TestServerThatIsGoneIsForgotten(t *testing.T) {
	c := NewControl()
	feed(c, claimLease("h", 0, 0), assignment(1, "s", 10, model("a", 8)), assignment(1, "s", 0))
	require.Empty(t, c.View().Servers)
}

func TestControlViewSharesWhatDidNotChange(t *testing.T) {
	c := NewControl()
	feed(c, claimLease("h", 0, 0), assignment(1, "s", 10), assignment(1, "t", 10))
	before := c.View()
	feed(c, assignment(1, "s", 10, model("a", 1)))
	after := c.View()
	require.Empty(t, before.Servers["s"].Assigned)
	require.Len(t, after.Servers["s"].Assigned, 1)
	require.Same(t, before.Servers["t"], after.Servers["t"])
}

func TestOrderersKeepTheirFirstJoin(t *testing.T) {
	c := NewControl()
	join := &record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: "a"}}}
	leave := &record.Record{Body: &record.Record_OrdererLeave{OrdererLeave: &record.OrdererLeave{Instance: "a"}}}
	feed(c, join, join)
	require.EqualValues(t, 1, c.View().Orderers["a"])
	feed(c, leave)
	require.Empty(t, c.View().Orderers)
}

func claimOf(key byte, attempt string) *record.Record {
	k := ClaimKey{key}
	return &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{Key: k[:], Attempt: attempt}}}
}

func resultOf(key byte, attempt string, o record.ClaimResult_Outcome) *record.Record {
	k := ClaimKey{key}
	return &record.Record{Body: &record.Record_ClaimResult{ClaimResult: &record.ClaimResult{Key: k[:], Attempt: attempt, Outcome: o}}}
}

func expiry(before uint64) *record.Record {
	return &record.Record{Body: &record.Record_ClaimExpiry{ClaimExpiry: &record.ClaimExpiry{Before: before}}}
}

func TestFirstClaimStands(t *testing.T) {
	c := NewClaims(1)
	feed(c, claimOf(1, "x"), claimOf(1, "y"))
	s, ok := c.Standing(ClaimKey{1})
	require.True(t, ok)
	require.Equal(t, "x", s.Attempt)
	feed(c, resultOf(1, "y", record.ClaimResult_NOT_RUN), resultOf(1, "w", record.ClaimResult_NOT_RUN))
	_, ok = c.Standing(ClaimKey{1})
	require.True(t, ok, "another attempt's word doesn't free it")
	feed(c, resultOf(1, "x", record.ClaimResult_COMPLETE))
	s, _ = c.Standing(ClaimKey{1})
	require.Equal(t, record.ClaimResult_COMPLETE, s.Outcome)
	feed(c, resultOf(1, "x", record.ClaimResult_NOT_RUN), claimOf(1, "z"))
	s, _ = c.Standing(ClaimKey{1})
	require.Equal(t, "z", s.Attempt)
}

func TestClaimsExpireByTheLog(t *testing.T) {
	c := NewClaims(1)
	feed(c, claimOf(1, "x"), claimOf(2, "y"), expiry(2))
	_, ok := c.Standing(ClaimKey{1})
	require.False(t, ok)
	_, ok = c.Standing(ClaimKey{2})
	require.True(t, ok)
	require.Equal(t, 1, c.Len())
	feed(c, expiry(99))
	require.EqualValues(t, 2, c.Expired(), "what isn't on the log yet can't expire")
}

func TestClaimsReadFromTheMiddleAreIncompleteUntilTheirStartExpired(t *testing.T) {
	c := NewClaims(5)
	c.Apply(5, claimOf(1, "x"))
	c.Apply(6, expiry(4))
	require.False(t, c.Complete())
	c.Apply(7, expiry(5))
	require.True(t, c.Complete())
}

func TestClaimThatLostStandsOnlyUntilItSaysThatItDidNotRun(t *testing.T) {
	c := NewClaims(1)
	feed(c, claimOf(1, "x"), claimOf(1, "y"), resultOf(1, "x", record.ClaimResult_NOT_RUN))
	s, _ := c.Standing(ClaimKey{1})
	require.Equal(t, "y", s.Attempt)
	feed(c, resultOf(1, "y", record.ClaimResult_NOT_RUN))
	_, stands := c.Standing(ClaimKey{1})
	require.False(t, stands)
}

func crashOn(f byte, server, boot string, at time.Time) *record.Record {
	fp := Fingerprint{f}
	return &record.Record{Body: &record.Record_Crash{Crash: &record.Crash{Fingerprint: fp[:], Server: server, Boot: boot, AtUnixMs: at.UnixMilli()}}}
}

func TestQuarantineNeedsTwoServers(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQuarantine()
	feed(q, crashOn(1, "s", "1", now), crashOn(1, "s", "1", now), crashOn(1, "s", "2", now))
	require.False(t, q.View().Quarantined(Fingerprint{1}, now), "one server's own fault")
	require.True(t, q.View().Suspect(Fingerprint{1}, now))
	for boot := range 20 {
		feed(q, crashOn(1, "t", string(rune('a'+boot)), now))
	}
	require.True(t, q.View().Quarantined(Fingerprint{1}, now))
	require.False(t, q.View().Quarantined(Fingerprint{1}, now.Add(time.Millisecond)))
	require.False(t, q.View().Quarantined(Fingerprint{2}, now))
	require.Len(t, q.View().Suspects[Fingerprint{1}].Crashes, MaxCrashes)
	require.False(t, q.View().Suspect(Fingerprint{1}, now.Add(time.Millisecond)))
}

func TestRepeatsAndForeignRecordsChangeNothing(t *testing.T) {
	c := NewConfig()
	r := change("a", "one", 0)
	r.Origin, r.Sequence = "w", 1
	feed(c, r, r, &record.Record{}, nil, renewal(1))
	require.Len(t, c.Pending(), 1)
	require.EqualValues(t, 1, c.Counts()["config_change"].Repeated)
	require.EqualValues(t, 2, c.Counts()[KindUnknown].Foreign)
	require.EqualValues(t, 1, c.Counts()["lease_renewal"].Foreign)
	c.Apply(3, change("late", "", 0))
	require.EqualValues(t, 5, c.Offset(), "offsets never go back")
	require.Len(t, c.Pending(), 1)
}

func TestRestoreNeverGoesBack(t *testing.T) {
	c := NewConfig()
	feed(c, change("a", "one", 0))
	old := c.Checkpoint()
	feed(c, judged(1, true))
	var stale *StaleCheckpointError
	require.True(t, errors.As(c.Restore(old), &stale))
	var kind *CheckpointKindError
	require.True(t, errors.As(c.Restore(NewControl().Checkpoint()), &kind))
	require.Len(t, c.Files(), 1)
}

func instant(seconds uint64) time.Time { return time.Unix(int64(seconds), 0) }
