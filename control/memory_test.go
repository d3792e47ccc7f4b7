package control

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"greengageferry/infra"
)

// TestMain fixes the seed of the property tests, which -rapid.seed on the command
// line overrides. For GOMAXPROCS(1) see package testmain.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// modelSteps is the number of steps in a run: enough for
// TestMemoryModelDetectsDisabledRules to detect each rule.
const modelSteps = 120

// newMemoryModel returns a model of one server and two orderers, the first of
// which holds the lease.
func newMemoryModel(disabled disabledRules, engine *modelEngine) *memoryModel {
	m := &memoryModel{disabled: disabled, engines: []*modelEngine{engine}}
	for range 2 {
		m.spawn()
	}
	for _, p := range m.processes {
		m.join(p)
	}
	m.claim(m.processes[0])
	m.read(m.processes[1])
	return m
}

// findOvercommitment runs the model with random actions and describes the first
// overcommitment of the server's memory, or returns "".
func findOvercommitment(t *rapid.T, disabled disabledRules) string {
	engine := &modelEngine{id: "s", memoryMiB: 2, unfenced: rapid.Bool().Draw(t, "ignores"), items: map[infra.Key]infra.Item{}}
	if rapid.Bool().Draw(t, "stray") {
		stray := infra.Item{Model: "stray", Version: "1", MiB: 1}
		engine.items[stray.Key()] = stray
	}
	m := newMemoryModel(disabled, engine)
	m.t = t
	for range modelSteps {
		m.step++
		m.randomAction()
		if engine.usedMiB() > engine.memoryMiB {
			return fmt.Sprintf("%d of %d MiB after step %d, ignores=%t", engine.usedMiB(), engine.memoryMiB, m.step, engine.unfenced)
		}
	}
	return ""
}

// modelRuns is the number of runs of each check. The disabled rule that is hardest
// to detect takes 1,075 runs.
const modelRuns = 1200

// firstOvercommitment describes the first run with an overcommitment while the
// rules are disabled, or returns "". Each run is determined by its number.
func firstOvercommitment(disabled disabledRules) string {
	run := rapid.Custom(func(t *rapid.T) string { return findOvercommitment(t, disabled) })
	for seed := range modelRuns {
		if overcommitment := run.Example(seed); overcommitment != "" {
			return fmt.Sprintf("run %d: %s", seed, overcommitment)
		}
	}
	return ""
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	require.Empty(t, firstOvercommitment(disabledRules{}))
}

// TestMemoryModelDetectsDisabledRules checks that the model finds an
// overcommitment with any one of the rules disabled, so that
// TestMemoryIsNeverOvercommitted would fail if the code lacked that rule.
func TestMemoryModelDetectsDisabledRules(t *testing.T) {
	rules := map[string]disabledRules{
		"removal": {removalWait: true}, "asking": {orderersAsked: true}, "fence": {fenceSeen: true},
		"hand counted": {countHeldOrders: true}, "net counted": {countUnansweredOrders: true}, "newest": {newestAssignment: true},
		"fence of order": {assignmentFence: true}, "joined": {joined: true}, "idle leave": {leaveWhenIdle: true}, "fits": {countUntracked: true},
	}
	for name, off := range rules {
		t.Run(name, func(t *testing.T) {
			over := firstOvercommitment(off)
			require.NotEmpty(t, over, "the model doesn't detect that this rule is disabled")
			t.Log(over)
		})
	}
}

// chooseFirst is a choose function for memoryModel.begin.
func chooseFirst(int, string) int { return 0 }

// executeNextOrder lets the process read the log, poll the server and deliver its
// first due order.
func (m *memoryModel) executeNextOrder(p *process, e *modelEngine) {
	m.step++
	m.read(p)
	m.poll(p, e)
	if o := m.begin(p, e, chooseFirst); o != nil {
		e.arrive(o.order)
		m.finishOrder(o)
	}
	m.step++
	m.poll(p, e)
}

// The rules statusAfterConfirmation and persistentFence matter only in runs that
// random actions are unlikely to reach, so the two functions below fix the runs.
// With the rule enabled, neither run overcommits the server.

func runStatusBeforeConfirmation(disabled disabledRules) *modelEngine {
	e := &modelEngine{id: "s", memoryMiB: 2, unfenced: true, items: map[infra.Key]infra.Item{}}
	m := newMemoryModel(disabled, e)
	holder, other := m.processes[0], m.processes[1]
	m.assign(holder, e, modelItems[0])
	m.read(other)
	m.poll(other, e)
	late := m.begin(other, e, chooseFirst)
	m.read(holder)
	m.poll(holder, e) // the item isn't resident
	m.assign(holder, e)
	m.read(holder)
	m.read(other)
	e.arrive(late.order)
	m.finishOrder(late)
	m.step++
	m.queryApplied(holder, holder)
	m.queryApplied(holder, other)
	m.remove(holder, e)
	m.read(holder)
	m.assign(holder, e, modelItems[1])
	m.read(holder)
	if o := m.begin(holder, e, chooseFirst); o != nil {
		e.arrive(o.order)
	}
	return e
}

func runFenceForgottenAtRestart(disabled disabledRules) *modelEngine {
	e := &modelEngine{id: "s", memoryMiB: 2, items: map[infra.Key]infra.Item{}}
	m := newMemoryModel(disabled, e)
	holder, other := m.processes[0], m.processes[1]
	m.assign(holder, e, modelItems[0])
	m.executeNextOrder(other, e) // the fence order
	late := m.begin(other, e, chooseFirst)
	m.read(holder)
	m.assign(holder, e)
	m.executeNextOrder(holder, e)
	m.remove(holder, e)
	m.read(holder)
	m.assign(holder, e, modelItems[1])
	m.executeNextOrder(holder, e)
	load := m.begin(holder, e, chooseFirst)
	m.restart(e)
	e.arrive(late.order)
	e.arrive(load.order)
	return e
}

func TestMemoryModelDetectsDisabledRulesInFixedRuns(t *testing.T) {
	runs := map[string]struct {
		run func(off disabledRules) *modelEngine
		off disabledRules
	}{
		"status after": {runStatusBeforeConfirmation, disabledRules{statusAfterConfirmation: true}},
		"fence kept":   {runFenceForgottenAtRestart, disabledRules{persistentFence: true}},
	}
	for name, r := range runs {
		t.Run(name, func(t *testing.T) {
			on, off := r.run(disabledRules{}), r.run(r.off)
			require.LessOrEqual(t, on.usedMiB(), on.memoryMiB)
			require.Greater(t, off.usedMiB(), off.memoryMiB)
		})
	}
}
