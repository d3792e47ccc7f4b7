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

// Rule names an invariant of the system.
type Rule string

// The rules. Except for the last one they are requirements on the product.
const (
	RuleMemory            Rule = "accelerator memory is never overcommitted"
	RuleReachable         Rule = "every declared model remains reachable"
	RuleCompleteAnswer    Rule = "every caller receives the whole answer to its own request"
	RuleNotRun            Rule = "a request reported as not run did not run"
	RuleAtMostOnce        Rule = "a non-idempotent request runs at most once"
	RuleLeaving           Rule = "a leaving backend server receives no new work"
	RuleShutdown          Rule = "a graceful shutdown cuts off no request in flight"
	RuleConfigPropagation Rule = "an accepted configuration is in force everywhere within seconds"
	RuleConfigMonotonic   Rule = "an accepted configuration never reverts"
	RuleRecordsComplete   Rule = "the stand-ins kept complete records"
)

// The time limits of the rules.
const (
	// LeavingGrace is how long a server may still get new work after the list shows it as
	// leaving. The requirement says "a few seconds".
	LeavingGrace = 5 * time.Second
	// ConfigPropagationLimit is how long after its acceptance a configuration may take to be
	// in force at every instance. The requirement says "within seconds".
	ConfigPropagationLimit = 8 * time.Second
)

// Violation is one violation of a rule.
type Violation struct {
	Detail string
}

// Result is the result of the check of one rule.
type Result struct {
	Rule       Rule
	Events     int // number of events checked
	Violations []Violation
}

func (r *Result) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Detail: fmt.Sprintf(format, args...)})
}

// Check checks the history and the truth against each rule.
func Check(history []CallerView, truth GroundTruth) []Result {
	return []Result{
		checkMemory(truth),
		checkReachable(history, truth),
		checkCompleteAnswers(history, truth),
		checkNotRun(history, truth),
		checkAtMostOnce(history, truth),
		checkLeaving(truth),
		checkShutdown(history, truth),
		checkConfigPropagation(truth),
		checkConfigMonotonic(truth),
		checkRecordsComplete(truth),
	}
}

// checkMemory checks the peak memory of each engine. A load that the engine refused for lack
// of memory is a violation too, because a real engine may not check this.
func checkMemory(truth GroundTruth) Result {
	r := Result{Rule: RuleMemory}
	for _, e := range truth.Engines {
		r.Events += len(e.Orders)
		if e.PeakMiB > e.MemoryMiB {
			r.addViolation("server %s held %d of %d MiB", e.ID, e.PeakMiB, e.MemoryMiB)
		}
		for _, v := range e.Violations {
			if v.Kind == standin.ViolationOvercommit {
				r.addViolation("server %s: %s", e.ID, v.Detail)
			}
		}
	}
	return r
}

// checkReachable requires that each declared model gave a complete answer at least once.
func checkReachable(history []CallerView, truth GroundTruth) Result {
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
			r.addViolation("model %s of %s gave no answer", m.Name, m.Partner)
		}
	}
	return r
}

// checkCompleteAnswers requires that each answer reported as complete equals, token by
// token, the only right answer to its request. A wrong prefix sent to an engine, or an
// attempt id used for two requests, is a violation too.
func checkCompleteAnswers(history []CallerView, truth GroundTruth) Result {
	r := Result{Rule: RuleCompleteAnswer}
	runs := truth.runs()
	for _, t := range history {
		if t.Answer.Outcome != load.OutcomeComplete {
			continue
		}
		r.Events++
		if !isExpectedAnswer(t, truth, runs[standin.PromptHash(t.identity())]) {
			r.addViolation("%s received a wrong answer", describe(t))
		}
	}
	for _, e := range truth.Engines {
		for _, v := range e.Violations {
			if v.Kind == standin.ViolationWrongPrefix || v.Kind == standin.ViolationRepeatedAttempt {
				r.addViolation("server %s: %s: %s", e.ID, v.Kind, v.Detail)
			}
		}
	}
	return r
}

