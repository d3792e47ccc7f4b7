package caller

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/infra"
)

// The ways in which an attempt can go.
const (
	goesWhole = iota
	isRefused // before it started
	isLost    // no answer came
	isCut     // after some tokens
	hasGap    // a token is missing
	lacksLast // the last token is missing, the end marker isn't
	ways
)

const propertyTokens = 6

// unruly is an engine whose attempts go as drawn, with foreign and repeated
// events among their own.
type unruly struct {
	engine *fakeEngine
	ways   []int // of the attempts in turn
	rest   int   // the way of those after the last
	at     int   // the token at which it happens
	noise  bool
	began  int // attempts that were not refused
}

func (u *unruly) generate(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
	way := u.rest
	if n := len(u.engine.attempts()); n <= len(u.ways) {
		way = u.ways[n-1]
	}
	if way == isRefused {
		return nil, refused(infra.ReasonOverloaded)
	}
	u.began++
	if way == isLost {
		return nil, broke()
	}
	events := wholeAnswer(req)
	at := min(u.at, len(events)-1)
	s := u.engine.stream(ctx, nil)
	s.end = broke()
	switch way {
	case isCut:
		events = events[:at]
	case hasGap:
		events = append(events[:at:at], events[at+1:]...)
	case lacksLast:
		last := max(len(events)-2, 0)
		events = append(events[:last:last], events[len(events)-1])
	}
	for _, e := range events {
		if u.noise {
			s.events = append(s.events, infra.Event{Attempt: "foreign", Index: e.Index, Token: "FOREIGN"})
		}
		s.events = append(s.events, e)
		if u.noise && e.Finish == "" {
			s.events = append(s.events, e)
		}
	}
	return s, nil
}

// deed is a request and how its attempts go.
type deed struct {
	ways  []int
	rest  int
	at    int
	noise bool
	once  bool // non-idempotent
}

func drawDeed(rt *rapid.T) deed {
	return deed{
		ways:  rapid.SliceOfN(rapid.IntRange(0, ways-1), 0, 4).Draw(rt, "ways"),
		rest:  rapid.SampledFrom([]int{goesWhole, isRefused}).Draw(rt, "rest"),
		at:    rapid.IntRange(0, propertyTokens).Draw(rt, "at"),
		noise: rapid.Bool().Draw(rt, "noise"),
		once:  rapid.Bool().Draw(rt, "non-idempotent"),
	}
}

// run sends the request, checks what its caller is told, and returns the outcome.
func (d deed) run(t *testing.T) string {
	r := newRig(t)
	u := &unruly{engine: r.engine, ways: d.ways, rest: d.rest, at: d.at, noise: d.noise}
	r.engine.generate = u.generate
	headers := header{}
	if d.once {
		headers[HeaderNonIdempotent] = "true"
	}
	w := r.post(pathCompletions, streamed, headers)
	if d.once {
		require.LessOrEqual(t, u.began, 1, "a non-idempotent request ran again")
	}
	r.empty(t)
	return checkTold(t, w.Body.String(), u.began)
}

// TestOutcomeIsTrueHoweverAttemptsGo draws how the attempts of a request go, and
// compares what its caller is told with what the engine saw.
func TestOutcomeIsTrueHoweverAttemptsGo(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeed(rt)
		synctest.Test(t, func(t *testing.T) { seen[d.run(t)]++ })
	})
	for _, outcome := range []string{"complete", "not_run", "unknown"} {
		require.NotZero(t, seen[outcome], "the draw never led to %s", outcome)
	}
}

// checkTold checks what a caller was told against the attempts that began.
func checkTold(t require.TestingT, body string, began int) string {
	require.NotContains(t, body, "FOREIGN")
	text := streamText(body)
	if strings.HasSuffix(body, "data: [DONE]\n\n") {
		require.Equal(t, wholeText, text)
		require.NotContains(t, body, `"error"`)
		return "complete"
	}
	require.NotContains(t, body, "[DONE]")
	require.NotContains(t, body, `"finish_reason":"`)
	require.True(t, strings.HasPrefix(wholeText, text), "the tokens given are the answer's first")
	var p problemJSON
	require.NoError(t, json.Unmarshal([]byte(body[strings.Index(body, `{"error"`):]), &p))
	require.Equal(t, began == 0, p.Error.Outcome == "not_run", "told %s after %d attempts began", p.Error.Outcome, began)
	return p.Error.Outcome
}

var wholeText = text(propertyTokens)
