package logsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/logsync/logtest"
	"greengageferry/record"
	"greengageferry/replay"
)

// inForceWithin is the guaranteed time from the acceptance of a change until it is
// in force on all instances.
const inForceWithin = 8 * time.Second

// startJudges returns a node with a running judge for each id.
func startJudges(t *testing.T, log *logtest.Log, ids ...string) []*node {
	var nodes []*node
	for _, id := range ids {
		n := newNode(t, log, id, nil)
		n.runJudge(ids...)
		nodes = append(nodes, n)
	}
	return nodes
}

// waitForVerdict waits until the change at the offset has its verdict, and returns
// the view at that time.
func (n *node) waitForVerdict(t *testing.T, offset infra.Offset) *replay.ConfigView {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
	defer cancel()
	for {
		changed := n.follower.Changed()
		if v := n.follower.View(); v != nil && v.Offset >= offset && (len(v.Pending) == 0 || v.Pending[0].Offset > offset) {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			require.FailNow(t, "no verdict within ten minutes")
		}
	}
}

func TestChangeIsInForceEverywhereWithinDeadline(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 250 * time.Millisecond, time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logtest.New()
				var ids []string
				for i := range 18 {
					ids = append(ids, fmt.Sprintf("n%d", i))
				}
				nodes := startJudges(t, log, ids...)
				for _, n := range nodes {
					n.client.SetFaults(logtest.Faults{Delay: delay})
				}
				time.Sleep(5*time.Second + 7*time.Millisecond)
				proposed := time.Now()
				offset := nodes[0].appendRecords(t, configChange("x.toml", "", 0))
				for len(log.Records(infra.StreamConfig)) < 2 {
					time.Sleep(time.Millisecond)
				}
				accepted := time.Now()
				for _, n := range nodes {
					require.Len(t, n.waitForVerdict(t, offset).Files, 1)
				}
				t.Logf("delay %v each way: accepted %v after publishing, in force on all 18 after %v more",
					delay, accepted.Sub(proposed), time.Since(accepted))
				require.Less(t, time.Since(accepted), inForceWithin)
			})
		})
	}
}

// TestJudgeTakesOverFromDeadInstances: changes get a verdict within three takeover
// delays even if two of three instances are down.
func TestJudgeTakesOverFromDeadInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		n := newNode(t, log, "alive", nil)
		n.runJudge("alive", "dead-1", "dead-2")
		for i := range 5 {
			began := time.Now()
			offset := n.appendRecords(t, configChange(fmt.Sprintf("%d.toml", i), "", 0))
			require.Len(t, n.waitForVerdict(t, offset).Files, i+1)
			require.LessOrEqual(t, time.Since(began), 3*judgeTakeoverDelay)
		}
	})
}

// TestDisconnectedDomainCatchesUpAfterPublish: an instance that can't reach the log
// during a change keeps the earlier version in force, and has the new version in
// force within seconds of its reconnection.
func TestDisconnectedDomainCatchesUpAfterPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		nodes := startJudges(t, log, "a", "b", "c")
		first := nodes[0].appendRecords(t, configChange("x.toml", "", 0))
		for _, n := range nodes {
			n.waitForVerdict(t, first)
		}
		disconnected := nodes[2]
		disconnected.client.SetFaults(logtest.Faults{Down: true})
		second := nodes[0].appendRecords(t, configChange("x.toml", "# new", first))
		nodes[0].waitForVerdict(t, second)
		time.Sleep(time.Hour / 2)
		require.Equal(t, first, disconnected.follower.View().Base("x.toml"))
		disconnected.client.SetFaults(logtest.Faults{})
		reconnected := time.Now()
		require.Equal(t, second, disconnected.waitForVerdict(t, second).Base("x.toml"))
		require.Less(t, time.Since(reconnected), inForceWithin)
		t.Logf("in force %v after reconnection", time.Since(reconnected))
	})
}

// edit is the input of one operation in the history: a change to a file, based on
// the version at the offset base.
type edit struct{ base, offset infra.Offset }

// fileModel is the sequential specification of a file: an edit is accepted if and
// only if its base is the version in force.
var fileModel = porcupine.Model{
	Init: func() any { return infra.Offset(0) },
	Step: func(state, input, output any) (bool, any) {
		in, accepted := input.(edit), output.(bool)
		if accepted {
			return state == in.base, in.offset
		}
		return state != in.base, state
	},
}

