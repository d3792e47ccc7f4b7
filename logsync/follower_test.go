package logsync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/logsync/logtest"
	"greengageferry/record"
	"greengageferry/replay"
)

func TestFollowerReadsAppendedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, b := newNode(t, log, "a", nil), newNode(t, log, "b", nil)
		offset := a.appendRecords(t, configChange("x.toml", "", 0))
		a.appendRecords(t, acceptVerdict(offset))
		b.waitForOffset(t, 2)
		require.Equal(t, "x.toml", b.follower.View().Files[0].Name)
		require.True(t, b.follower.Status().CaughtUp)
	})
}

// TestSlowLog: no record is lost when each call to the log takes two seconds.
func TestSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, b := newNode(t, log, "a", nil), newNode(t, log, "b", nil)
		for _, n := range []*node{a, b} {
			n.client.SetFaults(logtest.Faults{Delay: time.Second})
		}
		for i := range 5 {
			a.appendRecords(t, configChange(fmt.Sprintf("%d.toml", i), "", 0))
		}
		b.waitForOffset(t, 5)
		require.Len(t, b.follower.View().Pending, 5)
	})
}

// peerState returns the checkpoint of another node, as package peer does.
type peerState struct{ source *node }

func (p peerState) State(_ context.Context, _ string, atLeast infra.Offset) (*record.Checkpoint, error) {
	c := p.source.follower.Checkpoint()
	if c == nil || infra.Offset(c.GetCovers()) < atLeast {
		return nil, &NoStateError{Stream: infra.StreamConfig, AtLeast: atLeast}
	}
	return c, nil
}

func TestLogDownAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.appendRecords(t, acceptVerdict(a.appendRecords(t, configChange("x.toml", "", 0))))
		a.waitForOffset(t, 2)
		a.client.SetFaults(logtest.Faults{Down: true})
		b := newNode(t, log, "b", peerState{a})
		b.client.SetFaults(logtest.Faults{Down: true})
		began := time.Now()
		b.waitForOffset(t, 2)
		require.Less(t, time.Since(began), 5*time.Second)
		require.Equal(t, "x.toml", b.follower.View().Files[0].Name)
		require.True(t, b.follower.Status().FromPeer)
		require.False(t, b.follower.Status().CaughtUp)
		a.client.SetFaults(logtest.Faults{})
		b.client.SetFaults(logtest.Faults{})
		a.appendRecords(t, configChange("y.toml", "", 0))
		b.waitForOffset(t, 3)
		require.False(t, b.follower.Status().FromPeer)
	})
}

// TestFollowerReadsPeersWhileLogIsUnreachable: an instance that reaches its peers
// but not the log gets new records through the state of a peer.
func TestFollowerReadsPeersWhileLogIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.appendRecords(t, configChange("x.toml", "", 0))
		b := newNode(t, log, "b", peerState{a})
		b.waitForOffset(t, 1)
		b.client.SetFaults(logtest.Faults{Down: true})
		a.appendRecords(t, acceptVerdict(1))
		began := time.Now()
		b.waitForOffset(t, 2)
		require.Len(t, b.follower.View().Files, 1)
		t.Logf("applied through a peer after %v", time.Since(began))
	})
}

// TestNewFollowerStartsFromCheckpoint: a new follower starts from a checkpoint if
// the first records have aged out.
func TestNewFollowerStartsFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.runCheckpointer("a")
		for i := range 4 {
			a.appendRecords(t, acceptVerdict(a.appendRecords(t, configChange(fmt.Sprintf("%d.toml", i), "", 0))))
		}
		time.Sleep(2 * DefaultCheckpointAge)
		last := log.Records(infra.StreamConfig)
		require.Greater(t, len(last), 8)
		a.waitForOffset(t, a.appendRecords(t, configChange("late.toml", "", 0)))
		log.Trim(infra.StreamConfig, 9)
		b := newNode(t, log, "b", nil)
		b.waitForOffset(t, a.follower.Status().Offset)
		require.Equal(t, a.follower.View().Files, b.follower.View().Files)
		require.Len(t, b.follower.View().Pending, 1)
	})
}

func TestCheckpointThatLeavesAGapIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		for i := range 4 {
			a.appendRecords(t, configChange(fmt.Sprintf("%d.toml", i), "", 0))
		}
		a.waitForOffset(t, 4)
		checkpoint := a.follower.Checkpoint()
		a.appendRecords(t, configChange("more.toml", "", 0), configChange("more.toml", "", 0))
		a.appendRecords(t, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: checkpoint}})
		a.waitForOffset(t, 7)
		log.Trim(infra.StreamConfig, 6)
		b := newNode(t, log, "b", nil)
		time.Sleep(time.Minute)
		require.Nil(t, b.follower.View(), "the checkpoint covers 4 and record 5 is gone")
		c := newNode(t, log, "c", peerState{a})
		c.waitForOffset(t, 7)
		require.Len(t, c.follower.View().Pending, 6)
	})
}

