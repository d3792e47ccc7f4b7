package replay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"greengageferry/infra"
	"greengageferry/record"
)

// drawStream draws the records of a stream with bodies from the generator. The
// records have one of three origins or none, and some are repeated later.
func drawStream(t *rapid.T, body func(t *rapid.T, offset uint64) *record.Record) []*record.Record {
	n := rapid.IntRange(1, 120).Draw(t, "records")
	sequences := map[string]uint64{}
	var out []*record.Record
	for range n {
		if len(out) > 0 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
			out = append(out, out[rapid.IntRange(0, len(out)-1).Draw(t, "which")])
			continue
		}
		r := body(t, uint64(len(out)+1))
		r.Origin = rapid.SampledFrom([]string{"", "w1", "w2", "w3"}).Draw(t, "origin")
		if r.Origin != "" {
			sequences[r.Origin]++
			r.Sequence = sequences[r.Origin]
		}
		out = append(out, r)
	}
	return out
}

func drawOffset(t *rapid.T, upTo uint64) uint64 {
	return rapid.Uint64Range(0, upTo).Draw(t, "offset")
}

// drawConfig draws a record of the config stream, or sometimes one of a control
// stream, which must be ignored.
func drawConfig(t *rapid.T, offset uint64) *record.Record {
	file := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "file")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		return configChange(file, fmt.Sprint(offset), drawOffset(t, offset))
	case 2:
		return &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{File: file, Removed: true}}}
	case 3:
		return leaseRenewal(1)
	}
	return configVerdict(drawOffset(t, offset), rapid.Bool().Draw(t, "accepted"))
}

func drawItems(t *rapid.T) []infra.Item {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 3, rapid.ID[string]).Draw(t, "models")
	var out []infra.Item
	for _, name := range names {
		out = append(out, modelItem(name, rapid.Int64Range(0, 6).Draw(t, "mib")))
	}
	return out
}

func drawControl(t *rapid.T, offset uint64) *record.Record {
	lease := rapid.SampledFrom([]uint64{0, 1, 1, 1, drawOffset(t, offset)}).Draw(t, "lease")
	server := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "server")
	instance := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "instance")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return leaseClaim(instance, lease, drawOffset(t, offset))
	case 1:
		return leaseRenewal(lease)
	case 2:
		return leaseRelease(drawOffset(t, offset))
	case 3:
		return &record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: instance}}}
	case 4:
		return &record.Record{Body: &record.Record_OrdererLeave{OrdererLeave: &record.OrdererLeave{Instance: instance}}}
	case 5:
		return removal(lease, server, drawOffset(t, offset), drawItems(t)...)
	case 6:
		return readiness(lease, server, instance, drawItems(t)...)
	}
	return assignment(lease, server, rapid.Int64Range(0, 10).Draw(t, "memory"), drawItems(t)...)
}

func drawQuarantine(t *rapid.T, offset uint64) *record.Record {
	f := rapid.ByteRange(0, 3).Draw(t, "fingerprint")
	server := rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "server")
	r := crashRecord(f, server, rapid.StringMatching("[0-9]").Draw(t, "boot"), unixTime(offset))
	return r
}

// machines are the state machines that have checkpoints, each with a generator of
// its records.
var machines = map[string]struct {
	make func() Machine
	draw func(t *rapid.T, offset uint64) *record.Record
}{
	"config":     {func() Machine { return NewConfig() }, drawConfig},
	"control":    {func() Machine { return NewControl() }, drawControl},
	"quarantine": {func() Machine { return NewQuarantine() }, drawQuarantine},
}

// encodeState returns the encoding of the machine's whole state.
func encodeState(t require.TestingT, m Machine) string {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Checkpoint())
	require.NoError(t, err)
	return string(b)
}

// TestReadersAgree checks that a reader restored from an encoded checkpoint of any
// offset has the same state after each record as one that read the whole stream.
func TestReadersAgree(t *testing.T) {
	for name, m := range machines {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				records := drawStream(t, m.draw)
				from := rapid.IntRange(0, len(records)).Draw(t, "checkpoint")
				whole, restarted := m.make(), m.make()
				for i, r := range records {
					if i == from {
						restoreFrom(t, whole, restarted)
					}
					whole.Apply(infra.Offset(i+1), r)
					if i >= from {
						restarted.Apply(infra.Offset(i+1), r)
						require.Equal(t, encodeState(t, whole), encodeState(t, restarted), "after %d", i+1)
					}
				}
			})
		})
	}
}

// restoreFrom restores one machine from the encoded checkpoint of the other.
func restoreFrom(t *rapid.T, from, to Machine) {
	c := &record.Checkpoint{}
	require.NoError(t, proto.Unmarshal([]byte(encodeState(t, from)), c))
	require.NoError(t, to.Restore(c))
	require.Equal(t, from.Offset(), to.Offset())
}

