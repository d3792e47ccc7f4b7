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

func TestFollowerSeesWhatAWriterAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, b := newNode(t, log, "a", nil), newNode(t, log, "b", nil)
		offset := a.put(t, change("x.toml", "", 0))
		a.put(t, accept(offset))
		b.await(t, 2)
		require.Equal(t, "x.toml", b.follower.View().Files[0].Name)
		require.True(t, b.follower.Status().CaughtUp)
	})
}

// TestSlowLog: a log that takes two seconds for each call costs time, not records.
func TestSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, b := newNode(t, log, "a", nil), newNode(t, log, "b", nil)
		for _, n := range []*node{a, b} {
			n.client.Set(logtest.Faults{Delay: time.Second})
		}
		for i := range 5 {
			a.put(t, change(fmt.Sprintf("%d.toml", i), "", 0))
		}
		b.await(t, 5)
		require.Len(t, b.follower.View().Pending, 5)
	})
}

// peerState answers with another follower's checkpoint, as the peer package does.
type peerState struct{ of *node }

func (p peerState) State(_ context.Context, _ string, atLeast infra.Offset) (*record.Checkpoint, error) {
	c := p.of.follower.Checkpoint()
	if c == nil || infra.Offset(c.GetCovers()) < atLeast {
		return nil, &NoStateError{Stream: infra.StreamConfig, AtLeast: atLeast}
	}
	return c, nil
}

func TestLogDownAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.put(t, accept(a.put(t, change("x.toml", "", 0))))
		a.await(t, 2)
		a.client.Set(logtest.Faults{Down: true})
		b := newNode(t, log, "b", peerState{a})
		b.client.Set(logtest.Faults{Down: true})
		began := time.Now()
		b.await(t, 2)
		require.Less(t, time.Since(began), 5*time.Second)
		require.Equal(t, "x.toml", b.follower.View().Files[0].Name)
		require.True(t, b.follower.Status().FromPeer)
		require.False(t, b.follower.Status().CaughtUp)
		a.client.Set(logtest.Faults{})
		b.client.Set(logtest.Faults{})
		a.put(t, change("y.toml", "", 0))
		b.await(t, 3)
		require.False(t, b.follower.Status().FromPeer)
	})
}

// TestCutOffFromTheLogOnly: an instance that reaches its peers but not the log
// learns of a change from them.
func TestCutOffFromTheLogOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.put(t, change("x.toml", "", 0))
		b := newNode(t, log, "b", peerState{a})
		b.await(t, 1)
		b.client.Set(logtest.Faults{Down: true})
		a.put(t, accept(1))
		began := time.Now()
		b.await(t, 2)
		require.Len(t, b.follower.View().Files, 1)
		t.Logf("seen through a peer after %v", time.Since(began))
	})
}

// TestRecordsAgedOut: a newcomer starts at a checkpoint when the first records
// are gone, and one that would leave a gap isn't taken.
func TestRecordsAgedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.checkpoint("a")
		for i := range 4 {
			a.put(t, accept(a.put(t, change(fmt.Sprintf("%d.toml", i), "", 0))))
		}
		time.Sleep(2 * DefaultCheckpointAge)
		last := log.Records(infra.StreamConfig)
		require.Greater(t, len(last), 8)
		a.await(t, a.put(t, change("late.toml", "", 0)))
		log.Trim(infra.StreamConfig, 9)
		b := newNode(t, log, "b", nil)
		b.await(t, a.follower.Status().Offset)
		require.Equal(t, a.follower.View().Files, b.follower.View().Files)
		require.Len(t, b.follower.View().Pending, 1)
	})
}

func TestGapIsNotJumped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		for i := range 4 {
			a.put(t, change(fmt.Sprintf("%d.toml", i), "", 0))
		}
		a.await(t, 4)
		checkpoint := a.follower.Checkpoint()
		a.put(t, change("more.toml", "", 0), change("more.toml", "", 0))
		a.put(t, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: checkpoint}})
		a.await(t, 7)
		log.Trim(infra.StreamConfig, 6)
		b := newNode(t, log, "b", nil)
		time.Sleep(time.Minute)
		require.Nil(t, b.follower.View(), "the checkpoint covers 4 and record 5 is gone")
		c := newNode(t, log, "c", peerState{a})
		c.await(t, 7)
		require.Len(t, c.follower.View().Pending, 6)
	})
}

