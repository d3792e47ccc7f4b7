package whole

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/load"
	"greengageferry/standin"
)

var (
	start  = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	models = []Model{{Name: "tray-planner", Model: "tray-planner", Partner: "flight-kitchen"}}
)

// completedView returns a valid entry: the request with seed n was sent to entry-1 and
// completed.
func completedView(n uint64, prompt string) CallerView {
	r := load.Request{Model: "tray-planner", Prompt: prompt, MaxTokens: 50, Seed: n}
	text := standin.AnswerTo(infra.GenerateRequest{Model: r.Model, Prompt: prompt, Seed: n}).Text(50)
	return CallerView{
		Request:  r,
		Answer:   load.Answer{Outcome: load.OutcomeComplete, Text: text},
		Instance: "entry-1",
		Sent:     start,
		Ended:    start.Add(time.Second),
	}
}

func engineRun(t CallerView) standin.Run {
	return standin.Run{Attempt: "a", Prompt: standin.PromptHash(t.Request.Prompt), Seed: t.Request.Seed, Accepted: t.Sent, Started: t.Sent, End: standin.EndComplete}
}

// validHistory returns a history and a truth that satisfy each rule, with at least one event
// for each rule.
func validHistory() ([]CallerView, GroundTruth) {
	plain, once, refused := completedView(1, "plain"), completedView(2, "once"), completedView(3, "refused")
	once.Request.NonIdempotent, once.Request.IdempotencyKey = true, "k"
	resent := once
	resent.Instance = "entry-2"
	refused.Answer = load.Answer{Outcome: load.OutcomeNotRun, Code: "queue_full"}
	call := CallerView{
		Service:  load.ServiceRequest{Service: "order-desk", Path: "/orders", Body: "two trays"},
		Answer:   load.Answer{Outcome: load.OutcomeComplete, Text: `{"service":"order-desk","method":"POST","path":"/orders","body":"two trays"}`},
		Instance: "entry-1",
		Sent:     start,
		Ended:    start,
	}
	truth := GroundTruth{
		Models:   models,
		Services: map[string][]standin.ServiceRun{"d1": {{Attempt: "c", Body: standin.PromptHash("two trays")}}},
		Engines: []standin.EngineTruth{
			{ID: "s1", MemoryMiB: 100, PeakMiB: 100, Runs: []standin.Run{engineRun(plain), engineRun(once)}, Orders: []standin.ReceivedOrder{{}}},
			{ID: "s2", MemoryMiB: 100, PeakMiB: 50},
		},
		Leaving:        map[string]time.Time{"s1": start.Add(-LeavingGrace)},
		Shutdowns:      map[string]time.Time{"entry-1": start},
		AcceptedConfig: []AcceptedConfig{{Offset: 5, At: start}},
		ObservedConfig: []ObservedConfig{{"entry-1", 4, start}, {"entry-1", 5, start.Add(ConfigPropagationLimit + 1)}},
	}
	return []CallerView{plain, once, resent, refused, call}, truth
}

