package decide

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

const (
	refusalSimInstances = 9
	refusalSimServers   = 4
	refusalSimSlots     = 6
	refusalSimWaiting   = 1 // requests that a server lets wait
	refusalSimLimit     = 5 // refusals per second that a server survives
	refusalSimService   = 60 * time.Millisecond
	refusalSimReports   = 300 * time.Millisecond // between two load reports
)

// refusalSim replays a load over all instances beyond what the servers can take.
type refusalSim struct {
	now        time.Time
	instances  []*Scheduler
	running    map[string]int         // by server
	refused    map[string][]time.Time // by server
	served     int
	endings    endingHeap
	announces  bool // the servers say how many refusals they survive
	nextID     int
	instanceOf map[string]int
}

// ending is when a server completes a request.
type ending struct {
	at              time.Time
	request, server string
}

type endingHeap []ending

func (h endingHeap) Len() int           { return len(h) }
func (h endingHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
func (h endingHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *endingHeap) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endingHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newRefusalSim(announces bool) *refusalSim {
	sim := &refusalSim{now: simStart, running: map[string]int{}, refused: map[string][]time.Time{}, announces: announces, instanceOf: map[string]int{}}
	for n := range refusalSimInstances {
		s := NewScheduler(rand.New(rand.NewPCG(1, uint64(n))))
		s.SetTable(sim.now, testTable(refusalSimServers, refusalSimSlots, refusalSimInstances, "am"))
		sim.instances = append(sim.instances, s)
	}
	return sim
}

// carryOut sends dispatched requests to their servers, which accept or refuse them.
func (sim *refusalSim) carryOut(decisions []Decision) {
	var refusals []Decision
	for _, d := range append([]Decision(nil), decisions...) {
		if d.Action != ActionDispatch {
			continue
		}
		if sim.running[d.Server.ID] >= refusalSimSlots+refusalSimWaiting {
			refusals = append(refusals, d)
			continue
		}
		sim.running[d.Server.ID]++
		heap.Push(&sim.endings, ending{sim.now.Add(refusalSimService * time.Duration(1+sim.running[d.Server.ID]/refusalSimSlots)), d.Request, d.Server.ID})
	}
	for _, d := range refusals {
		sim.refused[d.Server.ID] = append(sim.refused[d.Server.ID], sim.now)
		s := sim.instances[sim.instanceOf[d.Request]]
		sim.observe(s, d.Server.ID)
		sim.carryOut(s.AttemptFailed(sim.now, d.Request, d.Server.ID, Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone}))
	}
}

func (sim *refusalSim) observe(s *Scheduler, server string) {
	if sim.announces {
		s.ObserveRefusalLimit(server, refusalSimLimit)
	}
}

// run replays the load for some seconds. Of the first the sim forgets the refusals: the
// servers say what they survive only in answers.
func (sim *refusalSim) run(perSecond int, length time.Duration) {
	rng := rand.New(rand.NewPCG(2, 2))
	step := time.Second / time.Duration(perSecond)
	nextReport := sim.now
	for end := sim.now.Add(length); sim.now.Before(end); sim.now = sim.now.Add(step) {
		for len(sim.endings) > 0 && !sim.endings[0].at.After(sim.now) {
			e := heap.Pop(&sim.endings).(ending)
			sim.running[e.server]--
			sim.served++
			s := sim.instances[sim.instanceOf[e.request]]
			sim.observe(s, e.server)
			sim.carryOut(s.Ended(sim.now, e.request, e.server, Outcome{Complete: true, Total: refusalSimService}))
		}
		if !sim.now.Before(nextReport) {
			nextReport = sim.now.Add(refusalSimReports)
			for _, s := range sim.instances {
				for n := range refusalSimServers {
					id := fmt.Sprint("s", n)
					sim.carryOut(s.UpdateLoad(sim.now, id, infra.Load{Running: sim.running[id]}, 0))
				}
			}
		}
		sim.nextID++
		r := newTestRequest(fmt.Sprint("r", sim.nextID), "am", time.Second)
		r.Arrived, r.Deadline = sim.now, sim.now.Add(time.Second)
		n := rng.IntN(len(sim.instances))
		sim.instanceOf[r.ID] = n
		sim.carryOut(sim.instances[n].Submit(sim.now, r))
	}
}

// mostRefusals returns the most refusals of one server in any second after the first.
func (sim *refusalSim) mostRefusals() int {
	most := 0
	for _, times := range sim.refused {
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if from.Sub(simStart) >= time.Second {
				most = max(most, n)
			}
		}
	}
	return most
}

// Servers that fail if they have to refuse too much say so. Half as much again as they can
// take is asked of them, through instances that know each other's load only 0.3 s late.
func TestServersThatFailByRefusalsAreNotMadeToRefuse(t *testing.T) {
	const perSecond, seconds = 600, 10
	before := newRefusalSim(false)
	before.run(perSecond, seconds*time.Second)
	now := newRefusalSim(true)
	now.run(perSecond, seconds*time.Second)
	t.Logf("most refusals of a server in a second %d, %d if it says what it survives; served %d, %d", before.mostRefusals(), now.mostRefusals(), before.served, now.served)
	require.Greater(t, before.mostRefusals(), refusalSimLimit, "the load must be enough to make servers fail")
	require.LessOrEqual(t, now.mostRefusals(), refusalSimLimit)
	require.Greater(t, now.served, before.served*9/10)
}
