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
	// announcedLimit is the rate limit that the server names, in requests per second.
	announcedLimit = 2.0
	// limitWindow is the length of the sliding window over which the limit is checked,
	// and maxRequestsPerWindow how many requests the server may get within it: one and a
	// half times the named rate, plus five.
	limitWindow          = 4 * time.Second
	maxRequestsPerWindow = int(1.5*announcedLimit*4) + 5
	// limitSettleTime is the time within which each instance has received an answer that
	// names the limit.
	limitSettleTime = 2 * time.Second
	// limitObservation is how long the server is observed after that.
	limitObservation = 8 * time.Second
	sampleInterval   = 50 * time.Millisecond
)

// A rate limit that a server names applies to all instances together, so it isn't enough
// that each instance keeps the limit by itself. A server named a limit of 1.3 requests
// per second that no instance read: it got 3.6 requests per second before and 5.6 after.
// In the second in which it named the limit, eight of nine instances sent it twelve
// requests in all. No instance sent more than the three requests in four seconds that a single one
// may send. In the four seconds before the server exceeded its limit, the nine instances
// dispatched 3, 1, 2, 0, 3, 2, 3, 3 and 3 requests to it. The lease holder therefore
// grants single requests to the instances whose requests wait.
func TestInstancesTogetherKeepTheRateLimitThatAServerNames(t *testing.T) {
	d := deploy(t)
	for n := len(d.instances); n < limitInstances; n++ {
		r := d.start(fmt.Sprint("front-", n), d.site.Domains[n%len(d.site.Domains)])
		d.waitUntil(func() bool { return d.ready(r) })
	}
	server := d.site.Servers[len(d.site.Servers)-1] // the only one of its service
	stop := d.sendLoop(standin.PlainPath)
	defer stop()
	server.SetRateLimit(announcedLimit)
	time.Sleep(limitSettleTime)
	type sample struct {
		at  time.Time
		ran int
	}
	began := sample{time.Now(), len(server.RunCounts())}
	samples := []sample{began}
	most, from := 0, 0
	for time.Since(began.at) < limitObservation {
		time.Sleep(sampleInterval)
		now := sample{time.Now(), len(server.RunCounts())}
		samples = append(samples, now)
		for now.at.Sub(samples[from].at) > limitWindow {
			from++
		}
		most = max(most, now.ran-samples[from].ran)
	}
	require.LessOrEqual(t, most, maxRequestsPerWindow, "requests in %s", limitWindow)
	last := samples[len(samples)-1]
	served := float64(last.ran-began.ran) / last.at.Sub(began.at).Seconds()
	require.Greater(t, served, announcedLimit/2, "requests a second: what the limit allows is served")
}

// sendLoop sends requests to every instance in a loop until stop is called.
func (d *deployment) sendLoop(path string) (stop func()) {
	return d.loopPerInstance(func(_ int, r *runningInstance) {
		status, _, _ := d.send(r, path, "")
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			d.t.Errorf("status %d", status)
		}
	})
}

// loopPerInstance calls f in a loop in one goroutine per instance, with the instance and
// its index n, until stop is called. stop waits for calls that are in progress.
func (d *deployment) loopPerInstance(f func(n int, r *runningInstance)) (stop func()) {
	var group sync.WaitGroup
	ended := make(chan struct{})
	for n, r := range d.instances {
		group.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(sampleInterval):
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
