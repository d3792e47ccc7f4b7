package instance_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

const (
	noticeInstances = 9
	// noticeDelay is the time within which each instance has relayed an answer that
	// says that the server is leaving.
	noticeDelay = 2 * time.Second
	// drainBound is how long after that an instance may still send requests to the
	// server. drainObservation is how long it must get none from then on.
	drainBound       = 2 * time.Second
	drainObservation = 3 * time.Second
)

// streamLoad requests streams of BusyModel from every instance in a loop until stop is
// called. stop returns how many streams were complete.
func (d *deployment) streamLoad() (stop func() int) {
	var served atomic.Int64
	stopLoops := d.loopPerInstance(func(_ int, r *runningInstance) {
		if status, _, body := d.send(r, standin.StreamPath, standin.BusyModel); status == http.StatusOK && strings.Count(body, "\n\n") == 10 {
			served.Add(1)
		}
	})
	return func() int {
		stopLoops()
		return int(served.Load())
	}
}

func (d *deployment) startUpTo(instances int) {
	for n := len(d.instances); n < instances; n++ {
		r := d.start(fmt.Sprint("front-", n), d.site.Domains[n%len(d.site.Domains)])
		d.waitUntil(func() bool { return d.ready(r) })
	}
}

// A server that announces only in its answers that it is leaving, because the store is
// unavailable, must get no new requests.
func TestAServerWhoseAnswersSayThatItLeavesGetsNoNewRequests(t *testing.T) {
	d := deploy(t)
	d.startUpTo(noticeInstances)
	d.site.Store.SetDown(true)
	leaving := d.site.Servers[0]
	stop := d.streamLoad()
	leaving.Drain()
	time.Sleep(noticeDelay + drainBound)
	before := len(leaving.RunCounts())
	time.Sleep(drainObservation)
	after := len(leaving.RunCounts())
	served := stop()
	require.Equal(t, before, after)
	require.Greater(t, served, noticeInstances, "the other server must still serve streams")
}
