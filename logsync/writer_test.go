package logsync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/logsync/logtest"
)

func TestConcurrentAppendsShareOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.client.Set(logtest.Faults{Delay: 100 * time.Millisecond})
		offsets := make(chan infra.Offset, 50)
		for i := range 50 {
			go func() {
				offset, _ := a.writer.Append(t.Context(), infra.StreamConfig, change(fmt.Sprint(i), "", 0))
				offsets <- offset
			}()
		}
		seen := map[infra.Offset]bool{}
		for range 50 {
			seen[<-offsets] = true
		}
		require.Len(t, seen, 50)
		require.False(t, seen[0])
		require.LessOrEqual(t, log.Appends(), 2)
		for i, r := range decoded(t, log) {
			require.EqualValues(t, i+1, r.GetSequence())
		}
	})
}

// TestLostAppends: an append whose request or answer is lost is on the log
// once as far as any reader can tell, and the writer knows where.
func TestLostAppends(t *testing.T) {
	cases := map[string]logtest.Faults{
		"answers lost":  {LoseAnswers: 3},
		"requests lost": {LoseRequests: 3},
		"requests late": {LateRequests: 2, Late: 90 * time.Millisecond},
		"far too late":  {LateRequests: 2, Late: time.Minute},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logtest.New()
				a, b := newNode(t, log, "a", nil), newNode(t, log, "b", nil)
				a.put(t, change("first.toml", "", 0))
				a.client.Set(faults)
				offset := a.put(t, change("second.toml", "", 0))
				time.Sleep(2 * time.Minute)
				pending := b.follower.View().Pending
				require.Len(t, pending, 2)
				require.Equal(t, offset, pending[1].Offset)
			})
		})
	}
}

// TestWriterWithoutLookBeforeResend shows that the check above bites: sending
// again under a new sequence, as a writer without ids would, counts twice.
func TestWriterWithoutLookBeforeResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a, b := newNode(t, log, "a", nil), newNode(t, log, "b", nil)
		a.client.Set(logtest.Faults{LoseAnswers: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := a.writer.Append(ctx, infra.StreamConfig, change("x.toml", "", 0))
		require.Equal(t, infra.EffectUnknown, effectOf(t, err))
		a.put(t, change("x.toml", "", 0))
		time.Sleep(time.Second)
		require.Len(t, b.follower.View().Pending, 2)
	})
}

func TestOutageIsRefusedAsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.client.Set(logtest.Faults{Down: true})
		began := time.Now()
		_, err := a.writer.Append(t.Context(), infra.StreamConfig, change("x.toml", "", 0))
		require.Equal(t, infra.EffectNone, effectOf(t, err))
		require.Less(t, time.Since(began), time.Second)
		began = time.Now()
		_, err = a.writer.Append(t.Context(), infra.StreamConfig, change("x.toml", "", 0))
		require.Equal(t, infra.EffectNone, effectOf(t, err))
		require.Zero(t, time.Since(began), "known to be out: refused at once")
		a.client.Set(logtest.Faults{})
		time.Sleep(maxBackoff)
		require.EqualValues(t, 1, a.put(t, change("x.toml", "", 0)))
	})
}

func TestCallerThatLeavesBeforeItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		a := newNode(t, log, "a", nil)
		a.client.Set(logtest.Faults{Delay: time.Second})
		go func() { _, _ = a.writer.Append(t.Context(), infra.StreamConfig, change("x.toml", "", 0)) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := a.writer.Append(ctx, infra.StreamConfig, change("y.toml", "", 0))
		require.Equal(t, infra.EffectNone, effectOf(t, err))
		time.Sleep(10 * time.Second)
		require.Len(t, log.Records(infra.StreamConfig), 1)
	})
}

func TestShareAddsUpToTheTotal(t *testing.T) {
	const instances, streams = 370, 25
	share := Share{
		Live:    func() int { return instances },
		Streams: func() int { return streams },
		Leads:   func(stream string) bool { return stream == "claims/1" },
	}
	led, _ := share.Rate("claims/1")
	own, _ := share.Rate(infra.StreamConfig)
	other, _ := share.Rate("claims/2")
	require.InDelta(t, DefaultTotal, led*streams+own*instances, 1e-6)
	require.Equal(t, own, other)
}
