package whole

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/quickstart"
	"greengageferry/record"
	"greengageferry/standin"
)

// TestWholeStartBeforeAnyConfiguration publishes the configuration only after leases are
// held: instances that start without a configuration must serve it once it exists.
func TestWholeStartBeforeAnyConfiguration(t *testing.T) {
	runInParallel(t)
	d := newDeployment(t)
	d.startEntries()
	client := &http.Client{Transport: d.transport("operators"), Timeout: 2 * time.Second}
	for _, n := range d.nodes {
		waitUntil(t, "leases", func() bool {
			status, err := n.status(t.Context(), client)
			return err == nil && len(status.Leases) > 0 && status.Leases[0].Holder != "" && status.Leases[0].Orderers > 0
		})
	}
	d.publishConfig()
	d.waitReachable("after the configuration")
	d.check()
}

func TestWholeInstanceKilled(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		for _, n := range []*node{d.nodes[0], d.nodes[5]} {
			d.kill(n)
			tr.waitCompleted(answersPerPhase)
			d.platform.List.Remove(n.id)
		}
	})
}

// kill simulates a crash of the instance: the network breaks the instance's connections and
// refuses new ones.
func (d *deployment) kill(n *node) {
	n.setGone()
	d.network.Kill(n.id, n.addrs()...)
}

func TestWholeGracefulShutdownUnderStreams(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		for _, n := range []*node{d.nodes[1], d.nodes[6]} {
			streams := d.startLongStreams(n)
			d.shutDown(n)
			streams.Wait()
			tr.waitCompleted(answersPerPhase)
		}
	})
}

// startLongStreams starts long streams through an instance, and returns once servers have
// accepted all of them.
func (d *deployment) startLongStreams(n *node) *sync.WaitGroup {
	var streams sync.WaitGroup
	transport := d.transport(placeCallers)
	var prompts []uint64
	for _, m := range d.truth.Models {
		r := d.newRequest(m)
		r.Streamed, r.MaxTokens, r.Timeout = true, 200, time.Minute
		prompts = append(prompts, standin.PromptHash(r.Prompt))
		streams.Go(func() { d.history.Send(context.Background(), n.id, d.client(transport, n, m.Partner), r) })
	}
	waitUntil(d.t, "long streams to start", func() bool {
		for _, prompt := range prompts {
			if !d.wasAccepted(prompt) {
				return false
			}
		}
		return true
	})
	return &streams
}

// wasAccepted reports whether an engine accepted the request whose prompt has this hash.
func (d *deployment) wasAccepted(prompt uint64) bool {
	for _, e := range d.platform.Engines {
		for _, r := range e.Truth().Runs {
			if r.Prompt == prompt {
				return true
			}
		}
	}
	return false
}

// shutDown shuts an instance down gracefully: callers send it no new requests, and its
// context is canceled.
func (d *deployment) shutDown(n *node) {
	n.setGone()
	d.mu.Lock()
	d.truth.Shutdowns[n.id] = time.Now()
	d.mu.Unlock()
	n.stop()
	<-n.ended
	d.platform.List.Remove(n.id)
}

func TestWholeLogDown(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		d.platform.Log.Faults.Set(standin.Always(standin.Fault{RequestLost: true}))
		tr.waitCompleted(answersPerPhase / 2)
		for _, e := range d.engines()[:2] {
			e.Restart(200 * time.Millisecond)
		}
		tr.waitCompleted(answersPerPhase / 2)
		d.platform.Log.Faults.Set(nil)
	})
}

func TestWholeLogSlowWithLostResponses(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		d.platform.Log.Faults.Set(standin.Always(standin.Fault{Delay: 300 * time.Millisecond}, "log.append"))
		tr.waitCompleted(answersPerPhase)
		d.platform.Log.Faults.Set(everyNth(3, standin.Fault{AnswerLost: true}, "log.append"))
		tr.waitCompleted(2 * answersPerPhase)
		d.platform.Log.Faults.Set(nil)
	})
}

// everyNth returns a hook that gives every nth call of an operation the fault.
func everyNth(n int, f standin.Fault, op string) standin.FaultHook {
	return func(o string, i int) standin.Fault {
		if o == op && i%n == 0 {
			return f
		}
		return standin.Fault{}
	}
}

// TestWholeConcurrentConfigEdits has both partners' operators edit their own files and, by
// mistake, each other's files at the same time.
func TestWholeConcurrentConfigEdits(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		view := d.activeConfig()
		var group sync.WaitGroup
		for _, partner := range []string{quickstart.FlightKitchen, quickstart.Instituto} {
			group.Go(func() {
				for i := range 10 {
					d.propose(&record.ConfigChange{
						File:    fmt.Sprintf("90-%s-limits.toml", partner),
						Partner: partner,
						Author:  partner + "-operator",
						Content: fmt.Appendf(nil, "[partners.%s]\nweight = %d.0\n", partner, i+1),
						Base:    uint64(d.activeConfig().Base(fmt.Sprintf("90-%s-limits.toml", partner))),
					}, i)
					file := view.Files[i%len(view.Files)]
					d.propose(&record.ConfigChange{File: file.Name, Partner: partner, Author: partner + "-racer", Content: []byte("[models"), Base: uint64(file.Offset)}, i)
				}
			})
		}
		group.Wait()
		waitUntil(t, "a verdict on each change", func() bool { return len(d.activeConfig().Pending) == 0 })
		time.Sleep(ConfigPropagationLimit + time.Second) // so that each instance is queried after the limit
		for _, f := range view.Files {
			now := d.activeConfig().Base(f.Name)
			require.Equal(t, f.Offset, now, "a broken edit of %s took effect", f.Name)
		}
		require.NotEqual(t, view.LastChange, d.activeConfig().LastChange, "no edit was accepted")
	})
}