// TestStartOnFullyTrimmedStream: if all records have aged out and none follow, a
// follower with FromOldest is caught up at once.
func TestStartOnFullyTrimmedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.appendRecords(t, configChange("x.toml", "", 0))
		log.Trim(infra.StreamConfig, 2)
		f := NewFollower(FollowerOptions[replay.ConfigView]{
			Log: log.Client(), Stream: infra.StreamConfig, FromOldest: true, Logger: discardLogger(),
			New: func(infra.Offset) ViewMachine[replay.ConfigView] { return replay.NewConfig() },
		})
		a.start(f.Run)
		synctest.Wait()
		require.True(t, f.Status().CaughtUp)
		require.NotNil(t, f.View())
	})
}

// TestFollowerKeepsViewUntilGapIsCovered: a follower whose next records have aged
// out keeps its view until a checkpoint covers the gap.
func TestFollowerKeepsViewUntilGapIsCovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, b := newNode(t, log, "a", nil), newNode(t, log, "b", nil)
		a.appendRecords(t, configChange("x.toml", "", 0))
		b.waitForOffset(t, 1)
		b.client.SetFaults(logtest.Faults{Down: true})
		time.Sleep(30 * time.Second)
		a.appendRecords(t, acceptVerdict(1), configChange("y.toml", "", 0))
		a.waitForOffset(t, 3)
		checkpoint := a.follower.Checkpoint()
		log.Trim(infra.StreamConfig, 4)
		b.client.SetFaults(logtest.Faults{})
		time.Sleep(30 * time.Second)
		require.EqualValues(t, 1, b.follower.View().Offset)
		a.appendRecords(t, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: checkpoint}})
		b.waitForOffset(t, 4)
		require.Len(t, b.follower.View().Files, 1)
	})
}

// TestCheckpointIsRenewedOnIdleStream: checkpoints age out as well, so a new one is
// written even if nothing changes, by another instance if the first ones are down.
func TestCheckpointIsRenewedOnIdleStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		var nodes []*node
		for _, id := range []string{"a", "b", "c"} {
			n := newNode(t, log, id, nil)
			n.runCheckpointer("a", "b", "c", "dead-1", "dead-2", "dead-3", "dead-4")
			nodes = append(nodes, n)
		}
		nodes[0].appendRecords(t, acceptVerdict(nodes[0].appendRecords(t, configChange("x.toml", "", 0))))
		for range 24 {
			before := log.Appends()
			time.Sleep(MinRetention / 4)
			require.Greater(t, log.Appends(), before, "no checkpoint within a quarter of the retention")
			require.LessOrEqual(t, log.Appends(), before+3)
		}
	})
}

// TestReadIntervalBoundsReads: reads of a busy stream keep the mean interval, and
// the first ones after an idle period are not delayed.
func TestReadIntervalBoundsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, client := newNode(t, log, "a", nil), log.Client()
		slow := NewFollower(FollowerOptions[replay.ConfigView]{
			Log: client, Stream: infra.StreamConfig, ReadInterval: 6 * time.Second, Logger: discardLogger(),
			New: func(infra.Offset) ViewMachine[replay.ConfigView] { return replay.NewConfig() },
		})
		a.start(slow.Run)
		for i := range readBurst {
			offset := a.appendRecords(t, configChange(fmt.Sprintf("%d.toml", i), "", 0))
			synctest.Wait()
			require.Equal(t, offset, slow.Status().Offset, "the first reads are not delayed")
		}
		before := client.Reads()
		for range 600 {
			a.appendRecords(t, configChange("x.toml", "", 0))
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 10, client.Reads()-before, 2)
	})
}

// TestUndecodableRecordsAreCounted: a record that can't be decoded is counted, and one
// that has only an unknown field is not. Both advance the offset.
func TestUndecodableRecordsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		_, err := a.client.Append(t.Context(), infra.StreamConfig, [][]byte{{0xff, 0xff}, {0xc2, 0x3e, 0x01, 'x'}})
		require.NoError(t, err)
		a.appendRecords(t, configChange("x.toml", "", 0))
		a.waitForOffset(t, 3)
		require.EqualValues(t, 1, a.follower.Status().Undecoded)
		require.Len(t, a.follower.View().Pending, 1)
	})
}

func TestWaitForReturnsBehindError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newNode(t, logtest.New(), "a", nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var behind *BehindError
		require.ErrorAs(t, a.follower.WaitFor(ctx, 1), &behind)
		require.True(t, errors.Is(behind, context.DeadlineExceeded))
	})
}