// TestStartOnAnEmptiedStream: where everything aged out and nothing is written,
// a follower from the oldest record knows at once that it has read it all.
func TestStartOnAnEmptiedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.put(t, change("x.toml", "", 0))
		log.Trim(infra.StreamConfig, 2)
		f := NewFollower(FollowerOptions[replay.ConfigView]{
			Log: log.Client(), Stream: infra.StreamConfig, FromOldest: true, Logger: quiet(),
			New: func(infra.Offset) State[replay.ConfigView] { return replay.NewConfig() },
		})
		a.start(f.Run)
		synctest.Wait()
		require.True(t, f.Status().CaughtUp)
		require.NotNil(t, f.View())
	})
}

// TestReaderThatFellBehind keeps its view until it can go forward.
func TestReaderThatFellBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, b := newNode(t, log, "a", nil), newNode(t, log, "b", nil)
		a.put(t, change("x.toml", "", 0))
		b.await(t, 1)
		b.client.Set(logtest.Faults{Down: true})
		time.Sleep(30 * time.Second)
		a.put(t, accept(1), change("y.toml", "", 0))
		a.await(t, 3)
		checkpoint := a.follower.Checkpoint()
		log.Trim(infra.StreamConfig, 4)
		b.client.Set(logtest.Faults{})
		time.Sleep(30 * time.Second)
		require.EqualValues(t, 1, b.follower.View().Offset)
		a.put(t, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: checkpoint}})
		b.await(t, 4)
		require.Len(t, b.follower.View().Files, 1)
	})
}

// TestIdleStreamKeepsItsCheckpoint: the checkpoint itself ages out, so it is
// written again even if nothing changes, by another instance if need be.
func TestIdleStreamKeepsItsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		var nodes []*node
		for _, id := range []string{"a", "b", "c"} {
			n := newNode(t, log, id, nil)
			n.checkpoint("a", "b", "c", "dead-1", "dead-2", "dead-3", "dead-4")
			nodes = append(nodes, n)
		}
		nodes[0].put(t, accept(nodes[0].put(t, change("x.toml", "", 0))))
		for range 24 {
			before := log.Appends()
			time.Sleep(MinRetention / 4)
			require.Greater(t, log.Appends(), before, "a record aged out with no newer checkpoint")
			require.LessOrEqual(t, log.Appends(), before+3)
		}
	})
}

// TestSpacingBoundsReads: on a busy stream reads keep their mean distance, and
// after a quiet time the first ones have none.
func TestSpacingBoundsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, client := newNode(t, log, "a", nil), log.Client()
		slow := NewFollower(FollowerOptions[replay.ConfigView]{
			Log: client, Stream: infra.StreamConfig, Spacing: 6 * time.Second, Logger: quiet(),
			New: func(infra.Offset) State[replay.ConfigView] { return replay.NewConfig() },
		})
		a.start(slow.Run)
		for i := range spacingBurst {
			offset := a.put(t, change(fmt.Sprintf("%d.toml", i), "", 0))
			synctest.Wait()
			require.Equal(t, offset, slow.Status().Offset, "not held up")
		}
		before := client.Reads()
		for range 600 {
			a.put(t, change("x.toml", "", 0))
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 10, client.Reads()-before, 2)
	})
}

func TestUnknownRecordsAreCountedAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		_, err := a.client.Append(t.Context(), infra.StreamConfig, [][]byte{{0xff, 0xff}, {0xc2, 0x3e, 0x01, 'x'}})
		require.NoError(t, err)
		a.put(t, change("x.toml", "", 0))
		a.await(t, 3)
		require.EqualValues(t, 1, a.follower.Status().Unknown)
		require.Len(t, a.follower.View().Pending, 1)
	})
}

func TestWaitForSaysHowFarItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newNode(t, logtest.New(), "a", nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var behind *BehindError
		require.ErrorAs(t, a.follower.WaitFor(ctx, 1), &behind)
		require.True(t, errors.Is(behind, context.DeadlineExceeded))
	})
}
