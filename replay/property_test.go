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

// stream draws a stream's records: bodies of the generator, by three writers,
// some of them repeated later, and some that no machine knows.
func stream(t *rapid.T, body func(t *rapid.T, offset uint64) *record.Record) []*record.Record {
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

func drawConfig(t *rapid.T, offset uint64) *record.Record {
	file := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "file")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		return change(file, fmt.Sprint(offset), drawOffset(t, offset))
	case 2:
		return &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{File: file, Removed: true}}}
	case 3:
		return renewal(1)
	}
	return judged(drawOffset(t, offset), rapid.Bool().Draw(t, "accepted"))
}

func drawItems(t *rapid.T) []infra.Item {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 3, rapid.ID[string]).Draw(t, "models")
	var out []infra.Item
	for _, name := range names {
		out = append(out, model(name, rapid.Int64Range(0, 6).Draw(t, "mib")))
	}
	return out
}

func drawControl(t *rapid.T, offset uint64) *record.Record {
	lease := rapid.SampledFrom([]uint64{0, 1, 1, 1, drawOffset(t, offset)}).Draw(t, "lease")
	server := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "server")
	who := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "instance")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return claimLease(who, lease, drawOffset(t, offset))
	case 1:
		return renewal(lease)
	case 2:
		return release(drawOffset(t, offset))
	case 3:
		return &record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: who}}}
	case 4:
		return &record.Record{Body: &record.Record_OrdererLeave{OrdererLeave: &record.OrdererLeave{Instance: who}}}
	case 5:
		return removal(lease, server, drawOffset(t, offset), drawItems(t)...)
	case 6:
		return readiness(lease, server, who, drawItems(t)...)
	}
	return assignment(lease, server, rapid.Int64Range(0, 10).Draw(t, "memory"), drawItems(t)...)
}

func drawQuarantine(t *rapid.T, offset uint64) *record.Record {
	f := rapid.ByteRange(0, 3).Draw(t, "fingerprint")
	server := rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "server")
	r := crashOn(f, server, rapid.StringMatching("[0-9]").Draw(t, "boot"), instant(offset))
	return r
}

// machines are those that have checkpoints.
var machines = map[string]struct {
	make func() Machine
	draw func(t *rapid.T, offset uint64) *record.Record
}{
	"config":     {func() Machine { return NewConfig() }, drawConfig},
	"control":    {func() Machine { return NewControl() }, drawControl},
	"quarantine": {func() Machine { return NewQuarantine() }, drawQuarantine},
}

// encoded returns the whole state as bytes.
func encoded(t require.TestingT, m Machine) string {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Checkpoint())
	require.NoError(t, err)
	return string(b)
}

// TestReadersAgree: a reader that starts from any checkpoint, sent over the
// wire, and one that read everything have the same state after each record.
func TestReadersAgree(t *testing.T) {
	for name, m := range machines {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				records := stream(t, m.draw)
				from := rapid.IntRange(0, len(records)).Draw(t, "checkpoint")
				whole, restarted := m.make(), m.make()
				for i, r := range records {
					if i == from {
						restart(t, whole, restarted)
					}
					whole.Apply(infra.Offset(i+1), r)
					if i >= from {
						restarted.Apply(infra.Offset(i+1), r)
						require.Equal(t, encoded(t, whole), encoded(t, restarted), "after %d", i+1)
					}
				}
			})
		})
	}
}

func restart(t *rapid.T, from, to Machine) {
	c := &record.Checkpoint{}
	require.NoError(t, proto.Unmarshal([]byte(encoded(t, from)), c))
	require.NoError(t, to.Restore(c))
	require.Equal(t, from.Offset(), to.Offset())
}

// TestApplyingAgainChangesNothing: records that are read twice are ignored.
func TestApplyingAgainChangesNothing(t *testing.T) {
	for name, m := range machines {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				records := stream(t, m.draw)
				reader := m.make()
				for i, r := range records {
					reader.Apply(infra.Offset(i+1), r)
				}
				before := encoded(t, reader)
				for i, r := range records {
					reader.Apply(infra.Offset(i+1), r)
				}
				require.Equal(t, before, encoded(t, reader))
			})
		})
	}
}

// TestAcceptedVersionNeverReverts: a file in force changes only by a verdict
// that accepts, and only to the content of a later change than before.
func TestAcceptedVersionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewConfig()
		before := map[string]*File{}
		for i, r := range stream(t, drawConfig) {
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
			require.Len(t, c.Files(), len(before), "no file is lost")
		}
	})
}

// TestAssignmentsNeverOvercommit: what a server may hold by the log fits its
// memory after every record.
func TestAssignmentsNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewControl()
		for i, r := range stream(t, drawControl) {
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

// TestOneLeaseAtATime: an effective claim names the state before it.
func TestOneLeaseAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewControl()
		for i, r := range stream(t, drawControl) {
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
		return expiry(drawOffset(t, offset))
	case 1, 2:
		return resultOf(key, attempt, rapid.SampledFrom([]record.ClaimResult_Outcome{record.ClaimResult_NOT_RUN, record.ClaimResult_COMPLETE}).Draw(t, "outcome"))
	}
	return claimOf(key, fmt.Sprint(offset))
}

// TestNoTwoClaimsRunWithinAWindow: of the claims that a reader grants on a key
// as it reads them, a later one comes only after the earlier was expired, or
// said that it did not run.
func TestNoTwoClaimsRunWithinAWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := stream(t, drawClaims)
		c := NewClaims(1)
		running := map[ClaimKey]Claimed{}
		for i, r := range records {
			c.Apply(infra.Offset(i+1), r)
			for key, granted := range running {
				said := r.GetClaimResult()
				if granted.Offset < c.Expired() || said.GetAttempt() == granted.Attempt && said.GetOutcome() == record.ClaimResult_NOT_RUN {
					delete(running, key)
				}
			}
			key, _ := claimKeyOf(r.GetClaim().GetKey())
			s, stands := c.Standing(key)
			if r.GetClaim() == nil || !stands || s.Offset != infra.Offset(i+1) {
				continue
			}
			require.NotContains(t, running, key)
			running[key] = s
		}
	})
}

// TestClaimReadersAgreeOnceComplete: a reader that began anywhere grants what
// one that read everything grants, as soon as it says that it is complete.
func TestClaimReadersAgreeOnceComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := stream(t, drawClaims)
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
