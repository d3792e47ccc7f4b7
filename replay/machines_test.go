package replay

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/quarantine"
	"greengageferry/record"
)

// applyAll applies the records at the machine's next offsets.
func applyAll(m Machine, bodies ...*record.Record) {
	for _, r := range bodies {
		m.Apply(m.Offset()+1, r)
	}
}

func configChange(file, content string, base uint64) *record.Record {
	return &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{File: file, Content: []byte(content), Base: base}}}
}

func configVerdict(change uint64, accepted bool) *record.Record {
	return &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: &record.ConfigVerdict{Change: change, Accepted: accepted}}}
}

func leaseClaim(holder string, previous, seen uint64) *record.Record {
	return &record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: &record.LeaseClaim{Holder: holder, DurationMs: 8000, Previous: previous, LastSeen: seen}}}
}

func leaseRenewal(lease uint64) *record.Record {
	return &record.Record{Body: &record.Record_LeaseRenewal{LeaseRenewal: &record.LeaseRenewal{Lease: lease}}}
}

func leaseRelease(lease uint64) *record.Record {
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

func modelItem(name string, mib int64) infra.Item {
	return infra.Item{Model: name, Version: "1", MiB: mib}
}

func TestConfigVerdictsApplyInChangeOrder(t *testing.T) {
	c := NewConfig()
	applyAll(c, configChange("a", "one", 0), configChange("a", "two", 0)) // 1, 2: concurrent edits by two operators
	applyAll(c, configVerdict(2, true))                                   // 3: out of order
	require.Empty(t, c.Files())
	applyAll(c, configVerdict(1, true), configVerdict(1, false), configVerdict(2, false)) // 4, 5, 6
	require.Len(t, c.Files(), 1)
	require.Equal(t, "one", string(c.Files()[0].Content))
	require.EqualValues(t, 1, c.Base("a"))
	require.EqualValues(t, 4, c.LastChange())
	require.Empty(t, c.Pending())
	require.EqualValues(t, 2, c.Counts()["config_verdict"].NoEffect)
}

func TestRemovedConfigFileKeepsBase(t *testing.T) {
	c := NewConfig()
	applyAll(c, configChange("a", "one", 0), configVerdict(1, true))
	applyAll(c, &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{File: "a", Removed: true, Base: 1}}}, configVerdict(3, true))
	require.True(t, c.Files()[0].Removed)
	require.EqualValues(t, 3, c.View().Base("a"))
}

func TestConfigViewIsImmutable(t *testing.T) {
	c := NewConfig()
	applyAll(c, configChange("a", "one", 0), configChange("b", "two", 0))
	before := c.View()
	applyAll(c, configVerdict(1, true), configChange("c", "three", 0))
	require.Len(t, before.Pending, 2)
	require.Empty(t, before.Files)
	require.Equal(t, "b", c.View().Pending[0].Change.GetFile())
}

func TestLeaseClaimIsCompareAndSet(t *testing.T) {
	c := NewControl()
	applyAll(c, leaseClaim("a", 0, 0), leaseClaim("b", 0, 0)) // 1 takes effect; 2 names the same previous state
	require.Equal(t, "a", c.Lease().Holder)
	applyAll(c, leaseRenewal(1), leaseClaim("b", 1, 1)) // 3 renews; 4 names the state before the renewal
	require.EqualValues(t, 3, c.Lease().Renewed)
	applyAll(c, leaseClaim("b", 1, 3)) // 5
	require.Equal(t, Lease{ID: 5, Holder: "b", DurationMS: 8000, Renewed: 5}, c.Lease())
	applyAll(c, leaseRenewal(1), leaseRelease(1)) // both name the previous lease
	require.EqualValues(t, 5, c.Lease().Renewed)
	applyAll(c, leaseRelease(5), leaseRenewal(5)) // 8, 9: no renewal after a release
	require.True(t, c.Lease().Released)
	applyAll(c, assignment(5, "s", 10))
	require.Empty(t, c.View().Servers, "assignments under a released lease have no effect")
}

func TestLingeringItemsReserveMemory(t *testing.T) {
	c := NewControl()
	a, b := modelItem("a", 6), modelItem("b", 6)
	applyAll(c, leaseClaim("h", 0, 0), assignment(1, "s", 10, a)) // 2
	applyAll(c, assignment(1, "s", 10, b))                        // 3: no effect, a may still be loaded
	require.EqualValues(t, 2, c.View().Servers["s"].Assignment)
	applyAll(c, assignment(1, "s", 10), assignment(1, "s", 10, b)) // 4 unassigns a; 5 has no effect: a lingers
	s := c.View().Servers["s"]
	require.EqualValues(t, 4, s.Assignment)
	require.Equal(t, []infra.Item{a}, s.Lingering)
	applyAll(c, removal(1, "s", 2, a)) // 6: names an older assignment
	require.Len(t, c.View().Servers["s"].Lingering, 1)
	applyAll(c, removal(1, "s", 4, a), assignment(1, "s", 10, b)) // 7, 8
	s = c.View().Servers["s"]
	require.Equal(t, []infra.Item{b}, s.Assigned)
	require.Empty(t, s.Lingering)
}