// raceEdits runs concurrent editors of one file, spread over the nodes, and returns
// the history. Each edit is based on the version in force at the editor's node.
func raceEdits(t *testing.T, nodes []*node, seed uint64) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, 3))
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	for editor := range 6 {
		n := nodes[editor%len(nodes)]
		pause := time.Duration(rng.IntN(500)) * time.Millisecond
		wait.Go(func() {
			for range 6 {
				time.Sleep(pause)
				call := time.Now()
				base := infra.Offset(0)
				if v := n.follower.View(); v != nil {
					base = v.Base("x.toml")
				}
				offset := n.appendRecords(t, configChange("x.toml", fmt.Sprintf("# %d", editor), base))
				accepted := wasAccepted(t, n, offset)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: editor, Input: edit{base, offset}, Output: accepted,
					Call: int64(call.Sub(began)), Return: int64(time.Since(began)),
				})
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return history
}

// wasAccepted reports whether the change at the offset came into force at any point
// of the log. It replays the log up to the present.
func wasAccepted(t *testing.T, n *node, offset infra.Offset) bool {
	n.waitForVerdict(t, offset)
	m := replay.NewConfig()
	batch, err := n.client.Read(t.Context(), infra.StreamConfig, 1, 1<<20, 0)
	require.NoError(t, err)
	for _, r := range batch.Records {
		m.Apply(r.Offset, mustDecode(t, r))
		if m.Base("x.toml") == offset {
			return true
		}
	}
	return false
}

func TestRacingEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			nodes := startJudges(t, logtest.New(), "a", "b", "c")
			for i, n := range nodes {
				n.client.SetFaults(logtest.Faults{Delay: time.Duration(i*40) * time.Millisecond, LoseAnswers: i})
			}
			history := raceEdits(t, nodes, seed)
			require.True(t, porcupine.CheckOperations(fileModel, history))
			accepted := 0
			for _, o := range history {
				if o.Output.(bool) {
					accepted++
				}
			}
			require.Greater(t, accepted, 0)
			require.Less(t, accepted, len(history), "all edits were accepted: no two were concurrent")
		})
	}
}

// TestLinearizabilityCheckDetectsIgnoredBase: the check of the history fails if a
// judge accepts changes without regard to their base.
func TestLinearizabilityCheckDetectsIgnoredBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		var nodes []*node
		for _, id := range []string{"a", "b", "c"} {
			nodes = append(nodes, newNode(t, log, id, nil))
		}
		nodes[0].start(func(ctx context.Context) error {
			for ctx.Err() == nil {
				changed := nodes[0].follower.Changed()
				if v := nodes[0].follower.View(); v != nil && len(v.Pending) > 0 {
					_, _ = nodes[0].writer.Append(ctx, infra.StreamConfig, acceptVerdict(v.Pending[0].Offset))
				}
				awaitChange(ctx, changed, time.Second)
			}
			return nil
		})
		require.False(t, porcupine.CheckOperations(fileModel, raceEdits(t, nodes, 1)))
	})
}

// TestJudgesOfDifferentVersionsConverge: all followers have the same files in force
// even if judges of different program versions disagree.
func TestJudgesOfDifferentVersionsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		nodes := startJudges(t, log, "a", "b")
		rejecting := newNode(t, log, "stern", nil)
		rejecting.start(func(ctx context.Context) error {
			for ctx.Err() == nil {
				changed := rejecting.follower.Changed()
				if v := rejecting.follower.View(); v != nil && len(v.Pending) > 0 {
					r := &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: &record.ConfigVerdict{
						Change: uint64(v.Pending[0].Offset), Reason: "another version's rule"}}}
					_, _ = rejecting.writer.Append(ctx, infra.StreamConfig, r)
				}
				awaitChange(ctx, changed, time.Second)
			}
			return nil
		})
		nodes = append(nodes, rejecting)
		for i, n := range nodes {
			n.client.SetFaults(logtest.Faults{Delay: time.Duration(10+i*3) * time.Millisecond})
		}
		var last infra.Offset
		for i := range 30 {
			last = nodes[i%3].appendRecords(t, configChange(fmt.Sprintf("%d.toml", i), "", 0))
			nodes[(i+1)%3].waitForVerdict(t, last)
		}
		for _, n := range nodes {
			require.Equal(t, nodes[0].waitForVerdict(t, last).Files, n.waitForVerdict(t, last).Files)
		}
		verdicts, changes := 0, 0
		for _, r := range decodeRecords(t, log) {
			if r.GetConfigVerdict() != nil {
				verdicts++
			}
			if r.GetConfigChange() != nil {
				changes++
			}
		}
		require.Greater(t, verdicts, changes, "no change got two verdicts")
	})
}