// TestReapplyingRecordsChangesNothing checks that records at offsets already applied
// are ignored.
func TestReapplyingRecordsChangesNothing(t *testing.T) {
	for name, m := range machines {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				records := drawStream(t, m.draw)
				reader := m.make()
				for i, r := range records {
					reader.Apply(infra.Offset(i+1), r)
				}
				before := encodeState(t, reader)
				for i, r := range records {
					reader.Apply(infra.Offset(i+1), r)
				}
				require.Equal(t, before, encodeState(t, reader))
			})
		})
	}
}

// TestAcceptedVersionNeverReverts checks that a file in force changes only by an
// accepting verdict, and only to the content of a later change.
func TestAcceptedVersionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewConfig()
		before := map[string]*File{}
		for i, r := range drawStream(t, drawConfig) {
			c.Apply(infra.Offset(i+1), r)
			for _, f := range c.Files() {
				old := before[f.Name]
				if old == f {
					continue
				}
				require.True(t, r.GetConfigVerdict().GetAccepted())
				require.Equal(t, uint64(f.Offset), r.GetConfigVerdict().GetChange())
				if old != nil {
					require.Greater(t, f.Offset, old.Offset)
				}
				before[f.Name] = f
			}
			require.Len(t, c.Files(), len(before), "no file disappears")
		}
	})
}

// TestAssignmentsNeverOvercommit checks that a server's assigned and lingering items
// fit its memory after every record.
func TestAssignmentsNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewControl()
		for i, r := range drawStream(t, drawControl) {
			c.Apply(infra.Offset(i+1), r)
			for _, s := range c.View().Servers {
				require.True(t, Fits(s.MemoryMiB, s.Assigned, s.Lingering), "%+v", s)
				for _, ready := range s.Ready {
					require.Contains(t, s.Assigned, ready)
				}
				for _, l := range s.Lingering {
					again := func(i infra.Item) bool { return i.Key() == l.Key() }
					require.False(t, slices.ContainsFunc(s.Assigned, again))
				}
			}
		}
	})
}

// TestOneLeaseAtATime checks that a claim that takes effect names the state of the
// lease right before it.
func TestOneLeaseAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewControl()
		for i, r := range drawStream(t, drawControl) {
			before := c.Lease()
			c.Apply(infra.Offset(i+1), r)
			if after := c.Lease(); after.ID != before.ID {
				require.Equal(t, uint64(before.ID), r.GetLeaseClaim().GetPrevious())
				require.Equal(t, uint64(before.Renewed), r.GetLeaseClaim().GetLastSeen())
			}
		}
	})
}

func drawClaims(t *rapid.T, offset uint64) *record.Record {
	key := rapid.ByteRange(0, 3).Draw(t, "key")
	attempt := fmt.Sprint(rapid.Uint64Range(1, offset).Draw(t, "attempt"))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return claimExpiry(drawOffset(t, offset))
	case 1, 2:
		return claimResult(key, attempt, rapid.SampledFrom([]record.ClaimResult_Outcome{record.ClaimResult_NOT_RUN, record.ClaimResult_COMPLETE}).Draw(t, "outcome"))
	}
	return claimRecord(key, fmt.Sprint(offset))
}

// TestAtMostOneClaimRunsWithinWindow checks that a reader grants a claim on a key
// only after the claim granted before has expired or reported that its request
// did not run.
func TestAtMostOneClaimRunsWithinWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawStream(t, drawClaims)
		c := NewClaims(1)
		running := map[ClaimKey]KeyClaim{}
		for i, r := range records {
			c.Apply(infra.Offset(i+1), r)
			for key, granted := range running {
				result := r.GetClaimResult()
				if granted.Offset < c.ExpiredBefore() || result.GetAttempt() == granted.Attempt && result.GetOutcome() == record.ClaimResult_NOT_RUN {
					delete(running, key)
				}
			}
			key, _ := parseClaimKey(r.GetClaim().GetKey())
			s, found := c.Standing(key)
			if r.GetClaim() == nil || !found || s.Offset != infra.Offset(i+1) {
				continue
			}
			require.NotContains(t, running, key)
			running[key] = s
		}
	})
}

// TestClaimReadersAgreeOnceComplete checks that a reader that started at any offset
// grants the same claims as one that read the whole stream, once it is complete.
func TestClaimReadersAgreeOnceComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawStream(t, drawClaims)
		from := rapid.IntRange(0, len(records)-1).Draw(t, "from")
		whole, late := NewClaims(1), NewClaims(infra.Offset(from+1))
		for i, r := range records {
			whole.Apply(infra.Offset(i+1), r)
			if i >= from {
				late.Apply(infra.Offset(i+1), r)
			}
			if !late.Complete() {
				continue
			}
			for key := range byte(4) {
				want, wantOK := whole.Standing(ClaimKey{key})
				got, gotOK := late.Standing(ClaimKey{key})
				require.Equal(t, wantOK, gotOK)
				require.Equal(t, want, got)
			}
		}
	})
}
