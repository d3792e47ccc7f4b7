package whole

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"greengageferry/infra"
	"greengageferry/load"
	"greengageferry/quickstart"
	"greengageferry/record"
	"greengageferry/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// callers is how many send at a time: enough that each failure meets
	// requests in each state, and few enough that the servers aren't full.
	callers = 12
	// some is how many whole answers a failure lasts for: each kind of request
	// is among them many times.
	some = 100
)

// underTraffic runs a failure while callers send, then lets the system recover
// and checks it.
func underTraffic(t *testing.T, fail func(d *deployment, tr *traffic)) {
	t.Parallel()
	began := time.Now()
	d := deploy(t)
	t.Logf("every model answered %v after the start", time.Since(began).Round(time.Second))
	tr := d.startTraffic(callers)
	tr.completed(some)
	fail(d, tr)
	tr.completed(some)
	tr.stop()
	d.reachable("after the failure")
	d.check()
}

// TestWholeStartBeforeAnyConfiguration has leases held before anything is
// declared.
func TestWholeStartBeforeAnyConfiguration(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEntries()
	client := &http.Client{Transport: d.transport("operators"), Timeout: 2 * time.Second}
	for _, n := range d.nodes {
		until(t, "leases", func() bool {
			status, err := n.status(t.Context(), client)
			return err == nil && len(status.Leases) > 0 && status.Leases[0].Holder != "" && status.Leases[0].Orderers > 0
		})
	}
	d.publish()
	d.reachable("after the configuration")
	d.check()
}

func TestWholeInstanceKilled(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		for _, n := range []*node{d.nodes[0], d.nodes[5]} {
			d.kill(n)
			tr.completed(some)
			d.platform.List.Remove(n.id)
		}
	})
}

// kill has an instance die, seen from outside.
func (d *deployment) kill(n *node) {
	n.setGone()
	d.network.Kill(n.id, n.addrs()...)
}

func TestWholeGracefulShutdownUnderStreams(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		for _, n := range []*node{d.nodes[1], d.nodes[6]} {
			streams := d.longStreams(n)
			d.shutDown(n)
			streams.Wait()
			tr.completed(some)
		}
	})
}

// longStreams starts long answers of an instance, and returns once all have
// begun to run at servers.
func (d *deployment) longStreams(n *node) *sync.WaitGroup {
	var streams sync.WaitGroup
	transport := d.transport(placeCallers)
	var prompts []uint64
	for _, m := range d.truth.Models {
		r := d.newRequest(m)
		r.Streamed, r.MaxTokens, r.Timeout = true, 200, time.Minute
		prompts = append(prompts, standin.PromptHash(r.Prompt))
		streams.Go(func() { d.history.Send(context.Background(), n.id, d.client(transport, n, m.Partner), r) })
	}
	until(d.t, "long answers to begin", func() bool {
		for _, prompt := range prompts {
			if !d.runs(prompt) {
				return false
			}
		}
		return true
	})
	return &streams
}

// runs says whether a request was accepted by an engine.
func (d *deployment) runs(prompt uint64) bool {
	for _, e := range d.platform.Engines {
		for _, r := range e.Truth().Runs {
			if r.Prompt == prompt {
				return true
			}
		}
	}
	return false
}

// shutDown ends an instance gracefully: the balancer sends it nothing new, and
// it is told to end.
func (d *deployment) shutDown(n *node) {
	n.setGone()
	d.mu.Lock()
	d.truth.Shutdowns[n.id] = time.Now()
	d.mu.Unlock()
	n.stop()
	<-n.ended
	d.platform.List.Remove(n.id)
}

// TestWholeInstancesCut cuts each instance of a failure domain in turn off from
// all else, for longer than a lease: the lease's holder is among them, and
// doesn't know that its lease has lapsed. What it was sending goes out once the
// cut heals.
func TestWholeInstancesCut(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		for _, n := range d.nodes[:2] {
			d.cutOff([]*node{n})
			tr.completed(2 * some)
			time.Sleep(3 * time.Second) // longer than a lease
			d.join([]*node{n})
			tr.completed(some)
		}
	})
}

// places returns all places of the network.
func (d *deployment) places() []string {
	places := []string{placePlatform}
	for _, domain := range quickstart.Domains() {
		places = append(places, domain.Name)
	}
	for _, n := range d.nodes {
		places = append(places, n.id)
	}
	return places
}

// inside returns the places of the nodes.
func inside(nodes []*node) map[string]bool {
	places := map[string]bool{}
	for _, n := range nodes {
		places[n.id] = true
	}
	return places
}

// cutOff cuts nodes off from all places but the callers and each other; callers
// go on sending to them. With more than one node the backend servers of their
// failure domain stay with them.
func (d *deployment) cutOff(nodes []*node) {
	with := inside(nodes)
	if len(nodes) > 1 {
		with[nodes[0].domain.Name] = true
	}
	for _, n := range nodes {
		n.setCut(true)
	}
	for place := range with {
		for _, other := range d.places() {
			if !with[other] {
				d.network.Partition(place, other)
			}
		}
	}
}

