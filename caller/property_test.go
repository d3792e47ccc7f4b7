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

// The faults that an attempt can have.
const (
	faultNone        = iota
	faultRefused     // refused before starting
	faultLost        // the connection broke before an answer
	faultCut         // the connection broke after some tokens
	faultGap         // one event is missing
	faultMissingLast // the last token is missing, but not the end marker
	faultKinds       // the number of faults
)

const scenarioTokens = 6

// faultyEngine answers attempts with the given faults. With noise it adds events of
// other attempts and repeats events.
type faultyEngine struct {
	engine     *fakeEngine
	faultKinds []int // faults of the first attempts, in order
	laterFault int   // fault of all later attempts
	offset     int   // index of the event at which a fault occurs
	noise      bool
	started    int // attempts that were not refused
}

func (u *faultyEngine) generate(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
	kind := u.laterFault
	if n := len(u.engine.attempts()); n <= len(u.faultKinds) {
		kind = u.faultKinds[n-1]
	}
	if kind == faultRefused {
		return nil, refusalError(infra.ReasonOverloaded)
	}
	u.started++
	if kind == faultLost {
		return nil, connectionError()
	}
	events := completeAnswer(req)
	offset := min(u.offset, len(events)-1)
	s := u.engine.stream(ctx, nil)
	s.end = connectionError()
	switch kind {
	case faultCut:
		events = events[:offset]
	case faultGap:
		events = append(events[:offset:offset], events[offset+1:]...)
	case faultMissingLast:
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

// scenario is a request and the faults of its attempts; see faultyEngine.
type scenario struct {
	faultKinds    []int
	laterFault    int
	offset        int
	noise         bool
	nonIdempotent bool
}

func drawScenario(rt *rapid.T) scenario {
	return scenario{
		faultKinds:    rapid.SliceOfN(rapid.IntRange(0, faultKinds-1), 0, 4).Draw(rt, "ways"),
		laterFault:    rapid.SampledFrom([]int{faultNone, faultRefused}).Draw(rt, "rest"),
		offset:        rapid.IntRange(0, scenarioTokens).Draw(rt, "at"),
		noise:         rapid.Bool().Draw(rt, "noise"),
		nonIdempotent: rapid.Bool().Draw(rt, "non-idempotent"),
	}
}

// run sends the request, checks the answer, and returns the outcome.
func (sc scenario) run(t *testing.T) string {
	r := newHarness(t)
	u := &faultyEngine{engine: r.engine, faultKinds: sc.faultKinds, laterFault: sc.laterFault, offset: sc.offset, noise: sc.noise}
	r.engine.generate = u.generate
	headers := header{}
	if sc.nonIdempotent {
		headers[HeaderNonIdempotent] = "true"
	}
	w := r.post(pathCompletions, streamedRequest, headers)
	if sc.nonIdempotent {
		require.LessOrEqual(t, u.started, 1, "a non-idempotent request ran again")
	}
	r.requireDrained(t)
	return checkAnswer(t, w.Body.String(), u.started)
}

// TestReportedOutcomeMatchesAttempts sends requests with random faults of their attempts
// and compares the outcome that the caller receives with the attempts that the engine
// started. It guards against a not_run outcome of a request that ran.
func TestReportedOutcomeMatchesAttempts(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		synctest.Test(t, func(t *testing.T) { seen[sc.run(t)]++ })
	})
	for _, outcome := range []string{"complete", "not_run", "unknown"} {
		require.NotZero(t, seen[outcome], "no scenario had the outcome %s", outcome)
	}
}

// checkAnswer checks an answer against the number of attempts that started, and returns
// the outcome.
func checkAnswer(t require.TestingT, body string, started int) string {
	require.NotContains(t, body, "FOREIGN")
	text := streamText(body)
	if strings.HasSuffix(body, "data: [DONE]\n\n") {
		require.Equal(t, fullText, text)
		require.NotContains(t, body, `"error"`)
		return "complete"
	}
	require.NotContains(t, body, "[DONE]")
	require.NotContains(t, body, `"finish_reason":"`)
	require.True(t, strings.HasPrefix(fullText, text), "the tokens sent are a prefix of the complete answer")
	var p problemJSON
	require.NoError(t, json.Unmarshal([]byte(body[strings.Index(body, `{"error"`):]), &p))
	require.Equal(t, started == 0, p.Error.Outcome == "not_run", "outcome %s after %d attempts started", p.Error.Outcome, started)
	return p.Error.Outcome
}

var fullText = tokenText(scenarioTokens)