func TestReassignedLingeringItemCountsOnceAndIsNotReady(t *testing.T) {
	c := NewControl()
	a, b := modelItem("a", 6), modelItem("b", 4)
	applyAll(c, leaseClaim("h", 0, 0), assignment(1, "s", 10, a), readiness(1, "s", "boot", a, b))
	require.Equal(t, []infra.Item{a}, c.View().Servers["s"].Ready, "b is not assigned")
	applyAll(c, assignment(1, "s", 10), assignment(1, "s", 10, a, b))
	s := c.View().Servers["s"]
	require.Len(t, s.Assigned, 2)
	require.Empty(t, s.Lingering)
	require.Empty(t, s.Ready)
	applyAll(c, readiness(1, "s", "boot", a))
	require.Equal(t, []infra.Item{a}, c.View().Servers["s"].Ready)
}

func TestPossiblyLoadedItemKeepsLargerSize(t *testing.T) {
	c := NewControl()
	applyAll(c, leaseClaim("h", 0, 0), assignment(1, "s", 10, modelItem("a", 8)))
	applyAll(c, assignment(1, "s", 10, modelItem("a", 2), modelItem("b", 4)))
	require.EqualValues(t, 2, c.View().Servers["s"].Assignment, "a may still use 8 MiB")
	applyAll(c, assignment(1, "s", 10, modelItem("a", 2), modelItem("b", 2)))
	require.EqualValues(t, 8, c.View().Servers["s"].Assigned[0].MiB)
}

func TestGoneServerIsDeleted(t *testing.T) {
	c := NewControl()
	applyAll(c, leaseClaim("h", 0, 0), assignment(1, "s", 10, modelItem("a", 8)), assignment(1, "s", 0))
	require.Empty(t, c.View().Servers)
}

func TestControlViewSharesUnchangedServers(t *testing.T) {
	c := NewControl()
	applyAll(c, leaseClaim("h", 0, 0), assignment(1, "s", 10), assignment(1, "t", 10))
	before := c.View()
	applyAll(c, assignment(1, "s", 10, modelItem("a", 1)))
	after := c.View()
	require.Empty(t, before.Servers["s"].Assigned)
	require.Len(t, after.Servers["s"].Assigned, 1)
	require.Same(t, before.Servers["t"], after.Servers["t"])
}

func TestOrdererKeepsFirstJoin(t *testing.T) {
	c := NewControl()
	join := &record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: "a"}}}
	leave := &record.Record{Body: &record.Record_OrdererLeave{OrdererLeave: &record.OrdererLeave{Instance: "a"}}}
	applyAll(c, join, join)
	require.EqualValues(t, 1, c.View().Orderers["a"])
	applyAll(c, leave)
	require.Empty(t, c.View().Orderers)
}

func claimRecord(key byte, attempt string) *record.Record {
	k := ClaimKey{key}
	return &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{Key: k[:], Attempt: attempt}}}
}

func claimResult(key byte, attempt string, o record.ClaimResult_Outcome) *record.Record {
	k := ClaimKey{key}
	return &record.Record{Body: &record.Record_ClaimResult{ClaimResult: &record.ClaimResult{Key: k[:], Attempt: attempt, Outcome: o}}}
}

func claimExpiry(before uint64) *record.Record {
	return &record.Record{Body: &record.Record_ClaimExpiry{ClaimExpiry: &record.ClaimExpiry{Before: before}}}
}

func TestFirstClaimHoldsKey(t *testing.T) {
	c := NewClaims(1)
	applyAll(c, claimRecord(1, "x"), claimRecord(1, "y"))
	s, ok := c.Standing(ClaimKey{1})
	require.True(t, ok)
	require.Equal(t, "x", s.Attempt)
	applyAll(c, claimResult(1, "y", record.ClaimResult_NOT_RUN), claimResult(1, "w", record.ClaimResult_NOT_RUN))
	_, ok = c.Standing(ClaimKey{1})
	require.True(t, ok, "a result of another attempt does not release the key")
	applyAll(c, claimResult(1, "x", record.ClaimResult_COMPLETE))
	s, _ = c.Standing(ClaimKey{1})
	require.Equal(t, record.ClaimResult_COMPLETE, s.Outcome)
	applyAll(c, claimResult(1, "x", record.ClaimResult_NOT_RUN), claimRecord(1, "z"))
	s, _ = c.Standing(ClaimKey{1})
	require.Equal(t, "z", s.Attempt)
}

