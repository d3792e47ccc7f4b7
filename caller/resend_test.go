package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/infra"
)

// sending is one of the times that a caller sends its keyed request.
type sending struct {
	instance int
	at       time.Duration
	leaves   bool // its caller leaves before the answer
}

const instances = 3

func drawSendings(rt *rapid.T) []sending {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) sending {
		return sending{
			instance: rapid.IntRange(0, instances-1).Draw(rt, "instance"),
			at:       time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond,
			leaves:   rapid.Bool().Draw(rt, "leaves"),
		}
	}), 2, 6).Draw(rt, "sendings")
}

// TestKeyRunsOnceHoweverItIsResent draws when, through which instances and with
// what patience a caller sends one keyed request, and how its attempts go.
func TestKeyRunsOnceHoweverItIsResent(t *testing.T) {
	replayed := 0
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeed(rt)
		sendings := drawSendings(rt)
		synctest.Test(t, func(t *testing.T) { replayed += resend(t, d, sendings) })
	})
	require.NotZero(t, replayed, "the draw never led to a replay")
}

// resend sends the request as drawn, checks what its callers are told, and
// returns how many were told an earlier answer.
func resend(t *testing.T, d deed, sendings []sending) (replayed int) {
	rigs := newRigs(t)
	u := &unruly{engine: rigs[0].engine, ways: d.ways, rest: d.rest, at: d.at, noise: d.noise}
	rigs[0].engine.generate = func(ctx context.Context, addr string, req infra.GenerateRequest) (infra.Stream, error) {
		time.Sleep(time.Second) // the bubble's: so that resends meet a running first
		return u.generate(ctx, addr, req)
	}
	answers := make([]*httptest.ResponseRecorder, len(sendings))
	var wg sync.WaitGroup
	for i, s := range sendings {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			time.Sleep(s.at)
			if s.leaves {
				time.AfterFunc(500*time.Millisecond, cancel)
			}
			answers[i] = rigs[s.instance].send(ctx, http.MethodPost, pathCompletions, streamed, header{HeaderIdempotencyKey: "k"})
		})
	}
	wg.Wait()
	require.LessOrEqual(t, u.began, 1, "the key ran more than once")
	whole := ""
	for i, w := range answers {
		if w.Header().Get(HeaderReplayed) != "" {
			replayed++
		}
		if sendings[i].leaves || w.Code != http.StatusOK {
			continue
		}
		require.True(t, whole == "" || whole == w.Body.String(), "two answers to one key")
		whole = w.Body.String()
		checkTold(t, whole, u.began)
	}
	for _, r := range rigs {
		r.empty(t)
	}
	return replayed
}

// newRigs returns instances that share the engine, the log's claims and one
// another's answers.
func newRigs(t *testing.T) []*rig {
	rigs := make([]*rig, instances)
	names := map[string]*rig{}
	answers := &fakeAnswers{fetch: func(_ context.Context, instance, attempt string) (Answer, bool, bool, error) {
		a, finished, found := names[instance].AnswerFor(attempt)
		return a, finished, found, nil
	}}
	for i := range rigs {
		rigs[i] = newRig(t, func(o *Options) {
			o.Instance = string(rune('a' + i))
			o.Answers = answers
			if i > 0 {
				o.Claimer, o.Engine = rigs[0].claimer, rigs[0].engine
			}
		})
		names[rigs[i].opts.Instance] = rigs[i]
	}
	return rigs
}