// join heals what cutOff cut.
func (d *deployment) join(nodes []*node) {
	with := inside(nodes)
	with[nodes[0].domain.Name] = true
	for place := range with {
		for _, other := range d.places() {
			d.network.Heal(place, other)
		}
	}
	for _, n := range nodes {
		n.setCut(false)
	}
}

func TestWholeDomainCut(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		domain := d.nodes[2:4]
		d.cutOff(domain)
		tr.completed(2 * some)
		d.join(domain)
		tr.completed(some)
	})
}

func TestWholeLogDown(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		d.platform.Log.Faults.Set(standin.Always(standin.Fault{RequestLost: true}))
		tr.completed(some / 2)
		for _, e := range d.engines()[:2] {
			e.Restart(200 * time.Millisecond)
		}
		tr.completed(some / 2)
		d.platform.Log.Faults.Set(nil)
	})
}

func TestWholeLogSlowAndItsAnswersLost(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		d.platform.Log.Faults.Set(standin.Always(standin.Fault{Delay: 300 * time.Millisecond}, "log.append"))
		tr.completed(some)
		d.platform.Log.Faults.Set(oneIn(3, standin.Fault{AnswerLost: true}, "log.append"))
		tr.completed(2 * some)
		d.platform.Log.Faults.Set(nil)
	})
}

// oneIn gives each nth call of an operation the fault.
func oneIn(n int, f standin.Fault, op string) standin.FaultHook {
	return func(o string, i int) standin.Fault {
		if o == op && i%n == 0 {
			return f
		}
		return standin.Fault{}
	}
}

// engines returns the engines, in the order of their ids.
func (d *deployment) engines() []*standin.Engine {
	var engines []*standin.Engine
	for _, i := range d.platform.List.Truth() {
		if e := d.platform.Engines[i.ID]; e != nil {
			engines = append(engines, e)
		}
	}
	return engines
}

// TestWholeOrdersLostLateAndTwice restarts engines empty while orders are lost,
// come late, come twice, and take effect without an answer.
func TestWholeOrdersLostLateAndTwice(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
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
			tr.completed(some / 2)
		}
		for _, e := range d.engines() {
			e.Faults.Set(nil)
		}
	})
}

func TestWholeServersSlowAndLeaving(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		engines := d.engines()
		engines[0].SetSlowdown(20 * quick)
		tr.completed(some)
		engines[0].SetSlowdown(quick)
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
		tr.completed(2 * some)
	})
}

// TestWholeStreamsBroken cuts, drops, repeats, delays and reorders pieces of
// streams and mixes pieces of other attempts in.
func TestWholeStreamsBroken(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		for i, e := range d.engines() {
			e.SetEventFaults((&breaker{rng: rand.New(rand.NewPCG(11, uint64(i)))}).piece)
		}
		tr.completed(3 * some)
		for _, e := range d.engines() {
			e.SetEventFaults(nil)
		}
	})
}

// breaker breaks about one piece in thirty of one engine's streams.
type breaker struct {
	mu   sync.Mutex
	rng  *rand.Rand
	last infra.Event // of any stream
}

func (b *breaker) piece(e infra.Event) standin.EventFault {
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

// TestWholePoison has one caller send a request that crashes each server which
// runs it, again and again through each instance.
func TestWholePoison(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
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
		t.Logf("12 sendings of a poisoned request crashed %d servers", crashes)
		require.LessOrEqual(t, crashes, maxPoisonCrashes)
		require.NotZero(t, crashes)
	})
}

// maxPoisonCrashes allows the two crashes that a quarantine needs, and two more
// of a sending that was already under way when it took effect.
const maxPoisonCrashes = 4

// TestWholePartnersEditAtOnce has both partners' operators edit at once, each
// their own files and, by mistake, each other's.
func TestWholePartnersEditAtOnce(t *testing.T) {
	underTraffic(t, func(d *deployment, tr *traffic) {
		view := d.inForce()
		var group sync.WaitGroup
		for _, partner := range []string{quickstart.FlightKitchen, quickstart.Instituto} {
			group.Go(func() {
				for i := range 10 {
					d.propose(&record.ConfigChange{
						File:    fmt.Sprintf("90-%s-limits.toml", partner),
						Partner: partner,
						Author:  partner + "-operator",
						Content: fmt.Appendf(nil, "[partners.%s]\nweight = %d.0\n", partner, i+1),
						Base:    uint64(d.inForce().Base(fmt.Sprintf("90-%s-limits.toml", partner))),
					}, i)
					file := view.Files[i%len(view.Files)]
					d.propose(&record.ConfigChange{File: file.Name, Partner: partner, Author: partner + "-racer", Content: []byte("[models"), Base: uint64(file.Offset)}, i)
				}
			})
		}
		group.Wait()
		until(t, "a verdict on each change", func() bool { return len(d.inForce().Pending) == 0 })
		time.Sleep(ConfigLimit + time.Second) // so that each instance is asked after the limit
		for _, f := range view.Files {
			now := d.inForce().Base(f.Name)
			require.Equal(t, f.Offset, now, "a broken edit of %s took effect", f.Name)
		}
		require.NotEqual(t, view.Changed, d.inForce().Changed, "no edit was accepted")
	})
}