func TestClaimsExpireByLogRecord(t *testing.T) {
	c := NewClaims(1)
	applyAll(c, claimRecord(1, "x"), claimRecord(2, "y"), claimExpiry(2))
	_, ok := c.Standing(ClaimKey{1})
	require.False(t, ok)
	_, ok = c.Standing(ClaimKey{2})
	require.True(t, ok)
	require.Equal(t, 1, c.Len())
	applyAll(c, claimExpiry(99))
	require.EqualValues(t, 2, c.ExpiredBefore(), "offsets not yet on the log cannot expire")
}

func TestClaimsReadFromMiddleAreIncompleteUntilStartExpires(t *testing.T) {
	c := NewClaims(5)
	c.Apply(5, claimRecord(1, "x"))
	c.Apply(6, claimExpiry(4))
	require.False(t, c.Complete())
	c.Apply(7, claimExpiry(5))
	require.True(t, c.Complete())
}

func TestLosingClaimIsReleasedByNotRun(t *testing.T) {
	c := NewClaims(1)
	applyAll(c, claimRecord(1, "x"), claimRecord(1, "y"), claimResult(1, "x", record.ClaimResult_NOT_RUN))
	s, _ := c.Standing(ClaimKey{1})
	require.Equal(t, "y", s.Attempt)
	applyAll(c, claimResult(1, "y", record.ClaimResult_NOT_RUN))
	_, found := c.Standing(ClaimKey{1})
	require.False(t, found)
}

func crashRecord(f byte, server, boot string, at time.Time) *record.Record {
	fp := quarantine.Fingerprint{f}
	return &record.Record{Body: &record.Record_Crash{Crash: &record.Crash{Fingerprint: fp[:], Server: server, Boot: boot, AtUnixMs: at.UnixMilli()}}}
}

func TestQuarantineNeedsTwoServers(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQuarantine()
	applyAll(q, crashRecord(1, "s", "1", now), crashRecord(1, "s", "1", now), crashRecord(1, "s", "2", now))
	require.False(t, q.View().Quarantined(quarantine.Fingerprint{1}, now), "crashes of one server only")
	require.True(t, q.View().Suspect(quarantine.Fingerprint{1}, now))
	for boot := range 20 {
		applyAll(q, crashRecord(1, "t", string(rune('a'+boot)), now))
	}
	require.True(t, q.View().Quarantined(quarantine.Fingerprint{1}, now))
	require.False(t, q.View().Quarantined(quarantine.Fingerprint{1}, now.Add(time.Millisecond)))
	require.False(t, q.View().Quarantined(quarantine.Fingerprint{2}, now))
	require.Len(t, q.View().Suspects[quarantine.Fingerprint{1}].Crashes, quarantine.MaxCrashes)
	require.False(t, q.View().Suspect(quarantine.Fingerprint{1}, now.Add(time.Millisecond)))
}

func TestDuplicateAndUnexpectedRecordsChangeNothing(t *testing.T) {
	c := NewConfig()
	r := configChange("a", "one", 0)
	r.Origin, r.Sequence = "w", 1
	applyAll(c, r, r, &record.Record{}, nil, leaseRenewal(1))
	require.Len(t, c.Pending(), 1)
	require.EqualValues(t, 1, c.Counts()["config_change"].Duplicate)
	require.EqualValues(t, 2, c.Counts()[KindUnknown].Unexpected)
	require.EqualValues(t, 1, c.Counts()["lease_renewal"].Unexpected)
	c.Apply(3, configChange("late", "", 0))
	require.EqualValues(t, 5, c.Offset(), "offsets never go back")
	require.Len(t, c.Pending(), 1)
}

func TestRestoreRejectsOlderCheckpoint(t *testing.T) {
	c := NewConfig()
	applyAll(c, configChange("a", "one", 0))
	old := c.Checkpoint()
	applyAll(c, configVerdict(1, true))
	var stale *StaleCheckpointError
	require.True(t, errors.As(c.Restore(old), &stale))
	var kind *UnsupportedCheckpointError
	require.True(t, errors.As(c.Restore(NewControl().Checkpoint()), &kind))
	require.Len(t, c.Files(), 1)
}

// unixTime returns the time that many seconds after the Unix epoch.
func unixTime(seconds uint64) time.Time { return time.Unix(int64(seconds), 0) }
