package whole

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"greengageferry/infra"
	"greengageferry/load"
	"greengageferry/standin"
)

// Rule names one line of what must always hold.
type Rule string

// The rules, in the order of the users' list.
const (
	RuleMemory       Rule = "accelerator memory is never overcommitted"
	RuleReachable    Rule = "every declared model remains reachable"
	RuleWholeAnswer  Rule = "every caller receives the whole answer to its own request"
	RuleNotRun       Rule = "what was told as not run did not run"
	RuleAtMostOnce   Rule = "a non-idempotent request runs at most once"
	RuleLeaving      Rule = "a leaving backend server receives no new work"
	RuleShutdown     Rule = "a graceful shutdown cuts off no request in flight"
	RuleConfigSpread Rule = "an accepted configuration is in force everywhere within seconds"
	RuleConfigStays  Rule = "an accepted configuration never reverts"
	RuleTruthWhole   Rule = "the stand-ins kept all of the truth"
)

// The times that the rules allow.
const (
	// LeavingGrace is "a few seconds" after the list says that a server leaves.
	LeavingGrace = 5 * time.Second
	// ConfigLimit is "within seconds" after a version's acceptance.
	ConfigLimit = 8 * time.Second
)

// Violation is one breach of a rule.
type Violation struct {
	Detail string
}

// Result is what the check of one rule found.
type Result struct {
	Rule       Rule
	Events     int // how many it looked at
	Violations []Violation
}

func (r *Result) violated(format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Detail: fmt.Sprintf(format, args...)})
}

// Check compares the history with the truth against each rule.
func Check(history []Told, truth Truth) []Result {
	return []Result{
		checkMemory(truth),
		checkReachable(history, truth),
		checkWholeAnswers(history, truth),
		checkNotRun(history, truth),
		checkAtMostOnce(history, truth),
		checkLeaving(truth),
		checkShutdown(history, truth),
		checkConfigSpread(truth),
		checkConfigStays(truth),
		checkTruthWhole(truth),
	}
}

// checkMemory looks at each order that reached an engine. A load that the
// engine itself had to refuse for lack of memory is a breach too: another
// engine may not save the day.
func checkMemory(truth Truth) Result {
	r := Result{Rule: RuleMemory}
	for _, e := range truth.Engines {
		r.Events += len(e.Orders)
		if e.PeakMiB > e.MemoryMiB {
			r.violated("server %s held %d of %d MiB", e.ID, e.PeakMiB, e.MemoryMiB)
		}
		for _, v := range e.Violations {
			if v.Kind == standin.ViolationOvercommit {
				r.violated("server %s: %s", e.ID, v.Detail)
			}
		}
	}
	return r
}

// checkReachable wants a complete answer of each declared model that callers
// asked for at all, and that each was asked for.
func checkReachable(history []Told, truth Truth) Result {
	r := Result{Rule: RuleReachable}
	complete := map[string]bool{}
	for _, t := range history {
		if t.Answer.Outcome == load.OutcomeComplete {
			complete[t.Request.Model] = true
		}
	}
	for _, m := range truth.Models {
		r.Events++
		if !complete[m.Name] {
			r.violated("model %s of %s gave no answer", m.Name, m.Partner)
		}
	}
	return r
}

// checkWholeAnswers wants each answer that was told as complete to be, token by
// token, the one answer to its request. An engine that was given a prefix which
// isn't of the answer to go on with is a breach too.
func checkWholeAnswers(history []Told, truth Truth) Result {
	r := Result{Rule: RuleWholeAnswer}
	runs := truth.runs()
	for _, t := range history {
		if t.Answer.Outcome != load.OutcomeComplete {
			continue
		}
		r.Events++
		if !isAnswer(t, truth, runs[standin.PromptHash(t.content())]) {
			r.violated("%s was told something else as its answer", describe(t))
		}
	}
	for _, e := range truth.Engines {
		for _, v := range e.Violations {
			if v.Kind == standin.ViolationWrongPrefix || v.Kind == standin.ViolationRepeatedAttempt {
				r.violated("server %s: %s: %s", e.ID, v.Kind, v.Detail)
			}
		}
	}
	return r
}

// isAnswer says whether a text is the answer of one of the request's runs. The
// request's seed is its own, or the one that the system chose for its runs.
func isAnswer(t Told, truth Truth, runs []run) bool {
	if t.Service.Service != "" {
		return len(runs) > 0 && isEcho(t)
	}
	m, ok := truth.model(t.Request.Model)
	if !ok {
		return false
	}
	for _, run := range runs {
		if t.Request.Seed != 0 && run.seed != t.Request.Seed {
			continue
		}
		answer := standin.AnswerTo(infra.GenerateRequest{Model: m.Model, Adapter: m.Adapter, Prompt: t.Request.Prompt, Seed: run.seed})
		if answer.Text(t.Request.MaxTokens) == t.Answer.Text {
			return true
		}
	}
	return false
}