// TestEachRuleDetectsItsViolation violates one rule at a time and requires that exactly the
// check of that rule reports it.
func TestEachRuleDetectsItsViolation(t *testing.T) {
	for name, c := range map[string]struct {
		rule  Rule
		spoil func(history []CallerView, truth *GroundTruth)
	}{
		"memory over its size": {RuleMemory, func(_ []CallerView, truth *GroundTruth) { truth.Engines[1].PeakMiB = 101 }},
		"load that didn't fit": {RuleMemory, func(_ []CallerView, truth *GroundTruth) {
			truth.Engines[1].Violations = []standin.Violation{{Kind: standin.ViolationOvercommit}}
		}},
		"model without an answer": {RuleReachable, func(_ []CallerView, truth *GroundTruth) {
			truth.Models = append(truth.Models, Model{Name: "campo-notes"})
		}},
		"short answer": {RuleCompleteAnswer, func(h []CallerView, _ *GroundTruth) { h[0].Answer.Text = h[0].Answer.Text[:20] }},
		"token twice":  {RuleCompleteAnswer, func(h []CallerView, _ *GroundTruth) { h[0].Answer.Text = "x " + h[0].Answer.Text }},
		"another's answer": {RuleCompleteAnswer, func(h []CallerView, _ *GroundTruth) {
			h[0].Answer.Text = h[1].Answer.Text
		}},
		"answer without a run": {RuleCompleteAnswer, func(_ []CallerView, truth *GroundTruth) { truth.Engines[0].Runs = truth.Engines[0].Runs[1:] }},
		"wrong prefix": {RuleCompleteAnswer, func(_ []CallerView, truth *GroundTruth) {
			truth.Engines[1].Violations = []standin.Violation{{Kind: standin.ViolationWrongPrefix}}
		}},
		"not run, and ran": {RuleNotRun, func(h []CallerView, truth *GroundTruth) {
			truth.Engines[1].Runs = []standin.Run{engineRun(h[3])}
		}},
		"all of a key not run, and ran": {RuleNotRun, func(h []CallerView, _ *GroundTruth) {
			h[1].Answer, h[2].Answer = h[3].Answer, h[3].Answer
			h[1].Instance = "entry-2" // isn't shut down
		}},
		"run twice at two servers": {RuleAtMostOnce, func(h []CallerView, truth *GroundTruth) {
			truth.Engines[1].Runs = []standin.Run{engineRun(h[1])}
		}},
		"run twice, of which one never began": {RuleAtMostOnce, func(h []CallerView, truth *GroundTruth) {
			run := engineRun(h[1])
			run.Started = time.Time{}
			truth.Engines[0].Runs = append(truth.Engines[0].Runs, run)
		}},
		"service called twice": {RuleAtMostOnce, func(_ []CallerView, truth *GroundTruth) { truth.Services["d2"] = truth.Services["d1"] }},
		"service's call not run, and ran": {RuleNotRun, func(h []CallerView, _ *GroundTruth) {
			h[4].Answer, h[4].Instance = h[3].Answer, "entry-2"
		}},
		"another's service answer": {RuleCompleteAnswer, func(h []CallerView, _ *GroundTruth) {
			h[4].Answer.Text = `{"service":"order-desk","method":"POST","path":"/orders","body":"one tray"}`
		}},
		"work for a leaving server": {RuleLeaving, func(_ []CallerView, truth *GroundTruth) {
			truth.Leaving["s1"] = start.Add(-LeavingGrace - 1)
		}},
		"cut by a shutdown": {RuleShutdown, func(h []CallerView, _ *GroundTruth) {
			h[0].Answer = load.Answer{Outcome: load.OutcomeOther, Code: "cut"}
		}},
		"unknown by a shutdown": {RuleShutdown, func(h []CallerView, _ *GroundTruth) {
			h[0].Answer = load.Answer{Outcome: load.OutcomeUnknown}
		}},
		"configuration late": {RuleConfigPropagation, func(_ []CallerView, truth *GroundTruth) { truth.ObservedConfig[1].Offset = 4 }},
		"configuration went back": {RuleConfigMonotonic, func(_ []CallerView, truth *GroundTruth) {
			truth.ObservedConfig = append(truth.ObservedConfig, ObservedConfig{"entry-1", 4, start})
		}},
		"truth that was cut short": {RuleRecordsComplete, func(_ []CallerView, truth *GroundTruth) { truth.Engines[0].DroppedEntries = 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			history, truth := validHistory()
			history[3].Instance = "entry-3" // isn't shut down
			for _, r := range Check(history, truth) {
				require.Empty(t, r.Violations, r.Rule)
				require.Positive(t, r.Events, r.Rule)
			}
			c.spoil(history, &truth)
			found := map[Rule]bool{}
			for _, r := range Check(history, truth) {
				if len(r.Violations) > 0 {
					found[r.Rule] = true
				}
			}
			require.Equal(t, map[Rule]bool{c.rule: true}, found)
		})
	}
}

// TestOneResendOfAKeyMayBeNotRun covers a resend that is refused while the first submission
// runs.
func TestOneResendOfAKeyMayBeNotRun(t *testing.T) {
	history, truth := validHistory()
	history[3].Instance = "entry-3"
	history[2].Answer = load.Answer{Outcome: load.OutcomeNotRun}
	for _, r := range Check(history, truth) {
		require.Empty(t, r.Violations, r.Rule)
	}
}
