package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

func TestLogReadWaitsForRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLog(LogOptions{})
		start := time.Now()
		batch, err := log.Read(t.Context(), "s", 1, 10, time.Second)
		require.NoError(t, err)
		require.Empty(t, batch.Records)
		require.Equal(t, time.Second, time.Since(start))
		time.AfterFunc(time.Second, func() { _, _ = log.Append(context.Background(), "s", [][]byte{{1}}) })
		batch, err = log.Read(t.Context(), "s", 1, 10, time.Minute)
		require.NoError(t, err)
		require.Len(t, batch.Records, 1)
		require.Equal(t, 2*time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = log.Read(ctx, "s", 2, 10, time.Minute)
		requireError(t, err, infra.ReasonTimeout, infra.EffectNone)
	})
}

func TestLogRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLog(LogOptions{Retention: time.Hour, RetainedRecords: 3, History: true})
		for range 4 {
			_, err := log.Append(t.Context(), "s", [][]byte{{1}})
			require.NoError(t, err)
		}
		batch, err := log.Read(t.Context(), "s", 1, 10, 0)
		requireError(t, err, infra.ReasonOutOfRange, infra.EffectNone)
		require.EqualValues(t, 2, batch.Oldest)
		time.Sleep(time.Hour + 1)
		batch, err = log.Read(t.Context(), "s", 5, 10, 0)
		require.NoError(t, err)
		require.Equal(t, infra.Batch{Oldest: 5, Next: 5}, batch)
		require.Len(t, log.Truth().Records["s"], 4)
	})
}

func TestLogReadBatchLimit(t *testing.T) {
	log := NewLog(LogOptions{})
	large := make([]byte, maxReadBytes-1)
	_, err := log.Append(t.Context(), "s", [][]byte{large, large, {1}})
	require.NoError(t, err)
	batch, err := log.Read(t.Context(), "s", 1, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
	batch, err = log.Read(t.Context(), "s", 2, 1, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
}

func TestLogAppendRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLog(LogOptions{AppendsPerSecond: 100})
		start := time.Now()
		for range 225 {
			_, err := log.Append(t.Context(), "s", [][]byte{nil})
			require.NoError(t, err)
		}
		require.InDelta(t, 2, time.Since(start).Seconds(), 0.02)
	})
}

func TestLogFaults(t *testing.T) {
	log := NewLog(LogOptions{})
	log.Faults.Set(First(1, Fault{AnswerLost: true}, "log.append"))
	_, err := log.Append(t.Context(), "s", [][]byte{{1}})
	requireError(t, err, infra.ReasonUnreachable, infra.EffectUnknown)
	batch, err := log.Read(t.Context(), "s", 1, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1, "the append took effect")

	log.Faults.Set(Always(Fault{Unavailable: true}))
	_, err = log.Append(t.Context(), "s", [][]byte{{2}})
	requireError(t, err, infra.ReasonUnavailable, infra.EffectNone)
	_, err = log.Read(t.Context(), "s", 1, 10, 0)
	requireError(t, err, infra.ReasonUnavailable, infra.EffectNone)
	require.Equal(t, 1, log.Truth().Appends)
}

func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := NewInstanceList(time.Minute)
		ids := func() (ids []string) {
			seen, err := list.List(t.Context())
			require.NoError(t, err)
			for _, i := range seen {
				ids = append(ids, i.ID+" "+string(i.State))
			}
			return ids
		}
		list.Put(infra.Instance{ID: "b", State: infra.StateLive})
		time.Sleep(time.Second)
		list.Put(infra.Instance{ID: "a", State: infra.StateLive})
		list.Put(infra.Instance{ID: "b", State: infra.StateLeaving})
		require.Empty(t, ids())
		time.Sleep(time.Minute - time.Second)
		require.Equal(t, []string{"b live"}, ids())
		list.Remove("b")
		time.Sleep(time.Second)
		require.Equal(t, []string{"a live", "b leaving"}, ids())
		require.Len(t, list.Truth(), 1)
		time.Sleep(time.Minute)
		require.Equal(t, []string{"a live"}, ids())
	})
}