// isExpectedAnswer reports whether the caller's answer is the one that a run of the request
// produces. A run's seed is the request's, or chosen by the system if the request has none.
func isExpectedAnswer(t CallerView, truth GroundTruth, runs []run) bool {
	if t.Service.Service != "" {
		return len(runs) > 0 && isExpectedEcho(t)
	}
	m, ok := truth.findModel(t.Request.Model)
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

// isExpectedEcho reports whether the caller's answer is the plain service's echo of the call.
func isExpectedEcho(t CallerView) bool {
	var echo standin.ServiceEcho
	if json.Unmarshal([]byte(t.Answer.Text), &echo) != nil {
		return false
	}
	want := standin.ServiceEcho{Service: t.Service.Service, Method: http.MethodPost, Path: t.Service.Path, Body: t.Service.Body}
	return echo == want
}

// requestKey returns a string that identifies a request: its idempotency key, or else its
// prompt or body.
func requestKey(t CallerView) string {
	if t.idempotencyKey() != "" {
		return "key " + t.idempotencyKey()
	}
	return "content " + t.identity()
}

// groupByRequest groups a history by request. A request with an idempotency key may have
// been submitted several times.
func groupByRequest(history []CallerView) map[string][]CallerView {
	groups := map[string][]CallerView{}
	for _, t := range history {
		groups[requestKey(t)] = append(groups[requestKey(t)], t)
	}
	return groups
}

// checkNotRun requires that a request has no run if every submission of the request was
// reported as not run. If any submission was reported otherwise, a run may belong to that
// one.
func checkNotRun(history []CallerView, truth GroundTruth) Result {
	r := Result{Rule: RuleNotRun}
	runs := truth.runs()
	for _, group := range groupByRequest(history) {
		if !allNotRun(group) {
			continue
		}
		r.Events += len(group)
		for _, run := range runs[standin.PromptHash(group[0].identity())] {
			r.addViolation("%s was reported as not run, but ran on %s as attempt %s", describe(group[0]), run.server, run.attempt)
		}
	}
	return r
}

func allNotRun(group []CallerView) bool {
	for _, t := range group {
		if t.Answer.Outcome != load.OutcomeNotRun {
			return false
		}
	}
	return true
}

// checkAtMostOnce counts the runs of each non-idempotent request on all servers. A run that
// a server accepted counts even if it never started.
func checkAtMostOnce(history []CallerView, truth GroundTruth) Result {
	r := Result{Rule: RuleAtMostOnce}
	runs := truth.runs()
	for _, group := range groupByRequest(history) {
		if !group[0].nonIdempotent() {
			continue
		}
		r.Events++
		if n := len(runs[standin.PromptHash(group[0].identity())]); n > 1 {
			r.addViolation("%s ran %d times", describe(group[0]), n)
		}
	}
	return r
}

// checkLeaving requires that a leaving server accepts no run after LeavingGrace.
func checkLeaving(truth GroundTruth) Result {
	r := Result{Rule: RuleLeaving}
	for _, e := range truth.Engines {
		since, leaving := truth.Leaving[e.ID]
		if !leaving {
			continue
		}
		r.Events++
		for _, run := range e.Runs {
			if late := run.Accepted.Sub(since); late > LeavingGrace {
				r.addViolation("server %s accepted attempt %s %v after it was listed as leaving", e.ID, run.Attempt, late)
			}
		}
	}
	return r
}

// checkShutdown requires a complete answer to each request that was in flight when its entry
// instance began to shut down.
func checkShutdown(history []CallerView, truth GroundTruth) Result {
	r := Result{Rule: RuleShutdown}
	for _, t := range history {
		began, shut := truth.Shutdowns[t.Instance]
		if !shut || t.Sent.After(began) || t.Ended.Before(began) {
			continue
		}
		r.Events++
		if t.Answer.Outcome != load.OutcomeComplete {
			r.addViolation("%s was in flight and ended with outcome %s (%s)", describe(t), t.Answer.Outcome, t.Answer.Code)
		}
	}
	return r
}

// checkConfigPropagation requires that each instance has a version or a later one in force
// when it is queried more than ConfigPropagationLimit after the version's acceptance.
func checkConfigPropagation(truth GroundTruth) Result {
	r := Result{Rule: RuleConfigPropagation}
	for _, accepted := range truth.AcceptedConfig {
		for _, observed := range truth.ObservedConfig {
			if observed.At.Sub(accepted.At) <= ConfigPropagationLimit {
				continue
			}
			r.Events++
			if observed.Offset < accepted.Offset {
				r.addViolation("instance %s had version %d in force %v after %d was accepted", observed.Instance, observed.Offset, observed.At.Sub(accepted.At), accepted.Offset)
			}
		}
	}
	return r
}

// checkConfigMonotonic requires that no instance goes back to an earlier version. The
// observations of an instance are in chronological order.
func checkConfigMonotonic(truth GroundTruth) Result {
	r := Result{Rule: RuleConfigMonotonic}
	newest := map[string]uint64{}
	for _, observed := range truth.ObservedConfig {
		r.Events++
		if observed.Offset < newest[observed.Instance] {
			r.addViolation("instance %s went back from version %d to %d", observed.Instance, newest[observed.Instance], observed.Offset)
		}
		newest[observed.Instance] = max(newest[observed.Instance], observed.Offset)
	}
	return r
}

// checkRecordsComplete requires that no stand-in dropped entries of its records; otherwise the
// other checks prove nothing.
func checkRecordsComplete(truth GroundTruth) Result {
	r := Result{Rule: RuleRecordsComplete}
	for _, e := range truth.Engines {
		r.Events += len(e.Runs) + len(e.Orders)
		if e.DroppedEntries > 0 {
			r.addViolation("server %s dropped %d entries", e.ID, e.DroppedEntries)
		}
	}
	return r
}

// describe returns a description of a submission for messages, without the prompt.
func describe(t CallerView) string {
	name := fmt.Sprintf("request %x", standin.PromptHash(t.identity()))
	if t.idempotencyKey() != "" {
		name += " with key " + t.idempotencyKey()
	}
	return fmt.Sprintf("%s sent to %s", name, t.Instance)
}
