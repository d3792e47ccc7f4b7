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
// together. Nine instances sent it three requests or fewer each within four
// seconds, no one of them more than it had named, and together 23.
func TestInstancesTogetherKeepTheRateLimitThatAServerNames(t *testing.T) {
	d := deploy(t)
	for n := len(d.instances); n < limitInstances; n++ {
		r := d.start(fmt.Sprint("front-", n), d.site.Domains[n%len(d.site.Domains)])
		d.until(func() bool { return d.ready(r) })
	}
	server := d.site.Servers[len(d.site.Servers)-1] // the only one of its service
	stop := d.crowd(standin.PlainPath)
	defer stop()
	server.NameLimit(limitNamed)
	time.Sleep(limitTold)
	var ran []int
	for began := time.Now(); time.Since(began) < limitWatch; time.Sleep(sampleEvery) {
		ran = append(ran, len(server.Ran()))
	}
	most, window := 0, int(limitWindow/sampleEvery)
	for n := window; n < len(ran); n++ {
		most = max(most, ran[n]-ran[n-window])
	}
	require.LessOrEqual(t, most, limitMost, "requests in %s", limitWindow)
	served := float64(ran[len(ran)-1]-ran[0]) / limitWatch.Seconds()
	require.Greater(t, served, limitNamed/2, "requests a second: what the limit allows is served")
}

// crowd asks every instance again and again, and returns what ends that.
func (d *deployment) crowd(path string) (stop func()) {
	var asking sync.WaitGroup
	ended := make(chan struct{})
	for _, r := range d.instances {
		asking.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(sampleEvery):
				}
				status, _, _ := d.ask(r, path, "")
				if status != http.StatusOK && status != http.StatusServiceUnavailable {
					d.t.Errorf("status %d", status)
				}
			}
		})
	}
	return func() {
		close(ended)
		asking.Wait()
	}
}
