package whole

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/load"
	"greengageferry/standin"
)

// engines returns the engines, ordered by id.
func (d *deployment) engines() []*standin.Engine {
	var engines []*standin.Engine
	for _, i := range d.platform.List.Truth() {
		if e := d.platform.Engines[i.ID]; e != nil {
			engines = append(engines, e)
		}
	}
	return engines
}

// TestWholeOrdersLostDelayedAndDuplicated restarts engines, which then have nothing loaded, while
// orders are lost, delayed or duplicated, or take effect although their response is lost.
func TestWholeOrdersLostDelayedAndDuplicated(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		faults := []standin.Fault{
			{RequestLost: true},
			{RunAfterBreak: 2 * time.Second},
			{Repeats: 2, RepeatInterval: time.Second},
			{AnswerLost: true},
			{Delay: 700 * time.Millisecond},
			{},
		}
		for _, e := range d.engines() {
			e.Faults.Set(func(op string, n int) standin.Fault {
				if op != "engine.order" {
					return standin.Fault{}
				}
				return faults[n%len(faults)]
			})
		}
		for _, e := range d.engines() {
			e.Restart(200 * time.Millisecond)
			tr.waitCompleted(answersPerPhase / 2)
		}
		for _, e := range d.engines() {
			e.Faults.Set(nil)
		}
	})
}

func TestWholeServersSlowAndLeaving(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		engines := d.engines()
		engines[0].SetSlowdown(20 * engineTimeFactor)
		tr.waitCompleted(answersPerPhase)
		engines[0].SetSlowdown(engineTimeFactor)
		for _, i := range d.platform.List.Truth() {
			if i.ID != engines[1].ID() {
				continue
			}
			i.State = infra.StateLeaving
			d.mu.Lock()
			d.truth.Leaving[i.ID] = time.Now()
			d.mu.Unlock()
			d.platform.List.Put(i)
		}
		time.Sleep(LeavingGrace)
		tr.waitCompleted(2 * answersPerPhase)
	})
}

// TestWholeStreamsCorrupted interrupts streams, drops, repeats, delays and reorders their
// events, and mixes in events of other attempts.
func TestWholeStreamsCorrupted(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		for i, e := range d.engines() {
			e.SetEventFaults((&streamCorrupter{rng: rand.New(rand.NewPCG(11, uint64(i)))}).corrupt)
		}
		tr.waitCompleted(3 * answersPerPhase)
		for _, e := range d.engines() {
			e.SetEventFaults(nil)
		}
	})
}

// streamCorrupter corrupts about one in thirty events of one engine's streams.
type streamCorrupter struct {
	mu   sync.Mutex
	rng  *rand.Rand
	last infra.Event // the last event of any stream
}

func (b *streamCorrupter) corrupt(e infra.Event) standin.EventFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.last
	b.last = e
	switch b.rng.IntN(180) {
	case 0:
		return standin.EventFault{Cut: true}
	case 1:
		return standin.EventFault{}
	case 2:
		return standin.EventFault{Send: []infra.Event{e, e}}
	case 3:
		return standin.EventFault{Send: []infra.Event{last, e}}
	case 4:
		return standin.EventFault{Send: []infra.Event{e}, Delay: 300 * time.Millisecond}
	case 5:
		later := e
		later.Index++
		return standin.EventFault{Send: []infra.Event{later, e}}
	}
	return standin.Unchanged(e)
}

// TestWholePoisonRequest repeatedly sends a request that crashes each server that runs it, through
// all instances in turn.
func TestWholePoisonRequest(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		transport := d.transport(placeCallers)
		for i := range 12 {
			n := d.nodes[i%len(d.nodes)]
			m := d.truth.Models[0]
			r := d.newRequest(m)
			r.Prompt = "poisoned order " + standin.DefaultPoison
			a := d.client(transport, n, m.Partner).Send(t.Context(), r, time.Now())
			require.NotEqual(t, load.OutcomeComplete, a.Outcome)
			time.Sleep(300 * time.Millisecond)
		}
		crashes := 0
		for _, e := range d.engines() {
			for _, why := range e.Truth().StopReasons {
				if why == "crashed" {
					crashes++
				}
			}
		}
		t.Logf("12 submissions of a request that crashes servers crashed %d", crashes)
		require.LessOrEqual(t, crashes, maxPoisonCrashes)
		require.NotZero(t, crashes)
	})
}

// maxPoisonCrashes allows the two crashes that cause a quarantine, and two more by a
// submission that was already in flight when the quarantine took effect.
const maxPoisonCrashes = 4