// isEcho says whether a text is what a plain service answers to its call.
func isEcho(t Told) bool {
	var echo standin.ServiceEcho
	if json.Unmarshal([]byte(t.Answer.Text), &echo) != nil {
		return false
	}
	want := standin.ServiceEcho{Service: t.Service.Service, Method: http.MethodPost, Path: t.Service.Path, Body: t.Service.Body}
	return echo == want
}

// request names a request: its key, or else its content.
func request(t Told) string {
	if t.key() != "" {
		return "key " + t.key()
	}
	return "content " + t.content()
}

// byRequest groups a history by request: one with a key may have been sent
// several times.
func byRequest(history []Told) map[string][]Told {
	groups := map[string][]Told{}
	for _, t := range history {
		groups[request(t)] = append(groups[request(t)], t)
	}
	return groups
}

// checkNotRun wants that a request of which each sending was told as not run
// has no run. Where one sending of several was told otherwise, a run is that
// one's.
func checkNotRun(history []Told, truth Truth) Result {
	r := Result{Rule: RuleNotRun}
	runs := truth.runs()
	for _, group := range byRequest(history) {
		if !allNotRun(group) {
			continue
		}
		r.Events += len(group)
		for _, run := range runs[standin.PromptHash(group[0].content())] {
			r.violated("%s was told not run, and ran at %s as attempt %s", describe(group[0]), run.server, run.attempt)
		}
	}
	return r
}

func allNotRun(group []Told) bool {
	for _, t := range group {
		if t.Answer.Outcome != load.OutcomeNotRun {
			return false
		}
	}
	return true
}

// checkAtMostOnce counts the runs of each non-idempotent request over all
// servers. One that was accepted by a server counts, whether or not it began.
func checkAtMostOnce(history []Told, truth Truth) Result {
	r := Result{Rule: RuleAtMostOnce}
	runs := truth.runs()
	for _, group := range byRequest(history) {
		if !group[0].nonIdempotent() {
			continue
		}
		r.Events++
		if n := len(runs[standin.PromptHash(group[0].content())]); n > 1 {
			r.violated("%s ran %d times", describe(group[0]), n)
		}
	}
	return r
}

// checkLeaving looks at each run that a leaving server accepted.
func checkLeaving(truth Truth) Result {
	r := Result{Rule: RuleLeaving}
	for _, e := range truth.Engines {
		since, leaving := truth.Leaving[e.ID]
		if !leaving {
			continue
		}
		r.Events++
		for _, run := range e.Runs {
			if late := run.Accepted.Sub(since); late > LeavingGrace {
				r.violated("server %s accepted attempt %s %v after it was listed as leaving", e.ID, run.Attempt, late)
			}
		}
	}
	return r
}

// checkShutdown looks at each request that was in flight when its entry
// instance began to shut down: it must end with an answer of that instance that
// isn't cut.
func checkShutdown(history []Told, truth Truth) Result {
	r := Result{Rule: RuleShutdown}
	for _, t := range history {
		began, shut := truth.Shutdowns[t.Instance]
		if !shut || t.Sent.After(began) || t.Ended.Before(began) {
			continue
		}
		r.Events++
		if t.Answer.Outcome != load.OutcomeComplete {
			r.violated("%s was in flight and was told %s (%s)", describe(t), t.Answer.Outcome, t.Answer.Code)
		}
	}
	return r
}

// checkConfigSpread wants each version, or a later one, at each instance that
// was asked later than the limit after its acceptance.
func checkConfigSpread(truth Truth) Result {
	r := Result{Rule: RuleConfigSpread}
	for _, accepted := range truth.Accepted {
		for _, seen := range truth.Seen {
			if seen.At.Sub(accepted.At) <= ConfigLimit {
				continue
			}
			r.Events++
			if seen.Offset < accepted.Offset {
				r.violated("instance %s had version %d in force %v after %d was accepted", seen.Instance, seen.Offset, seen.At.Sub(accepted.At), accepted.Offset)
			}
		}
	}
	return r
}

// checkConfigStays wants that no instance ever goes back. The observations of
// one instance are in their order.
func checkConfigStays(truth Truth) Result {
	r := Result{Rule: RuleConfigStays}
	newest := map[string]uint64{}
	for _, seen := range truth.Seen {
		r.Events++
		if seen.Offset < newest[seen.Instance] {
			r.violated("instance %s went back from version %d to %d", seen.Instance, newest[seen.Instance], seen.Offset)
		}
		newest[seen.Instance] = max(newest[seen.Instance], seen.Offset)
	}
	return r
}

// checkTruthWhole wants that no stand-in dropped entries of its truth, since
// then the other rules prove nothing.
func checkTruthWhole(truth Truth) Result {
	r := Result{Rule: RuleTruthWhole}
	for _, e := range truth.Engines {
		r.Events += len(e.Runs) + len(e.Orders)
		if e.DroppedEntries > 0 {
			r.violated("server %s dropped %d entries", e.ID, e.DroppedEntries)
		}
	}
	return r
}

// describe names a sending of a request, without its prompt.
func describe(t Told) string {
	name := fmt.Sprintf("request %x", standin.PromptHash(t.content()))
	if t.key() != "" {
		name += " with key " + t.key()
	}
	return fmt.Sprintf("%s sent to %s", name, t.Instance)
}
