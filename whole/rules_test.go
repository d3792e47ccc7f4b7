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

// told is one entry that is right: request n was sent to entry-1 and completed.
func told(n uint64, prompt string) Told {
	r := load.Request{Model: "tray-planner", Prompt: prompt, MaxTokens: 50, Seed: n}
	text := standin.AnswerTo(infra.GenerateRequest{Model: r.Model, Prompt: prompt, Seed: n}).Text(50)
	return Told{
		Request:  r,
		Answer:   load.Answer{Outcome: load.OutcomeComplete, Text: text},
		Instance: "entry-1",
		Sent:     start,
		Ended:    start.Add(time.Second),
	}
}

func runOf(t Told) standin.Run {
	return standin.Run{Attempt: "a", Prompt: standin.PromptHash(t.Request.Prompt), Seed: t.Request.Seed, Accepted: t.Sent, Started: t.Sent, End: standin.EndComplete}
}

// world is a history and a truth in which each rule holds, with at least one
// event for each.
func world() ([]Told, Truth) {
	plain, once, refused := told(1, "plain"), told(2, "once"), told(3, "refused")
	once.Request.NonIdempotent, once.Request.IdempotencyKey = true, "k"
	resent := once
	resent.Instance = "entry-2"
	refused.Answer = load.Answer{Outcome: load.OutcomeNotRun, Code: "queue_full"}
	call := Told{
		Service:  load.ServiceRequest{Service: "order-desk", Path: "/orders", Body: "two trays"},
		Answer:   load.Answer{Outcome: load.OutcomeComplete, Text: `{"service":"order-desk","method":"POST","path":"/orders","body":"two trays"}`},
		Instance: "entry-1",
		Sent:     start,
		Ended:    start,
	}
	truth := Truth{
		Models:   models,
		Services: map[string][]standin.ServiceRun{"d1": {{Attempt: "c", Body: standin.PromptHash("two trays")}}},
		Engines: []standin.EngineTruth{
			{ID: "s1", MemoryMiB: 100, PeakMiB: 100, Runs: []standin.Run{runOf(plain), runOf(once)}, Orders: []standin.ReceivedOrder{{}}},
			{ID: "s2", MemoryMiB: 100, PeakMiB: 50},
		},
		Leaving:   map[string]time.Time{"s1": start.Add(-LeavingGrace)},
		Shutdowns: map[string]time.Time{"entry-1": start},
		Accepted:  []Accepted{{Offset: 5, At: start}},
		Seen:      []Seen{{"entry-1", 4, start}, {"entry-1", 5, start.Add(ConfigLimit + 1)}},
	}
	return []Told{plain, once, resent, refused, call}, truth
}

// TestEachRuleBites breaks each rule on purpose, and wants exactly its check to
// find it.
func TestEachRuleBites(t *testing.T) {
	for name, c := range map[string]struct {
		rule  Rule
		spoil func(history []Told, truth *Truth)
	}{
		"memory over its size": {RuleMemory, func(_ []Told, truth *Truth) { truth.Engines[1].PeakMiB = 101 }},
		"load that didn't fit": {RuleMemory, func(_ []Told, truth *Truth) {
			truth.Engines[1].Violations = []standin.Violation{{Kind: standin.ViolationOvercommit}}
		}},
		"model without an answer": {RuleReachable, func(_ []Told, truth *Truth) {
			truth.Models = append(truth.Models, Model{Name: "campo-notes"})
		}},
		"short answer": {RuleWholeAnswer, func(h []Told, _ *Truth) { h[0].Answer.Text = h[0].Answer.Text[:20] }},
		"token twice":  {RuleWholeAnswer, func(h []Told, _ *Truth) { h[0].Answer.Text = "x " + h[0].Answer.Text }},
		"another's answer": {RuleWholeAnswer, func(h []Told, _ *Truth) {
			h[0].Answer.Text = h[1].Answer.Text
		}},
		"answer without a run": {RuleWholeAnswer, func(_ []Told, truth *Truth) { truth.Engines[0].Runs = truth.Engines[0].Runs[1:] }},
		"wrong prefix": {RuleWholeAnswer, func(_ []Told, truth *Truth) {
			truth.Engines[1].Violations = []standin.Violation{{Kind: standin.ViolationWrongPrefix}}
		}},
		"not run, and ran": {RuleNotRun, func(h []Told, truth *Truth) {
			truth.Engines[1].Runs = []standin.Run{runOf(h[3])}
		}},
		"all of a key not run, and ran": {RuleNotRun, func(h []Told, _ *Truth) {
			h[1].Answer, h[2].Answer = h[3].Answer, h[3].Answer
			h[1].Instance = "entry-2" // isn't shut down
		}},
		"run twice at two servers": {RuleAtMostOnce, func(h []Told, truth *Truth) {
			truth.Engines[1].Runs = []standin.Run{runOf(h[1])}
		}},
		"run twice, of which one never began": {RuleAtMostOnce, func(h []Told, truth *Truth) {
			run := runOf(h[1])
			run.Started = time.Time{}
			truth.Engines[0].Runs = append(truth.Engines[0].Runs, run)
		}},
		"service called twice": {RuleAtMostOnce, func(_ []Told, truth *Truth) { truth.Services["d2"] = truth.Services["d1"] }},
		"service's call not run, and ran": {RuleNotRun, func(h []Told, _ *Truth) {
			h[4].Answer, h[4].Instance = h[3].Answer, "entry-2"
		}},
		"another's service answer": {RuleWholeAnswer, func(h []Told, _ *Truth) {
			h[4].Answer.Text = `{"service":"order-desk","method":"POST","path":"/orders","body":"one tray"}`
		}},
		"work for a leaving server": {RuleLeaving, func(_ []Told, truth *Truth) {
			truth.Leaving["s1"] = start.Add(-LeavingGrace - 1)
		}},
		"cut by a shutdown": {RuleShutdown, func(h []Told, _ *Truth) { h[0].Answer = load.Answer{Outcome: load.OutcomeOther, Code: "cut"} }},
		"unknown by a shutdown": {RuleShutdown, func(h []Told, _ *Truth) {
			h[0].Answer = load.Answer{Outcome: load.OutcomeUnknown}
		}},
		"configuration late":       {RuleConfigSpread, func(_ []Told, truth *Truth) { truth.Seen[1].Offset = 4 }},
		"configuration went back":  {RuleConfigStays, func(_ []Told, truth *Truth) { truth.Seen = append(truth.Seen, Seen{"entry-1", 4, start}) }},
		"truth that was cut short": {RuleTruthWhole, func(_ []Told, truth *Truth) { truth.Engines[0].DroppedEntries = 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			history, truth := world()
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

// TestOneSendingOfAKeyMayBeNotRun has a resend refused while the first runs.
func TestOneSendingOfAKeyMayBeNotRun(t *testing.T) {
	history, truth := world()
	history[3].Instance = "entry-3"
	history[2].Answer = load.Answer{Outcome: load.OutcomeNotRun}
	for _, r := range Check(history, truth) {
		require.Empty(t, r.Violations, r.Rule)
	}
}
