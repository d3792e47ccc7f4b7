package instance_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

const (
	noticeInstances = 9
	// noticeTold is how long after a server's answers begin to say something each
	// instance has passed one on.
	noticeTold = 2 * time.Second
	// drainBound is how long after that an instance may still send a leaving server
	// requests, and drainWatch how long it is watched from then on.
	drainBound = 2 * time.Second
	drainWatch = 3 * time.Second
)

// streams asks every instance for streams of BusyModel again and again, and returns
// what ends that and how many were served whole.
func (d *deployment) streams() (stop func() int) {
	var asking sync.WaitGroup
	var served atomic.Int64
	ended := make(chan struct{})
	for _, r := range d.instances {
		asking.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(sampleEvery):
				}
				if status, _, body := d.ask(r, standin.StreamPath, standin.BusyModel); status == http.StatusOK && strings.Count(body, "\n\n") == 10 {
					served.Add(1)
				}
			}
		})
	}
	return func() int {
		close(ended)
		asking.Wait()
		return int(served.Load())
	}
}

func (d *deployment) grow(instances int) {
	for n := len(d.instances); n < instances; n++ {
		r := d.start(fmt.Sprint("front-", n), d.site.Domains[n%len(d.site.Domains)])
		d.until(func() bool { return d.ready(r) })
	}
}

// While the store is away only a server's answers say that it leaves.
func TestAServerWhoseAnswersSayThatItLeavesGetsNoNewRequests(t *testing.T) {
	d := deploy(t)
	d.grow(noticeInstances)
	d.site.Store.SetDown(true)
	leaving := d.site.Servers[0]
	stop := d.streams()
	leaving.Drain()
	time.Sleep(noticeTold + drainBound)
	before := len(leaving.Ran())
	time.Sleep(drainWatch)
	after := len(leaving.Ran())
	served := stop()
	require.Equal(t, before, after)
	require.Greater(t, served, noticeInstances, "the other server goes on")
}
