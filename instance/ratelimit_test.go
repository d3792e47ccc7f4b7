package instance_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

const (
	limitInstances = 9
	// limitNamed is the rate limit that the server names, in requests a second.
	limitNamed = 2.0
	// limitWindow is any time over which the limit is judged, and limitMost what a
	// server may get within it: half more than it named, and five.
	limitWindow = 4 * time.Second
	limitMost   = int(1.5*limitNamed*4) + 5
	// limitTold is how long after the limit was named each instance has had an
	// answer that names it.
	limitTold = 2 * time.Second
	// limitWatch is how long the server is watched from then on.
	limitWatch  = 8 * time.Second
	sampleEvery = 50 * time.Millisecond
)

// A server in need named a limit of 1.3 requests a second for all instances
// together. Nobody read it: the server got 3.6 requests a second before and 5.6
// after, twelve of them in the second in which it named the limit, from eight of nine
// instances. None of these sent it more than three in four seconds, which one
// instance may; so it isn't enough that each keeps the limit by itself. What settled
// it were the dispatches to that server by instance in the four seconds before it had
// more than it may:
//
//	annex-hall-1 3, annex-hall-2 1, cold-room-hall-1 2, cold-room-hall-2 0, dock-hall-a-1 3,
//	dock-hall-a-2 2, dock-hall-a-3 3, dock-hall-b-1 3, dock-hall-b-2 3
//
// Now the lease holder grants single requests to the instances whose requests wait.
func TestInstancesTogetherKeepTheRateLimitThatAServerNames(t *testing.T) {
	d := deploy(t)
	for n := len(d.instances); n < limitInstances; n++ {
		r := d.start(fmt.Sprint("front-", n), d.site.Domains[n%len(d.site.Domains)])
		d.until(func() bool { return d.ready(r) })
	}
	server := d.site.Servers[len(d.site.Servers)-1] // the only one of its service
	stop := d.crowd(standin.PlainPath)
	defer stop()
	server.SetRateLimit(limitNamed)
	time.Sleep(limitTold)
	type sample struct {
		at  time.Time
		ran int
	}
	began := sample{time.Now(), len(server.RunCounts())}
	samples := []sample{began}
	most, from := 0, 0
	for time.Since(began.at) < limitWatch {
		time.Sleep(sampleEvery)
		now := sample{time.Now(), len(server.RunCounts())}
		samples = append(samples, now)
		for now.at.Sub(samples[from].at) > limitWindow {
			from++
		}
		most = max(most, now.ran-samples[from].ran)
	}
	require.LessOrEqual(t, most, limitMost, "requests in %s", limitWindow)
	last := samples[len(samples)-1]
	served := float64(last.ran-began.ran) / last.at.Sub(began.at).Seconds()
	require.Greater(t, served, limitNamed/2, "requests a second: what the limit allows is served")
}

// crowd asks every instance again and again, and returns what ends that.
func (d *deployment) crowd(path string) (stop func()) {
	return d.loopPerInstance(func(_ int, r *running) {
		status, _, _ := d.ask(r, path, "")
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			d.t.Errorf("status %d", status)
		}
	})
}

// loopPerInstance calls f in a loop in one goroutine per instance, with the instance and
// its index n, until stop is called. stop waits for calls that are in progress.
func (d *deployment) loopPerInstance(f func(n int, r *running)) (stop func()) {
	var group sync.WaitGroup
	ended := make(chan struct{})
	for n, r := range d.instances {
		group.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(sampleEvery):
				}
				f(n, r)
			}
		})
	}
	return func() {
		close(ended)
		group.Wait()
	}
}
