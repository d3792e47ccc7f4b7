package instance_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/internal/schedlag"
	"greengageferry/platform/standin"
)

const (
	// cutSettleTime is how long after a cut an instance may serve less.
	cutSettleTime = 3 * time.Second
	// maxCutLoss is by how much the share of requests that instances without servers serve
	// may be lower than at the others.
	maxCutLoss = 0.05
	// minAskInterval is the time between two rounds of requests on a machine that bears them,
	// and maxAskInterval the longest one that is tried.
	minAskInterval = 50 * time.Millisecond
	maxAskInterval = 800 * time.Millisecond
	// maxBusyTime is how long the machine may be too busy to serve all requests before a cut.
	maxBusyTime = 2 * time.Minute
	// maxComparisons is how often cut and uncut instances are compared.
	maxComparisons = 3
)

// cutOffCase is how many instances there are, and how some of them are cut off from all
// servers.
type cutOffCase struct {
	instances, cut int
	kind           cutKind
}

// Guards against an instance that reaches no server serving nothing, though instances that
// it reaches reach them. Callers' first tries count, not what they get elsewhere later.
func TestInstancesCutOffFromServersServeThroughOthers(t *testing.T) {
	for name, c := range map[string]cutOffCase{
		"silent":                  {3, 1, silentCut},
		"reset":                   {3, 2, resetCut},
		"new connections refused": {3, 1, newRefused},
	} {
		t.Run(name, func(t *testing.T) { checkCutOff(t, c) })
	}
}

// The same with two instances left, which carry the requests of seven others.
func TestSevenOfNineInstancesCutOffServeThroughOthers(t *testing.T) {
	checkCutOff(t, cutOffCase{9, 7, silentCut})
}

// checkCutOff compares what is served at the instances that are cut off and at the others.
// Other work on the machine may begin meanwhile, which loses requests with or without a cut:
// then, and only then, the comparison is made again.
func checkCutOff(t *testing.T, c cutOffCase) {
	d := deployWith(t, standin.SiteOptions{PlainServers: 4, Restart: time.Minute})
	require.NoError(t, d.site.Store.PutConfig(standin.Config(2)))
	for n := len(d.instances); n < c.instances; n++ {
		d.start(fmt.Sprint("front-", n), d.site.Domains[n%2])
	}
	for _, r := range d.instances {
		d.waitUntil(func() bool { status, _, _ := d.send(r, "/more/1", ""); return status == 200 })
		d.waitUntil(func() bool { status, _, _ := d.send(r, standin.StreamPath, standin.RareModel); return status == 200 })
	}
	for range maxComparisons {
		time.Sleep(2 * time.Second) // in which they learn of each other
		interval := d.servedInterval(d.instances[:c.cut])
		if d.compareCutOff(c, interval) {
			return
		}
		time.Sleep(cutSettleTime)
		require.Less(t, d.servedShare(d.instances[:c.cut], interval), 1-maxCutLoss, "the same requests are served without the cut")
	}
	require.Fail(t, "other work on the machine loses too many requests")
}

// compareCutOff reports whether instances serve as much while they are cut off as the others,
// and those nearly all.
func (d *deployment) compareCutOff(c cutOffCase, interval time.Duration) bool {
	cut, others := d.instances[:c.cut], d.instances[c.cut:]
	lag := schedlag.Start()
	ask := time.NewTicker(interval)
	defer ask.Stop()
	for _, r := range cut {
		r.links.cut(c.kind)
	}
	for until := time.Now().Add(cutSettleTime); time.Now().Before(until); <-ask.C {
		for _, r := range cut {
			go d.send(r, "/more/1", "")
		}
	}
	atCut := d.servedShare(cut, interval)
	atOthers := d.servedShare(others, interval)
	d.t.Logf("served %.3f, by the others %.3f, asked each %s; %s", atCut, atOthers, interval, lag)
	for _, r := range cut {
		r.links.cut(notCut)
	}
	return atCut >= atOthers-maxCutLoss && atOthers >= 1-maxCutLoss
}

// servedInterval returns the shortest time between rounds of requests at which the instances
// serve them all while nothing is cut off.
func (d *deployment) servedInterval(instances []*runningInstance) time.Duration {
	interval := minAskInterval
	for until := time.Now().Add(maxBusyTime); time.Now().Before(until); {
		if d.servedShare(instances, interval) == 1 {
			return interval
		}
		interval = min(2*interval, maxAskInterval)
	}
	require.FailNow(d.t, "requests are lost before the cut")
	return 0
}

// servedShare sends rounds of requests of each kind, without waiting for the earlier ones, and
// returns the share that is served.
func (d *deployment) servedShare(instances []*runningInstance, interval time.Duration) float64 {
	const rounds = 20
	var mu sync.Mutex
	served, sent := 0, 0
	var requests sync.WaitGroup
	for range rounds {
		for _, r := range instances {
			for _, ask := range []struct{ path, model string }{
				{"/more/1", ""}, {standin.PlainPath + "1", ""}, {standin.StreamPath, standin.BusyModel},
			} {
				requests.Go(func() {
					status, _, body := d.send(r, ask.path, ask.model)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if status == 200 {
						served++
					} else {
						d.t.Logf("%s: %d %s", ask.path, status, strings.TrimSpace(body))
					}
				})
			}
		}
		time.Sleep(interval)
	}
	requests.Wait()
	return float64(served) / float64(sent)
}
